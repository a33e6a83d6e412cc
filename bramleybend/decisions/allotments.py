"""Admission of requests within the allotments of their workspaces.

Load pattern: one workspace sends many times its usual load, to all VMs at once.
Without it: its requests take the slots of other workspaces that stay within
their allotments.

Every VM keeps an account of the burst that each workspace has used, from its
own admissions and from those that the other VMs report; the debt is repaid at
the allotted rate. Reports are as old as a heartbeat, so together the VMs exceed
an allotment by the arrivals of that time, which is repaid, too. While some VMs
are silent, the others use only their own share of the rate: the silent VMs may
still be admitting, and two halves of a partition that both used the whole rate
would admit twice the allotment.

A request is admitted while `MIN_BURST_SHARE` of the burst is left, and may use
more than is left. If the whole request had to fit, the account that a busy
workspace keeps nearly empty would admit small requests but never a large one.
So a workspace exceeds its allotment by one request at most, and repays it.

Each try of a request at a runner takes its units: what runs again takes as much
from other workspaces. A further try is admitted while anything of the burst is
left, so it goes before new requests, which have not been accepted yet.

A try that did not run is refunded as far as its units are still owed. What the
rate has repaid while the request waited was admitted to others in that time; if
it were given back, too, the requests of an outage would be admitted twice.

All parts that VMs use without hearing each other add up to the whole: a VM uses
its share of the burst and of the spare tolerance. So the bound holds for any
partition of any number of VMs.

The news of the other VMs is some tenths of a second old, and older while hubs are
down. Until it arrives, a VM assumes that they admitted at their recent rate what
the allotment has repaid since. Otherwise all VMs would use the repaid units at
once, each for itself.

A VM that restarts has lost its accounts, and all others may have lost theirs,
too. Until a VM with older accounts reports the debts, it treats every burst as
used as far as the spare tolerance doesn't cover it.

Contracts tolerate more than the allotment. Half of the tolerance is spare: it
covers partitions, restarts, and the arrivals between two heartbeats. The other
half is admitted while runners are idle, since refusing them would help nobody.
VMs learn of each other's use of it too late to share one account, so each has
an equal part. Where a part is smaller than a request, a request is admitted by
chance, and the parts are kept on average.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf, isinf
from random import Random

from bramleybend.decisions.allotment_account import Account, PeerAccounts
from bramleybend.decisions.allotment_models import (
    ALONE,
    AccountReport,
    AllotmentDecision,
    Allowance,
    Charge,
    FleetView,
    Tolerance,
)

MIN_BURST_SHARE = 0.05  # of the burst; any small share works
# Share of the contracts' tolerance that is used for work on idle runners. The
# rest is spare: it covers what VMs admit without knowing of each other.
IDLE_TOLERANCE_SHARE = 0.5
# Two heartbeats, within which most VMs that start together hear each other.
STARTUP_HOLD_S = 0.4
# A peer's accounts count as older only beyond this difference: the same
# accounts arrive with the delay of the network and of a busy VM.
MIN_AGE_LEAD_S = 0.2


@dataclass
class AllotmentLedger:
    """The accounts of all workspaces at one VM."""

    tolerance: Tolerance = field(default_factory=Tolerance)
    # Time from which the accounts are complete; earlier bursts are assumed to
    # be used. Minus infinity: nothing was admitted earlier.
    complete_since: float = -inf
    rng: Random = field(default_factory=Random)
    _accounts: dict[str, Account] = field(default_factory=dict)
    _peers: dict[str, PeerAccounts] = field(default_factory=dict)

    def admit(
        self,
        workspace: str,
        allowance: Allowance,
        units: float,
        now: float,
        view: FleetView = ALONE,
        *,
        are_runners_idle: bool = False,
    ) -> AllotmentDecision:
        """Admit a request and charge its first try, or return when to retry."""
        account = self._account(workspace, now)
        needed = min(units, allowance.burst * MIN_BURST_SHARE)
        left = self._left(account, allowance, now, view)
        if left >= needed and view.share:
            return AllotmentDecision(account.charge(units))
        # A VM that doesn't hear all others leaves the tolerance to them.
        if are_runners_idle and view.share >= 1:
            if self._take_idle_tolerance(account, allowance, units, view.vms):
                return AllotmentDecision(Charge(units, is_beyond=True))
        return AllotmentDecision(
            charge=None,
            retry_after_s=self._retry_after_s(
                needed - left, allowance, now, view.share
            ),
            debt=account.debt,
        )

    def admit_further_try(
        self,
        workspace: str,
        allowance: Allowance,
        units: float,
        now: float,
        view: FleetView = ALONE,
    ) -> AllotmentDecision:
        """Charge a further try of a request, or return when to retry."""
        account = self._account(workspace, now)
        left = self._left(account, allowance, now, view)
        if left >= 0 and view.share:
            return AllotmentDecision(account.charge(units))
        return AllotmentDecision(
            charge=None,
            retry_after_s=self._retry_after_s(
                -left, allowance, now, view.share
            ),
            debt=account.debt,
        )

    def refund(self, workspace: str, charge: Charge) -> None:
        """Undo the charge of a try that did not run, as far as it is owed."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.refund(charge)

    def reports(self) -> dict[str, AccountReport]:
        """Return the totals to report to the other VMs, by workspace."""
        return {
            workspace: AccountReport(
                account.used,
                account.over_allotment,
                account.debt,
                account.tolerance_debt,
            )
            for workspace, account in self._accounts.items()
        }

    def age_s(self, now: float) -> float:
        """Return for how many seconds the accounts have been complete."""
        return now - self.complete_since

    def adopt_accounts(
        self, reported: Mapping[str, AccountReport], now: float, age_s: float
    ) -> None:
        """Replace the accounts by a peer's if those are complete for longer.

        Debts that are only assumed are replaced by the debts that the peer
        knows.
        """
        since = now - age_s
        if since >= self.complete_since - MIN_AGE_LEAD_S:
            return
        self.complete_since = since
        for workspace, account in self._accounts.items():
            owed = reported.get(workspace, AccountReport())
            ours = min(account.used, account.debt)
            beyond = min(account.over_allotment, account.tolerance_debt)
            account.updated_at = max(account.updated_at, now)
            account.assumed = None
            account.debt = max(owed.debt, ours)
            account.tolerance_debt = max(owed.tolerance_debt, beyond)

    def merge_report(
        self,
        peer: str,
        reported: Mapping[str, AccountReport],
        now: float,
        *,
        tells_all: bool = True,
        age_s: float = inf,
    ) -> None:
        """Add what a peer has admitted since its last report.

        With `tells_all`, workspaces that are not named have used nothing.
        `age_s` is for how many seconds the peer's accounts have been complete.

        A VM that has just started knows nothing of earlier admissions. If it
        gave each workspace a full burst, a rolling restart of six VMs would
        admit six bursts. So it starts with the debts that its peers know. From
        a peer whose accounts are younger than its own, it takes only what that
        peer itself admitted: the rest of that peer's debts may be only assumed.
        """
        accounts = self._peers.setdefault(peer, PeerAccounts())
        is_younger = now - age_s > self.complete_since + MIN_AGE_LEAD_S
        for workspace, spending in reported.items():
            account = self._account(workspace, now)
            last = accounts.last_totals(workspace)
            if last is None and is_younger:
                account.debt += min(spending.used, spending.debt)
                account.tolerance_debt += min(
                    spending.over_allotment, spending.tolerance_debt
                )
            elif last is None:
                account.debt = max(account.debt, spending.debt)
                account.tolerance_debt = max(
                    account.tolerance_debt, spending.tolerance_debt
                )
            else:
                account.add_reported(spending.used - last.used, now)
                account.tolerance_debt += (
                    spending.over_allotment - last.over_allotment
                )
            accounts.reports[workspace] = spending
        accounts.is_complete = accounts.is_complete or tells_all

    def remove_peer(self, peer: str) -> None:
        """Remove a peer that has ended."""
        self._peers.pop(peer, None)

    def _account(self, workspace: str, now: float) -> Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = Account(now)
            self._accounts[workspace] = account
        return account

    def _left(
        self,
        account: Account,
        allowance: Allowance,
        now: float,
        view: FleetView,
    ) -> float:
        """Return what is left of the burst, once debts are repaid."""
        self._repay_debt(account, allowance, now, view)
        usable = self._usable_burst(account, allowance, now, view.share)
        return usable - account.debt - account.unreported(view, now)

    def _repay_debt(
        self,
        account: Account,
        allowance: Allowance,
        now: float,
        view: FleetView,
    ) -> None:
        if account.assumed is None:
            # The spare tolerance covers the rest of the burst.
            account.assumed = self._assumed_debt(
                max(allowance.burst - self._spare(allowance), 0),
                allowance.rate_per_s,
                now,
            )
            account.updated_at = max(
                account.updated_at, self._startup_ends_at()
            )
        elapsed_s = max(now - account.updated_at, 0)
        account.updated_at = max(now, account.updated_at)
        units = elapsed_s * allowance.rate_per_s * view.share
        repaid_units = max(units - account.assumed, 0)
        account.repay(repaid_units, now)
        account.assumed = max(account.assumed - units, 0)
        idle_allowance = self._idle_allowance(allowance)
        repaid = elapsed_s * idle_allowance / self.tolerance.window_s
        account.tolerance_debt = max(
            account.tolerance_debt - repaid,
            self._assumed_debt(
                idle_allowance, idle_allowance / self.tolerance.window_s, now
            ),
        )
        account.idle_part_used = max(
            account.idle_part_used - repaid / view.vms, 0
        )

    def _usable_burst(
        self, account: Account, allowance: Allowance, now: float, share: float
    ) -> float:
        """Return the most of the burst that the VMs of this share may use."""
        spare = self._spare(allowance)
        if now < self._startup_ends_at() + self.tolerance.window_s:
            # It covers what was admitted before the restart.
            spare -= min(spare, allowance.burst)
        unused = allowance.burst - (account.assumed or 0)
        return min(allowance.burst, share * (unused + spare))

    def _spare(self, allowance: Allowance) -> float:
        units = self.tolerance.units(allowance.rate_per_s, allowance.burst)
        return units * (1 - IDLE_TOLERANCE_SHARE)

    def _take_idle_tolerance(
        self, account: Account, allowance: Allowance, units: float, vms: int
    ) -> bool:
        """Use this VM's part of the tolerance for idle runners, if it fits."""
        idle_allowance = self._idle_allowance(allowance)
        # VMs that decided at the same time may have used part of it already.
        # One request may exceed the burst in any case.
        overshoot = max(account.debt - allowance.burst - units, 0)
        if overshoot + account.tolerance_debt + units > idle_allowance:
            return False
        part = idle_allowance / vms
        left = max(part - account.idle_part_used, 0)
        is_drawn = left < units
        if is_drawn and self.rng.random() * units >= left:
            # The chance is used up, as further draws would raise it.
            account.idle_part_used += left
            return False
        account.idle_part_used += left if is_drawn else units
        account.tolerance_debt += units
        account.over_allotment += units
        return True

    def _retry_after_s(
        self, missing: float, allowance: Allowance, now: float, share: float
    ) -> float:
        if now < self._startup_ends_at() or not share:
            # A constant delay keeps the retries as spread as the requests were.
            # The time until the end of this phase would make all callers retry
            # at once.
            return STARTUP_HOLD_S
        return missing / max(allowance.rate_per_s * share, 1)

    def _startup_ends_at(self) -> float:
        return self.complete_since + STARTUP_HOLD_S

    def _assumed_debt(
        self, units: float, repaid_per_s: float, now: float
    ) -> float:
        """Return the unpaid rest of units assumed used before the accounts."""
        if isinf(self.complete_since):
            return 0
        left = units - repaid_per_s * max(now - self._startup_ends_at(), 0)
        return max(left, 0)

    def _idle_allowance(self, allowance: Allowance) -> float:
        """Return the most that is admitted beyond an allotment at once.

        The same amount is repaid within a window.
        """
        units = self.tolerance.units(allowance.rate_per_s, allowance.burst)
        return units * IDLE_TOLERANCE_SHARE / 2


def make_allotment_ledger(
    tolerance: Tolerance, now: float, *, is_first_start: bool
) -> AllotmentLedger:
    """Create the accounts of a VM that starts.

    `is_first_start`: the whole system starts for the first time, so no
    workspace has a debt.
    """
    return AllotmentLedger(tolerance, -inf if is_first_start else now)
