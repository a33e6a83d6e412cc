"""Model of resends at the home, which evicts ids by epoch.

The model uses the production `IdTable` with small limits and explores its
clock readings. Callers create ids under tickets that the home issued, and
copies of a message may arrive at any later time.
"""

from collections.abc import Callable
from functools import lru_cache
from typing import Any, Final, NamedTuple

from bramleybend.state.id_table import (
    Expired,
    Full,
    IdTable,
    Known,
    New,
    TableLimits,
)
from bramleybend.state.tickets import RequestId, Ticket
from spec.checking import Model, Step, Transitions

LAST_TICK: Final = 9
LIMITS: Final = TableLimits(epoch_s=2, grace_s=1, capacity=1)
INCARNATION: Final = 'a1'
REQUEST_IDS: Final = tuple(
    RequestId(Ticket('10.0.0.1', 8080, INCARNATION, epoch), own)
    for epoch, own in ((0, 'slot-7'), (0, 'slot-8'), (1, 'slot-7'))
)


class State(NamedTuple):
    """The clock, the table, and per id its runs and whether it was refused."""

    now: int = 0
    latest_now: float = 0  # latest clock reading of the table
    kept_ids: tuple[int, ...] = ()

    run_counts: tuple[int, ...] = (0,) * len(REQUEST_IDS)
    is_refused: tuple[bool, ...] = (False,) * len(REQUEST_IDS)


class _ForgetfulTable(IdTable[int]):
    """Mutant: evicts ids while their epoch still accepts new ones."""

    def _drop_old_epochs(self) -> None:
        self._epochs.clear()


class _BackwardClockTable(IdTable[int]):
    """Mutant: accepts a clock reading that went back."""

    def current_epoch(self, now: float) -> int:
        self._latest_now = now
        return super().current_epoch(now)


class _ReopenedTable(IdTable[int]):
    """Mutant: accepts new ids under a closed epoch."""

    def lookup(self, request_id: RequestId, now: float) -> Any:
        verdict = super().lookup(request_id, now)
        given = request_id.ticket.epoch <= self.current_epoch(now)
        return New() if isinstance(verdict, Expired) and given else verdict


class _EvictingTable(IdTable[int]):
    """Mutant: evicts ids when the table is full."""

    def lookup(self, request_id: RequestId, now: float) -> Any:
        verdict = super().lookup(request_id, now)
        if isinstance(verdict, Full):
            self._epochs.clear()
            return New()
        return verdict


TABLE_VARIANTS: Final[dict[str, Callable[..., IdTable[int]]]] = {
    '': IdTable,
    'ids are forgotten one by one': _ForgetfulTable,
    'a clock gone back reopens an epoch': _BackwardClockTable,
    'a closed epoch takes new ids': _ReopenedTable,
    'a full table forgets its oldest id': _EvictingTable,
}


class AddResult(NamedTuple):
    """The table's reply, and its state afterwards."""

    reply: Any
    latest_now: float
    kept_ids: tuple[int, ...]


@lru_cache(maxsize=None)
def add_id(
    table: tuple[float, tuple[int, ...]],
    index: int,
    clock_reading: int,
    mutant: str,
) -> AddResult:
    """Add an id to a table with a latest clock reading and kept ids."""
    latest, kept = table
    ids = TABLE_VARIANTS[mutant](INCARNATION, 0, LIMITS)
    ids._latest_now = latest
    for known in kept:
        epoch = REQUEST_IDS[known].ticket.epoch
        ids._epochs.setdefault(epoch, {})[REQUEST_IDS[known]] = Known(known)
    reply = ids.add(REQUEST_IDS[index], index, clock_reading)
    kept_ids_left = [
        known.entry
        for epoch in ids._epochs.values()
        for known in epoch.values()
    ]
    return AddResult(reply, ids._latest_now, tuple(sorted(kept_ids_left)))


def build(mutant: str) -> Transitions:
    """Return the transitions: ticks, issued tickets, arriving messages."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        steps: list[Step] = []
        if state.now < LAST_TICK:
            steps.append(('a tick', state._replace(now=state.now + 1)))
        given = state._replace(latest_now=state.now)
        if given != state:
            steps.append(('a ticket is given', given))
        for index, req in enumerate(REQUEST_IDS):
            if req.ticket.epoch * LIMITS.epoch_s <= state.latest_now:
                steps.extend(arrival_steps(state, index, mutant))
        return steps

    return transitions


def arrival_steps(state: State, index: int, mutant: str) -> list[Step]:
    """Return the arrivals of a message, with a correct or an old clock."""
    return [
        (f'id {index} arrives, clock reads {reading}', step)
        for reading in sorted({state.now, max(0, state.now - 6)})
        if (step := handle_arrival(state, index, reading, mutant)) != state
    ]


def handle_arrival(
    state: State, index: int, reading: int, mutant: str
) -> State:
    """Run a new id, or refuse the message, or join a running request."""
    added = add_id((state.latest_now, state.kept_ids), index, reading, mutant)
    state = state._replace(latest_now=added.latest_now, kept_ids=added.kept_ids)
    if isinstance(added.reply, New):
        run_counts = list(state.run_counts)
        run_counts[index] += 1
        return state._replace(run_counts=tuple(run_counts))
    if isinstance(added.reply, Expired | Full) and not state.run_counts[index]:
        is_refused = list(state.is_refused)
        is_refused[index] = True
        return state._replace(is_refused=tuple(is_refused))
    return state


RESENDS: Final = Model(
    name='resends to the home',
    initial=State(),
    build=build,
    invariants={
        'a request is dispatched at most once': lambda now: (
            max(now['run_counts']) <= 1
        ),
        'told not run means not run': lambda now: (
            not any(
                refused and ran
                for refused, ran in zip(
                    now['is_refused'], now['run_counts'], strict=True
                )
            )
        ),
    },
    mutants=tuple(name for name in TABLE_VARIANTS if name),
    witnesses={
        'all ids but one run': lambda now: sum(now['run_counts']) == 2,
        'a new id is refused': lambda now: (
            any(now['is_refused']) and not any(now['run_counts'])
        ),
    },
)
