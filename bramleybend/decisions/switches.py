"""Which decisions are on; all of them outside the ablations."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Switches:
    """One flag for each decision, so that a benchmark can turn it off."""

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
    floor_at_refusal: bool = True  # off where no request asks for a floor
    spreading: bool = (
        False  # on where many VMs order a service, each for itself
    )
