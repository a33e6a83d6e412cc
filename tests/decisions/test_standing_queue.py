"""A queue of late requests that remains after a burst."""

from dataclasses import replace
from typing import Final

import pytest

from bramleybend.decisions.tier_queue import LATE_START_INTERVAL
from bramleybend.decisions.waiting_queue import MinRunTime, WaitingQueue
from bramleybend.direct.service_queue import SWITCHES
from bramleybend.models import SlotRequest, Tier
from tests.decisions.engine_simulation import (
    PATIENCE_S,
    EngineSimulation,
    LoadBurst,
    Tally,
)
from tests.decisions.test_free_slots import KINDS
from tests.decisions.test_owner import make_ask

# Factor on the rates of `KINDS`; the engines can serve a factor of 1.7.
LOAD_FACTOR: Final = 1.4
BURST: Final = LoadBurst(3, 8, 2)
SETTLED_S: Final = 1.0  # after a burst: the longest objective
SEEDS: Final = (1, 2, 3, 4)
MIN_ON_TIME_SHARE: Final = 0.5

MIN_TIME: Final = MinRunTime(0, 1)
LATE_AT: Final = 2.0


def tallies_after_burst(seed: int) -> dict[Tier, Tally]:
    """Return the tallies of requests that arrive after the burst, by tier.

    Requests of the burst may still wait then.
    """
    kinds = tuple(
        kind._replace(per_s=kind.per_s * LOAD_FACTOR) for kind in KINDS
    )
    simulation = EngineSimulation(
        seed, SWITCHES, counts_from=BURST.end + SETTLED_S
    )
    simulation.run(kinds, BURST, BURST.end + PATIENCE_S)
    return {kind.tier: tally for kind, tally in simulation.tallies.items()}


def make_queue_with_late_entry() -> WaitingQueue:
    """Return a queue whose next workspace has one late request."""
    queue = WaitingQueue({})
    queue.add(make_objective_ask('late', 'first', LATE_AT), 0, MIN_TIME)
    queue.add(make_objective_ask('on-time', 'second', LATE_AT + 1), 1, MIN_TIME)
    queue.charge(make_objective_ask('earlier', 'second', 1), 1000)
    queue.demote_late(LATE_AT)
    return queue


def make_objective_ask(
    name: str, workspace: str, on_time_until: float
) -> SlotRequest:
    """Return a request that is late after a time."""
    return make_ask(
        name, workspace=workspace, deadline=60, on_time_until=on_time_until
    )


def next_id(queue: WaitingQueue) -> str:
    """Return the ID of the next request."""
    return next(queue.windows(Tier.BULK))[0].ask.request_id


def test_late_request_starts_after_on_time_requests() -> None:
    """Guards against a late request that makes another one late, too."""
    queue = make_queue_with_late_entry()
    assert next_id(queue) == 'on-time'
    queue.remove('on-time')
    assert next_id(queue) == 'late'


@pytest.mark.parametrize('seed', SEEDS)
def test_requests_after_a_burst_are_on_time(seed: int) -> None:
    """Guards against a queue of late requests that outlasts its burst.

    The load is within the capacity of the engines again, so most new requests
    can be on time, unless late requests are served first.
    """
    tallies = tallies_after_burst(seed)
    for tier in (Tier.CRITICAL, Tier.HIGH):
        assert tallies[tier].on_time >= tallies[tier].sent * MIN_ON_TIME_SHARE


def test_urgent_late_request_gets_a_turn() -> None:
    """Guards against late requests that starve while an overload lasts."""
    queue = WaitingQueue({})
    late = make_objective_ask('late', 'first', LATE_AT)
    queue.add(replace(late, deadline=LATE_AT + 2), 0, MIN_TIME)
    for number in range(LATE_START_INTERVAL):
        name = f'on-time-{number}'
        queue.add(make_objective_ask(name, 'second', LATE_AT + 1), 1, MIN_TIME)
    queue.demote_late(LATE_AT)
    started = []
    for _ in range(LATE_START_INTERVAL):
        entry = next(queue.windows(Tier.BULK, LATE_AT))[0]
        queue.remove(entry.ask.request_id)
        queue.record_start(entry)
        started.append(entry.ask.request_id)
    assert started[-1] == 'late'
