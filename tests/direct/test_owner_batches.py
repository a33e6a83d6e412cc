"""An owner decides once for all that comes in one turn of the event loop."""

import asyncio
from functools import partial
from random import Random

import pytest

from bramleybend.clock import SystemClock
from bramleybend.decisions.actions import Action, Grant, Refuse
from bramleybend.decisions.owner import ShardPolicy
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.owner import ServiceQueue, make_queue
from bramleybend.models import Ask, Tier

SERVICE = 'lm'
SLOTS = 2


def make_service_queue() -> ServiceQueue:
    """Make a queue with one engine of two slots."""
    queue = make_queue(
        SERVICE, is_engine=True, clock=SystemClock(), rng=Random(1)
    )
    entry = RunnerEntry(
        'r1', 0, SERVICE, '127.0.0.1', 90, 'd', SLOTS, RunnerState.READY
    )
    queue.take_runners([entry], warm=True)
    return queue


def ask(name: str, tier: Tier = Tier.HIGH) -> Ask:
    """Return a request that may wait for long."""
    later = SystemClock().monotonic() + 60
    return Ask(name, SERVICE, tier, 'w', 100, 50, (), later, cancellable=False)


async def test_a_burst_costs_one_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Asks that come together don't wait for each other's decisions."""
    queue = make_service_queue()
    await asyncio.sleep(0)
    ticks: list[float] = []
    tick = ShardPolicy.tick

    def counted(policy: ShardPolicy, now: float) -> list[Action]:
        ticks.append(now)
        return tick(policy, now)

    monkeypatch.setattr(ShardPolicy, 'tick', counted)
    for number in range(50):
        queue.ask(ask(f'a{number}'), lambda action: None)
    await asyncio.sleep(0)
    assert len(ticks) == 1


async def test_a_slot_goes_to_the_highest_tier_that_came_in_the_turn() -> None:
    """A lower request that was read first takes no slot of a higher one."""
    queue = make_service_queue()
    await asyncio.sleep(0)
    granted: list[str] = []

    def reply(action: Grant | Refuse) -> None:
        granted.append(action.request_id)

    for number in range(SLOTS):
        queue.ask(ask(f'low{number}', Tier.BULK), reply)
    for number in range(SLOTS):
        queue.ask(ask(f'high{number}', Tier.CRITICAL), reply)
    await asyncio.sleep(0)
    assert sorted(granted) == ['high0', 'high1']


async def test_only_what_waits_is_acknowledged() -> None:
    """A grant is the first word to whoever gets one at once."""
    queue = make_service_queue()
    await asyncio.sleep(0)
    acknowledged: list[str] = []
    for name in ('a', 'b', 'c'):
        queue.ask(
            ask(name), lambda action: None, partial(acknowledged.append, name)
        )
    await asyncio.sleep(0)
    assert acknowledged == ['c']
