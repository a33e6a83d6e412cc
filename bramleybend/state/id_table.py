"""Table of the request ids that a home has seen, in bounded memory.

If single ids were evicted, a late resend could run again. The table therefore
evicts whole ticket epochs, each long after it was closed to new ids, so that
a resend of an evicted id is always refused.
"""

from dataclasses import dataclass
from typing import Final, Generic, TypeAlias, TypeVar

from bramleybend.state.tickets import RequestId

EPOCH_S: Final = 300.0
GRACE_S: Final = 600.0
IDS_PER_EPOCH: Final = 100_000  # 5 minutes of 333 requests/s at one home
# A ticket issued at the end of an epoch stays usable for one more epoch.
OPEN_EPOCHS: Final = 2

Entry = TypeVar('Entry')


@dataclass(frozen=True)
class Known(Generic[Entry]):
    """The id was seen: join its running request or repeat its answer."""

    entry: Entry


@dataclass(frozen=True)
class New:
    """The id was never seen by this home and may be added."""


@dataclass(frozen=True)
class Expired:
    """The id may have been seen and evicted, or belongs to another home."""

    reason: str


@dataclass(frozen=True)
class Full:
    """The epoch accepts no more ids, ever: single ids are never evicted."""


@dataclass(frozen=True)
class TableLimits:
    """How long ids are kept, and how many per epoch."""

    epoch_s: float = EPOCH_S
    grace_s: float = GRACE_S
    capacity: int = IDS_PER_EPOCH


_Ids: TypeAlias = dict[int, dict[RequestId, Known[Entry]]]


class IdTable(Generic[Entry]):
    """Request ids of one incarnation, by the epoch of their ticket."""

    def __init__(
        self,
        incarnation: str,
        started: float,
        limits: TableLimits | None = None,
    ) -> None:
        """Count epochs from `started`, on the monotonic clock."""
        self._incarnation = incarnation
        self._started_at = started
        self._latest_now = started
        self._limits = limits or TableLimits()
        self._epochs: _Ids[Entry] = {}

    def __len__(self) -> int:
        """Return how many ids are kept."""
        return sum(len(ids) for ids in self._epochs.values())

    def current_epoch(self, now: float) -> int:
        """Return the epoch of tickets that are issued now.

        Ignores a clock reading below an earlier one: a clock that goes back
        would reopen an epoch whose ids were evicted, and a resend would run
        again.
        """
        self._latest_now = max(self._latest_now, now)
        return int(
            (self._latest_now - self._started_at) // self._limits.epoch_s
        )

    def lookup(
        self,
        request_id: RequestId,
        now: float,
    ) -> Known[Entry] | New | Expired | Full:
        """Return whether the id is known, may be added, or is refused."""
        current = self.current_epoch(now)
        epoch = request_id.ticket.epoch
        if request_id.ticket.incarnation != self._incarnation:
            return Expired('the id belongs to another incarnation')
        ids = self._epochs.get(epoch, {})
        known = ids.get(request_id)
        if known is not None:
            return known
        if epoch > current:
            return Expired('the id is under a ticket not given yet')
        if epoch <= current - OPEN_EPOCHS:
            return Expired('the ticket is too old for new ids')
        return Full() if len(ids) >= self._limits.capacity else New()

    def add(
        self,
        request_id: RequestId,
        entry: Entry,
        now: float,
    ) -> Known[Entry] | New | Expired | Full:
        """Add the id if it is new; any other result adds nothing."""
        verdict = self.lookup(request_id, now)
        self._drop_old_epochs()
        if isinstance(verdict, New):
            epoch = request_id.ticket.epoch
            self._epochs.setdefault(epoch, {})[request_id] = Known(entry)
        return verdict

    def _drop_old_epochs(self) -> None:
        elapsed = self._latest_now - self._started_at - self._limits.grace_s
        last_dropped = int(elapsed // self._limits.epoch_s) - OPEN_EPOCHS
        for epoch in sorted(self._epochs):
            if epoch <= last_dropped:
                self._epochs.pop(epoch)
