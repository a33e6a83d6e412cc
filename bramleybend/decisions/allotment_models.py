"""What is known and decided about the allotments of workspaces, in units.

Units are requests or tokens, as the manifest says of each workspace.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Tolerance:
    """The overuse that the contracts tolerate, over all VMs."""

    window_s: float = 1  # length of any time span that is checked
    overage: float = 0  # share of the allotment in a window
    slack: float = 0  # units in a window

    def units(self, rate_per_s: float, burst: float) -> float:
        """Return the units by which a window may exceed the allotment."""
        return self.overage * (rate_per_s * self.window_s + burst) + self.slack


@dataclass(frozen=True)
class Allowance:
    """The current allotment of a workspace, in units."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class FleetView:
    """What a VM knows of all VMs at the time of a decision."""

    # Of the VMs, those that this VM hears, itself included; 0 while their
    # number is unknown.
    share: float = 1
    vms: int = 1
    news_age_s: float = 0  # mean age of the news of the other VMs


ALONE = FleetView()


@dataclass(frozen=True)
class AccountReport:
    """One VM's report on a workspace's account, in units."""

    used: float = 0  # admitted by that VM since it started
    over_allotment: float = 0  # admitted by that VM beyond the allotment
    debt: float = 0  # used of the burst over all VMs, not repaid yet
    tolerance_debt: float = (
        0  # used of the tolerance over all VMs, not repaid yet
    )


@dataclass(frozen=True)
class Charge:
    """What one try of a request takes from an allotment."""

    units: float
    is_beyond: bool = False  # admitted beyond the allotment on idle runners
    # The account's total of repaid units at which it is repaid, in the order
    # of the charges.
    repaid_at: float = 0


NO_CHARGE = Charge(0)


@dataclass(frozen=True)
class AllotmentDecision:
    """The decision on a request."""

    charge: Charge | None  # none: it is refused
    retry_after_s: float = 0  # until the allotment has room again
    debt: float = 0  # units used of the burst, if refused

    @property
    def is_admitted(self) -> bool:
        """Whether the request may run."""
        return self.charge is not None
