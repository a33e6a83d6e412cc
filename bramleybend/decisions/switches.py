"""Feature switches of the decisions, all on except in ablations."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PolicySwitches:
    """One flag per decision, so that a benchmark can turn it off."""

    tiers: bool = True
    fair: bool = True
    short_first: bool = True
    on_time_first: bool = True
    expiry: bool = True
    preemption: bool = True
    speeds: bool = True
    limits: bool = True
    filling: bool = True
    holding: bool = True
    pacing: bool = True
    admission: bool = True
    floor_at_refusal: bool = True  # off where no gateway asks for a floor
    # On for services for which each VM dispatches by itself.
    spreading: bool = False
