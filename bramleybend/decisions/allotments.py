"""Which requests go beyond what their workspace was allotted.

Load pattern: one workspace sends many times its usual, to all VMs at once.
Without it: its work takes the slots of the others, who sent no more than
they had been promised.

Every VM keeps account of what each workspace has taken of its burst, by its
own admissions and by what the others say that they admitted; the rate pays
it back. News is as old as a heartbeat, so together they go beyond the
allotment by what arrives in that time, and pay that back too. While some VMs
are silent, the others use only their own part of the rate: the silent ones
may still be admitting, and two halves that both used the whole rate would
admit twice the allotment.

A request is let in while `LEAST_SHARE` of the burst is left, and may take
more than is left. Asked to hold a whole request, an account that a busy
workspace keeps near empty lets small ones through and no large one ever.
The workspace goes beyond its allotment by one request at most, and pays it
back.

A VM that starts again has lost its accounts, and so may have all others. Until
a VM with older accounts tells it what is owed, it takes every burst for spent.
It lets nothing in while VMs that start with it have yet to find each other:
each would let in what the rate has paid back, as if it were the only one.

The contracts tolerate more than the allotment. What lies beyond it is let in
while runners stand idle: refused, it would have helped nobody.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf, isinf

MIN_BURST_SHARE = 0.05  # of the burst; any small part does
# Of the burst, for VMs that hear few others. Six VMs that hear nobody then
# let in three bursts at most, which the contracts' tolerance covers.
MIN_USABLE_BURST = 0.5
# Of what the contracts tolerate, for work on idle runners. The rest covers
# what VMs admit at once without knowing of each other: the arrivals between
# two heartbeats (0.2 s), and a cut between VMs that begins just then.
IDLE_TOLERANCE_SHARE = 0.5
# Two heartbeats, in which most VMs that start together hear of each other.
SETTLE_S = 0.4
# Accounts that are complete from about the same time on: the same accounts,
# told with the delay of the network and of a busy VM.
MIN_AGE_LEAD_S = 0.2


@dataclass(frozen=True)
class Tolerance:
    """What the contracts let go beyond an allotment, over all VMs."""

    window_s: float = 1  # any span of this length counts
    overage: float = 0  # of the allotment in a window
    slack: float = 0  # units in a window

    def units(self, rate_per_s: float, burst: float) -> float:
        """Return the units that may go beyond an allotment in a window."""
        return self.overage * (rate_per_s * self.window_s + burst) + self.slack


@dataclass(frozen=True)
class Allowance:
    """What a workspace may use, as it now stands."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Spending:
    """What one VM tells of a workspace's account."""

    used: float = 0  # admitted by that VM since its start
    beyond: float = 0  # of it, what lay beyond the allotment
    debt: float = 0  # of the burst over all VMs, not paid back yet
    beyond_debt: float = 0  # of the tolerance, likewise


@dataclass(frozen=True)
class Verdict:
    """What becomes of a request."""

    is_let_in: bool
    is_beyond: bool = False  # let in, as the runners are idle
    retry_after_s: float = 0  # until the allotment has room again
    owed: float = 0  # units of the burst that are taken, if refused


@dataclass
class _Account:
    updated_at: float
    debt: float = 0
    beyond_debt: float = 0
    used: float = 0  # by us
    beyond: float = 0  # by us


@dataclass
class _PeerAccounts:
    """What one peer told."""

    spendings: dict[str, Spending] = field(default_factory=dict)
    is_complete: bool = False  # what isn't there was not spent

    def last_totals(self, workspace: str) -> Spending | None:
        """Return a workspace's totals, if the peer has told them."""
        unspent = Spending() if self.is_complete else None
        return self.spendings.get(workspace, unspent)


@dataclass
class AllotmentBook:
    """All accounts of one VM."""

    tolerance: Tolerance = field(default_factory=Tolerance)
    # From when on they hold all that was admitted; before, bursts are taken
    # for spent. Minus infinity: nothing was admitted before.
    since: float = -inf
    _accounts: dict[str, _Account] = field(default_factory=dict)
    _peers: dict[str, _PeerAccounts] = field(default_factory=dict)

    def admit(
        self,
        workspace: str,
        allowance: Allowance,
        units: float,
        now: float,
        share: float = 1,
        *,
        are_runners_idle: bool = False,
    ) -> Verdict:
        """Let a request in and count it, or tell when to come back.

        `share` is the part of all VMs that this one hears.
        """
        account = self._account(workspace, now)
        self._repay_debt(account, allowance, now, share)
        needed = min(units, allowance.burst * MIN_BURST_SHARE)
        left = allowance.burst - account.debt
        if now < self._settled_at():
            # The same for all, or they would come back in the same moment.
            return Verdict(
                is_let_in=False, retry_after_s=SETTLE_S, owed=account.debt
            )
        if left >= needed:
            account.debt += units
            account.used += units
            return Verdict(is_let_in=True)
        # While some VMs are silent, the tolerance covers what they admit.
        if are_runners_idle and share >= 1:
            if account.beyond_debt + units <= self._idle_allowance(allowance):
                account.beyond_debt += units
                account.beyond += units
                return Verdict(is_let_in=True, is_beyond=True)
        rate = max(allowance.rate_per_s * share, 1)
        return Verdict(
            is_let_in=False,
            retry_after_s=(needed - left) / rate,
            owed=account.debt,
        )

    def give_back(
        self, workspace: str, units: float, *, is_beyond: bool = False
    ) -> None:
        """Undo an admission of what then didn't run."""
        account = self._accounts.get(workspace)
        if account is None:
            return
        if is_beyond:
            account.beyond_debt -= units
            account.beyond -= units
        else:
            account.debt -= units
            account.used -= units

    def spendings(self) -> dict[str, Spending]:
        """Return what to tell the other VMs."""
        return {
            workspace: Spending(
                account.used,
                account.beyond,
                account.debt,
                account.beyond_debt,
            )
            for workspace, account in self._accounts.items()
        }

    def age_s(self, now: float) -> float:
        """Return for how long the accounts are complete."""
        return now - self.since

    def adopt(
        self, told: Mapping[str, Spending], now: float, age_s: float
    ) -> None:
        """Take over all accounts of a peer, if they go back further.

        What is only assumed to be owed gives way to what the peer knows.
        """
        since = now - age_s
        if since >= self.since - MIN_AGE_LEAD_S:
            return
        self.since = since
        for workspace, account in self._accounts.items():
            owed = told.get(workspace, Spending())
            ours = min(account.used, account.debt)
            beyond = min(account.beyond, account.beyond_debt)
            account.updated_at = max(account.updated_at, now)
            account.debt = max(owed.debt, ours)
            account.beyond_debt = max(owed.beyond_debt, beyond)

    def heard(
        self,
        peer: str,
        told: Mapping[str, Spending],
        now: float,
        *,
        tells_all: bool = True,
        age_s: float = inf,
    ) -> None:
        """Take over what a peer has admitted since it last said so.

        With `tells_all`, workspaces that are not named have spent nothing.
        `age_s` is for how long the peer's accounts are complete.

        A VM that has just started knows nothing of what was admitted before;
        with a full burst from each restart, a rolling restart of six VMs
        would let in six. So it begins with the debts that its peers know. Of
        a peer whose accounts are younger than ours it takes what that peer
        itself admitted: the rest of its debts may be only assumed.
        """
        heard = self._peers.setdefault(peer, _PeerAccounts())
        is_younger = now - age_s > self.since + MIN_AGE_LEAD_S
        for workspace, spending in told.items():
            account = self._account(workspace, now)
            known = heard.last_totals(workspace)
            if known is None and is_younger:
                account.debt += min(spending.used, spending.debt)
                account.beyond_debt += min(
                    spending.beyond, spending.beyond_debt
                )
            elif known is None:
                account.debt = max(account.debt, spending.debt)
                account.beyond_debt = max(
                    account.beyond_debt, spending.beyond_debt
                )
            else:
                account.debt += spending.used - known.used
                account.beyond_debt += spending.beyond - known.beyond
            heard.spendings[workspace] = spending
        heard.is_complete = heard.is_complete or tells_all

    def forget(self, peer: str) -> None:
        """Drop a peer that has ended."""
        self._peers.pop(peer, None)

    def _account(self, workspace: str, now: float) -> _Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = _Account(now)
            self._accounts[workspace] = account
        return account

    def _repay_debt(
        self,
        account: _Account,
        allowance: Allowance,
        now: float,
        share: float,
    ) -> None:
        elapsed_s = max(now - account.updated_at, 0)
        account.updated_at = max(now, account.updated_at)
        silent_share = 1 - max(share, MIN_USABLE_BURST)
        account.debt = max(
            account.debt - elapsed_s * allowance.rate_per_s * share,
            self._assumed_debt(allowance.burst, allowance.rate_per_s, now),
            allowance.burst * silent_share,
        )
        idle_allowance = self._idle_allowance(allowance)
        idle_allowance_per_s = idle_allowance / self.tolerance.window_s
        account.beyond_debt = max(
            account.beyond_debt - elapsed_s * idle_allowance_per_s,
            self._assumed_debt(idle_allowance, idle_allowance_per_s, now),
        )

    def _settled_at(self) -> float:
        return self.since + SETTLE_S

    def _assumed_debt(
        self, units: float, repaid_per_s: float, now: float
    ) -> float:
        """Return what is left of units that were spent before our accounts."""
        if isinf(self.since):
            return 0
        left = units - repaid_per_s * max(now - self._settled_at(), 0)
        return max(left, 0)

    def _idle_allowance(self, allowance: Allowance) -> float:
        """Return the most that is let in beyond an allotment at once.

        As much again is paid back within a window.
        """
        units = self.tolerance.units(allowance.rate_per_s, allowance.burst)
        return units * IDLE_TOLERANCE_SHARE / 2


def make_allotment_book(
    tolerance: Tolerance, now: float, *, is_first_start: bool
) -> AllotmentBook:
    """Return the accounts of a VM that starts.

    `is_first_start`: of the whole system, so no workspace owes anything.
    """
    return AllotmentBook(tolerance, -inf if is_first_start else now)
