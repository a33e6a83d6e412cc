"""Resends at the home: ids are forgotten an epoch at a time, never run twice.

The table is the real one with epochs of a tick, its limits and clock readings
played through by the checker. Callers mint ids under tickets they were given;
copies of a message arrive at any later time.
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
SENT: Final = tuple(
    RequestId(Ticket('10.0.0.1', 8080, INCARNATION, epoch), own)
    for epoch, own in ((0, 'slot-7'), (0, 'slot-8'), (1, 'slot-7'))
)


class State(NamedTuple):
    """Ticks, the table, what ran and what was refused without a run."""

    now: int = 0
    latest: float = 0  # reading of the clock that the table has seen
    kept: tuple[int, ...] = ()

    ran: tuple[int, ...] = (0,) * len(SENT)
    refused: tuple[bool, ...] = (False,) * len(SENT)


class _ForgetfulTable(IdTable[int]):
    """Mutant: forgets ids while their epoch still takes new ones."""

    def _drop_forgotten(self) -> None:
        self._epochs.clear()


class _BackwardTable(IdTable[int]):
    """Mutant: believes a clock reading that went back."""

    def current_epoch(self, now: float) -> int:
        self._latest = now
        return super().current_epoch(now)


class _OpenTable(IdTable[int]):
    """Mutant: takes a new id under a closed epoch."""

    def lookup(self, request_id: RequestId, now: float) -> Any:
        verdict = super().lookup(request_id, now)
        given = request_id.ticket.epoch <= self.current_epoch(now)
        return New() if isinstance(verdict, Expired) and given else verdict


class _RoomyTable(IdTable[int]):
    """Mutant: makes room by forgetting single ids."""

    def lookup(self, request_id: RequestId, now: float) -> Any:
        verdict = super().lookup(request_id, now)
        if isinstance(verdict, Full):
            self._epochs.clear()
            return New()
        return verdict


TABLES: Final[dict[str, Callable[..., IdTable[int]]]] = {
    '': IdTable,
    'ids are forgotten one by one': _ForgetfulTable,
    'a clock gone back reopens an epoch': _BackwardTable,
    'a closed epoch takes new ids': _OpenTable,
    'a full table forgets its oldest id': _RoomyTable,
}


class Verdict(NamedTuple):
    """What the table said, and what it holds afterwards."""

    said: Any
    latest: float
    kept: tuple[int, ...]


@lru_cache(maxsize=None)
def ask(
    table: tuple[float, tuple[int, ...]],
    index: int,
    reading: int,
    mutant: str,
) -> Verdict:
    """Ask a table that holds `kept` and has read the clock at `latest`."""
    latest, kept = table
    ids = TABLES[mutant](INCARNATION, 0, LIMITS)
    ids._latest = latest
    for known in kept:
        epoch = SENT[known].ticket.epoch
        ids._epochs.setdefault(epoch, {})[SENT[known]] = Known(known)
    said = ids.add(SENT[index], index, reading)
    left = [
        known.entry
        for epoch in ids._epochs.values()
        for known in epoch.values()
    ]
    return Verdict(said, ids._latest, tuple(sorted(left)))


def build(mutant: str) -> Transitions:
    """Return the transitions: a tick, or a copy of a message arrives."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        steps: list[Step] = []
        if state.now < LAST_TICK:
            steps.append(('a tick', state._replace(now=state.now + 1)))
        given = state._replace(latest=state.now)
        if given != state:
            steps.append(('a ticket is given', given))
        for index, req in enumerate(SENT):
            if req.ticket.epoch * LIMITS.epoch_s <= state.latest:
                steps.extend(arrivals(state, index, mutant))
        return steps

    return transitions


def arrivals(state: State, index: int, mutant: str) -> list[Step]:
    """Let a message arrive, read at the true time or at an old one."""
    return [
        (f'id {index} arrives, clock reads {reading}', step)
        for reading in sorted({state.now, max(0, state.now - 6)})
        if (step := arrival(state, index, reading, mutant)) != state
    ]


def arrival(state: State, index: int, reading: int, mutant: str) -> State:
    """Run a new id, refuse or join any other."""
    verdict = ask((state.latest, state.kept), index, reading, mutant)
    state = state._replace(latest=verdict.latest, kept=verdict.kept)
    if isinstance(verdict.said, New):
        ran = list(state.ran)
        ran[index] += 1
        return state._replace(ran=tuple(ran))
    if isinstance(verdict.said, Expired | Full) and not state.ran[index]:
        refused = list(state.refused)
        refused[index] = True
        return state._replace(refused=tuple(refused))
    return state


RESENDS: Final = Model(
    name='resends to the home',
    initial=State(),
    build=build,
    invariants={
        'a request is dispatched at most once': lambda now: (
            max(now['ran']) <= 1
        ),
        'told not run means not run': lambda now: (
            not any(
                refused and ran
                for refused, ran in zip(now['refused'], now['ran'], strict=True)
            )
        ),
    },
    mutants=tuple(name for name in TABLES if name),
    witnesses={
        'all ids but one run': lambda now: sum(now['ran']) == 2,
        'a new id is refused': lambda now: (
            any(now['refused']) and not any(now['ran'])
        ),
    },
)
