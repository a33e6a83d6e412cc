"""The account of a workspace, and what the other VMs reported of theirs."""

from dataclasses import dataclass, field
from math import log
from typing import Final

from bramleybend.decisions.allotment_models import (
    AccountReport,
    Charge,
    FleetView,
)
from bramleybend.decisions.decaying_sum import DecayingSum
from bramleybend.decisions.recent_sum import RecentSum

# Half-life of the rate at which the other VMs admit.
RATE_HALF_LIFE_S: Final = 1.0
# VMs that were not heard for longer count as silent.
MAX_NEWS_AGE_S: Final = 2.0


@dataclass
class Account:
    """The account of one workspace at one VM."""

    updated_at: float
    debt: float = 0
    # Rest of a burst that may have been used before the accounts, not repaid
    # yet; none: not estimated yet.
    assumed: float | None = None
    repaid: float = 0  # units by which debts could be repaid so far
    tolerance_debt: float = 0
    used: float = 0  # by this VM
    over_allotment: float = 0  # by this VM
    idle_part_used: float = 0  # of this VM's part, not repaid yet
    # Of the units that other VMs reported; tells their rate.
    reported: DecayingSum = field(
        default_factory=lambda: DecayingSum(RATE_HALF_LIFE_S)
    )
    repayments: RecentSum = field(
        default_factory=lambda: RecentSum(MAX_NEWS_AGE_S)
    )

    def charge(self, units: float) -> Charge:
        """Charge a try of a request."""
        self.debt += units
        self.used += units
        return Charge(units, repaid_at=self.repaid + self.debt)

    def refund(self, charge: Charge) -> None:
        """Undo a charge, as far as it is owed."""
        if charge.is_beyond:
            self.tolerance_debt -= charge.units
            self.over_allotment -= charge.units
            self.idle_part_used -= charge.units
        else:
            owed = min(max(charge.repaid_at - self.repaid, 0), charge.units)
            self.debt -= owed
            self.used -= owed

    def repay(self, units: float, now: float) -> None:
        """Repay a part of the debt."""
        self.repaid += units
        self.repayments.add(min(units, self.debt), now)
        self.debt = max(self.debt - units, 0)

    def add_reported(self, units: float, now: float) -> None:
        """Add what another VM reports that it charged."""
        self.debt += units
        self.reported.add(units, now)

    def unreported(self, view: FleetView, now: float) -> float:
        """Return what the other VMs probably admitted since their last news.

        It is no more than what was repaid since: while a debt isn't repaid, they
        admit nothing, either.
        """
        since = now - view.news_age_s
        repaid = self.repayments.since(since)
        per_s = self.reported.value(since) * log(2) / RATE_HALF_LIFE_S
        return min(max(per_s, 0) * view.news_age_s, repaid)


@dataclass
class PeerAccounts:
    """The totals that one peer reported."""

    reports: dict[str, AccountReport] = field(default_factory=dict)
    is_complete: bool = False  # workspaces that are missing have used nothing

    def last_totals(self, workspace: str) -> AccountReport | None:
        """Return a workspace's last reported totals, if known."""
        unspent = AccountReport() if self.is_complete else None
        return self.reports.get(workspace, unspent)
