"""A queue of late requests that a burst leaves behind."""

from dataclasses import replace
from typing import Final

import pytest

from bramleybend.decisions.tier_queue import LATE_START_INTERVAL
from bramleybend.decisions.waiting_queue import MinRunTime, WaitingQueue
from bramleybend.direct.owner import SWITCHES
from bramleybend.models import Ask, Tier
from tests.decisions.engine_play import PATIENCE_S, Burst, Play, Tally
from tests.decisions.test_free_slots import KINDS
from tests.decisions.test_owner import make_ask

LOAD: Final = 1.4  # times what `KINDS` send; the engines can do 1.7 times
BURST: Final = Burst(3, 8, 2)
SETTLED_S: Final = 1.0  # after a burst: the longest objective
SEEDS: Final = (1, 2, 3, 4)
MOST: Final = 0.5

LEAST: Final = MinRunTime(0, 1)
LATE_AT: Final = 2.0


def after_burst(seed: int) -> dict[Tier, Tally]:
    """Return what became of those who came after the burst, by tier.

    They come while callers of the burst may still wait.
    """
    kinds = tuple(kind._replace(per_s=kind.per_s * LOAD) for kind in KINDS)
    play = Play(seed, SWITCHES, counts_from=BURST.ends + SETTLED_S)
    play.run(kinds, BURST, BURST.ends + PATIENCE_S)
    return {kind.tier: tally for kind, tally in play.tallies.items()}


def late_and_on_time() -> WaitingQueue:
    """Return a queue in which the workspace that is next has one late ask."""
    queue = WaitingQueue({})
    queue.add(objective_ask('late', 'first', LATE_AT), 0, LEAST)
    queue.add(objective_ask('on-time', 'second', LATE_AT + 1), 1, LEAST)
    queue.charge(objective_ask('earlier', 'second', 1), 1000)
    queue.demote_late(LATE_AT)
    return queue


def objective_ask(name: str, workspace: str, on_time_until: float) -> Ask:
    """Return a request that is late after some time."""
    return make_ask(
        name, workspace=workspace, deadline=60, on_time_until=on_time_until
    )


def next_id(queue: WaitingQueue) -> str:
    """Return which request is next."""
    return next(queue.windows(Tier.BULK))[0].ask.request_id


def test_a_late_request_lets_those_of_other_workspaces_pass() -> None:
    """Guards against a late request that makes another one late, too."""
    queue = late_and_on_time()
    assert next_id(queue) == 'on-time'
    queue.remove('on-time')
    assert next_id(queue) == 'late'


@pytest.mark.parametrize('seed', SEEDS)
def test_those_who_come_after_a_burst_are_answered_on_time(seed: int) -> None:
    """Guards against a queue of late requests that outlives its burst.

    The load is back to what the engines can do, so most of those who come
    can be answered on time, unless late ones take their turns.
    """
    tallies = after_burst(seed)
    for tier in (Tier.CRITICAL, Tier.HIGH):
        assert tallies[tier].on_time >= tallies[tier].sent * MOST


def test_a_late_request_at_risk_gets_a_turn_beside_those_on_time() -> None:
    """Guards against late requests that starve while the overload lasts."""
    queue = WaitingQueue({})
    late = objective_ask('late', 'first', LATE_AT)
    queue.add(replace(late, deadline=LATE_AT + 2), 0, LEAST)
    for number in range(LATE_START_INTERVAL):
        name = f'on-time-{number}'
        queue.add(objective_ask(name, 'second', LATE_AT + 1), 1, LEAST)
    queue.demote_late(LATE_AT)
    started = []
    for _ in range(LATE_START_INTERVAL):
        entry = next(queue.windows(Tier.BULK, LATE_AT))[0]
        queue.remove(entry.ask.request_id)
        queue.record_start(entry)
        started.append(entry.ask.request_id)
    assert started[-1] == 'late'
