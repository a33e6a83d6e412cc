"""The ids a home has seen: bounded memory without a second run.

Forgetting single ids would let a late resend run again. So ids are kept in
one table per ticket epoch and forgotten an epoch at a time, after the epoch
has long been closed to new ids: what is forgotten can only be refused.
"""

from dataclasses import dataclass
from typing import Final, Generic, TypeAlias, TypeVar

from bramleybend.state.tickets import RequestId

EPOCH_S: Final = 300.0
GRACE_S: Final = 600.0
EPOCH_CAPACITY: Final = 100_000  # 5 minutes of 333 requests/s at one home
OPEN_EPOCHS: Final = 2  # a ticket given at an epoch's end lives one more

Entry = TypeVar('Entry')


@dataclass(frozen=True)
class Known(Generic[Entry]):
    """The id was seen: join its request or repeat its answer."""

    entry: Entry


@dataclass(frozen=True)
class New:
    """The id was never seen here and may be added."""


@dataclass(frozen=True)
class Expired:
    """The id may have been seen and forgotten, or is not from here."""

    reason: str


@dataclass(frozen=True)
class Full:
    """The epoch takes no more ids; final, as its table never shrinks."""


@dataclass(frozen=True)
class TableLimits:
    """How long ids are kept and how many."""

    epoch_s: float = EPOCH_S
    grace_s: float = GRACE_S
    capacity: int = EPOCH_CAPACITY


_Ids: TypeAlias = dict[int, dict[RequestId, Known[Entry]]]


class IdTable(Generic[Entry]):
    """Ids of one incarnation, by the epoch of their ticket."""

    def __init__(
        self,
        incarnation: str,
        started: float,
        limits: TableLimits | None = None,
    ) -> None:
        """Count epochs from `started`, on the monotonic clock."""
        self._incarnation = incarnation
        self._started = started
        self._latest = started
        self._limits = limits or TableLimits()
        self._epochs: _Ids[Entry] = {}

    def __len__(self) -> int:
        """Return how many ids are kept."""
        return sum(len(ids) for ids in self._epochs.values())

    def current_epoch(self, now: float) -> int:
        """Return the epoch that tickets given now belong to.

        A reading below an earlier one is ignored: going back would reopen an
        epoch whose ids are forgotten, and a resend would run again.
        """
        self._latest = max(self._latest, now)
        return int((self._latest - self._started) // self._limits.epoch_s)

    def lookup(
        self,
        request_id: RequestId,
        now: float,
    ) -> Known[Entry] | New | Expired | Full:
        """Say whether the id is known, may be run, or is refused."""
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
        """Keep a new id; any verdict but `New` means nothing was changed."""
        verdict = self.lookup(request_id, now)
        self._drop_forgotten()
        if isinstance(verdict, New):
            epoch = request_id.ticket.epoch
            self._epochs.setdefault(epoch, {})[request_id] = Known(entry)
        return verdict

    def _drop_forgotten(self) -> None:
        elapsed = self._latest - self._started - self._limits.grace_s
        forgotten = int(elapsed // self._limits.epoch_s) - OPEN_EPOCHS
        for epoch in sorted(self._epochs):
            if epoch <= forgotten:
                self._epochs.pop(epoch)
