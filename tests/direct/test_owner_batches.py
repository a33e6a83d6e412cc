"""An owner decides once for all slot requests of one event loop turn."""

import asyncio
from functools import partial
from random import Random

import pytest

from bramleybend.clock import Clock, ManualClock, SystemClock
from bramleybend.decisions.actions import (
    Action,
    Grant,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.direct.heartbeat_messages import ReportedRun
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.service_queue import SWITCHES, ServiceQueue, make_queue
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier
from tests.utils.start_times import START

SERVICE = 'lm'
SLOTS = 2


def make_service_queue(
    clock: Clock | None = None, slots: int = SLOTS
) -> ServiceQueue:
    """Return a queue with one engine."""
    queue = make_queue(
        SERVICE, is_engine=True, clock=clock or SystemClock(), rng=Random(1)
    )
    entry = RunnerEntry(
        'r1', 0, SERVICE, '127.0.0.1', 90, 'd', slots, RunnerState.READY
    )
    queue.update_runners([entry], warm=True)
    return queue


def ask(name: str, tier: Tier = Tier.HIGH) -> SlotRequest:
    """Return a slot request with a late deadline."""
    later = SystemClock().monotonic() + 60
    return SlotRequest(
        name, SERVICE, tier, 'w', 100, 50, (), later, cancellable=False
    )


async def test_a_burst_costs_one_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Slot requests that arrive together don't wait for each other."""
    queue = make_service_queue()
    await asyncio.sleep(0)
    ticks: list[float] = []
    tick = ShardPolicy.tick

    def count_tick(policy: ShardPolicy, now: float) -> list[Action]:
        ticks.append(now)
        return tick(policy, now)

    monkeypatch.setattr(ShardPolicy, 'tick', count_tick)
    for number in range(50):
        queue.request_slot(ask(f'a{number}'), lambda action: None)
    await asyncio.sleep(0)
    assert len(ticks) == 1


async def test_a_slot_goes_to_the_highest_tier_that_came_in_the_turn() -> None:
    """A lower tier that asks first doesn't get the slot of a higher one."""
    queue = make_service_queue()
    await asyncio.sleep(0)
    granted: list[str] = []

    def reply(action: Grant | Refuse) -> None:
        granted.append(action.request_id)

    for number in range(SLOTS):
        queue.request_slot(ask(f'low{number}', Tier.BULK), reply)
    for number in range(SLOTS):
        queue.request_slot(ask(f'high{number}', Tier.CRITICAL), reply)
    await asyncio.sleep(0)
    assert sorted(granted) == ['high0', 'high1']


async def test_only_what_waits_is_acknowledged() -> None:
    """A slot request that is granted at once gets only the grant."""
    queue = make_service_queue()
    await asyncio.sleep(0)
    acknowledged: list[str] = []
    for name in ('a', 'b', 'c'):
        queue.request_slot(
            ask(name), lambda action: None, partial(acknowledged.append, name)
        )
    await asyncio.sleep(0)
    assert acknowledged == ['c']


@pytest.mark.parametrize('batched', [False, True])
def test_a_burst_on_free_slots_is_not_refused(batched: bool) -> None:
    """Slot requests that arrive together don't count as a queue."""
    service = Service('s', ServiceKind.ENGINE, slots=8)
    policy = make_shard_policy(
        service, Random(1), switches=SWITCHES, batched=batched
    )
    infos = [
        RunnerInfo(f'r{number}', slots=8, warm=True) for number in range(10)
    ]
    policy.update_runners(infos, 0)
    for number in range(20):
        policy.request_slot(ask_of_cost(f'l{number}', 100, 0), 0)
    policy.tick(0)
    report = RunReport('done', prompt_tokens=1, completion_tokens=6, seconds=1)
    for number in range(20):
        policy.end_run(f'l{number}', report, 1)
    policy.tick(1)
    actions: list[Action] = []
    for number in range(64):
        actions += policy.request_slot(ask_of_cost(f'b{number}', 1000, 1), 1)
    actions += policy.tick(1)
    assert [type(action) for action in actions] == [Grant] * 64


def ask_of_cost(name: str, cost: float, now: float) -> SlotRequest:
    """Return a slot request that has to start within two seconds."""
    return SlotRequest(
        name,
        's',
        Tier.NORMAL,
        'w',
        cost,
        1,
        (),
        now + 600,
        latest_answer_start=now + 2,
        cancellable=False,
    )


async def test_a_run_that_its_vm_tells_of_keeps_its_slot() -> None:
    """A delayed slot request must not free the slot of its own run."""
    clock = ManualClock(START)
    queue = make_service_queue(clock, slots=1)
    queue.request_slot(ask('a'), lambda action: None)
    await asyncio.sleep(0)
    await confirm_run_a(queue, clock)
    queue.request_slot(ask('a'), lambda action: None)
    await confirm_run_a(queue, clock)
    assert not await is_granted(queue)


async def test_a_run_outlives_an_ask_of_it_that_lapses() -> None:
    """A slot request that expires must not end the run that it was granted."""
    clock = ManualClock(START)
    queue = make_service_queue(clock, slots=1)
    queue.request_slot(ask('other'), lambda action: None)
    queue.request_slot(ask('a'), lambda action: None)
    await asyncio.sleep(0)
    queue.confirm_started('other')
    await confirm_run_a(queue, clock)
    queue.release('other', RunReport('done'))
    assert not await is_granted(queue)


async def confirm_run_a(queue: ServiceQueue, clock: ManualClock) -> None:
    """Let heartbeats confirm a run for longer than a slot request is kept."""
    news = ReportedRun('a', SERVICE, 'r1', 2, 'w', 100, 50)
    for _ in range(6):
        clock.advance(0.3)
        queue.update_reported_runs('vm', [news], clock.monotonic())
        queue.drop_expired()
        await asyncio.sleep(0)


async def is_granted(queue: ServiceQueue) -> bool:
    """Return whether one more slot is granted."""
    granted: list[Grant | Refuse] = []
    queue.request_slot(ask('next'), granted.append)
    await asyncio.sleep(0)
    return bool(granted)
