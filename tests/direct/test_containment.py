"""A request whose content ends the runners that run it."""

import asyncio
from collections import Counter
from datetime import UTC, datetime

from bramleybend.clock import ManualClock
from bramleybend.decisions.quarantine import CONDEMNED
from bramleybend.direct.containment import BROADCAST_S, Containment
from bramleybend.direct.models import (
    RequestFacts,
    RunnerEntry,
    RunnerState,
)
from bramleybend.direct.replies import RawRequest
from bramleybend.events import EventLog
from tests.direct.world import ENGINE, PLAIN, World, playing
from tests.utils.raw_runner import Seen, answers, streams
from tests.utils.waiting import wait_until

POISON, INNOCENT = b'poison', b'innocent'
RETURNS = 6
BEAT_S = 0.25  # after which the other VMs have heard


async def crashes(seen: Seen) -> None:
    """Break off what is poisonous, and answer all else."""
    if seen.body == POISON:
        seen.writer.transport.abort()
        return
    await answers(seen)


def runner(number: int) -> RunnerEntry:
    return RunnerEntry(
        f'r{number}', 0, PLAIN, '10.0.0.1', 80, 'a', 4, RunnerState.READY
    )


async def add_runners(world: World, count: int) -> None:
    for number in range(count):
        await world.add_runner(f'r{number}', PLAIN, crashes)
    await world.knows(PLAIN, count)


def arrivals(world: World, body: bytes) -> int:
    """Count the runs of some content."""
    seen = [one for runner in world.runners.values() for one in runner.seen]
    return sum(one.body == body for one in seen)


async def test_content_that_crashes_runners_is_contained_over_all_vms() -> None:
    """The caller sees failures, then 503 with "nothing was run".

    A booking breaks off at each runner that gets it, and its caller sends it
    again and again, to one VM and the other. After three runners it reaches
    none, at either VM, as they tell each other; other callers and other
    bookings of the same caller are served all the while.
    """
    async with playing(vms=2) as world:
        await add_runners(world, 6)
        statuses = []
        for number in range(RETURNS):
            answer = await world.call(
                '/book/x', number % 2, body=POISON, attempt=f'p{number}'
            )
            statuses.append(answer.status)
            await asyncio.sleep(BEAT_S)
        assert statuses == [502] * CONDEMNED + [503] * (RETURNS - CONDEMNED)
        assert arrivals(world, POISON) == CONDEMNED
        for vm in (0, 1):
            answer = await world.call('/book/x', vm, body=INNOCENT)
            assert answer.status == 200


async def test_a_lookup_that_crashes_runners_is_not_sent_on_for_ever() -> None:
    """The caller sees 502, and 503 once the content is known.

    A lookup may run twice, so each attempt crashes two runners, until three
    have ended under it.
    """
    async with playing() as world:
        await add_runners(world, 6)
        for number in range(RETURNS):
            await world.call('/read/x', body=POISON, attempt=f'p{number}')
        assert arrivals(world, POISON) == CONDEMNED


async def test_content_that_broke_off_in_company_is_cleared_by_one_good_run() -> (
    None
):
    """The caller sees two failures, then its answers.

    Two runners end while an innocent request is there. The third run is
    alone on its runner and comes to its end; nothing is held against it.
    """
    broken: Counter[bytes] = Counter()

    async def breaks_twice(seen: Seen) -> None:
        broken[seen.body] += 1
        if broken[seen.body] <= CONDEMNED - 1:
            seen.writer.transport.abort()
            return
        await answers(seen)

    async with playing() as world:
        for number in range(4):
            await world.add_runner(f'r{number}', PLAIN, breaks_twice)
        await world.knows(PLAIN, 4)
        statuses = [
            (await world.call('/book/x', body=INNOCENT)).status
            for _ in range(RETURNS)
        ]
        assert statuses == [502, 502, 200, 200, 200, 200]


async def test_suspect_content_runs_alone() -> None:
    """Others wait for no crash: the suspect has a runner to itself.

    A stream broke off twice. Its third run begins only where nothing else
    runs, and nothing else is sent there until it ends; the rest of the
    runners serve the others.
    """
    together: list[int] = []
    running: Counter[str] = Counter()
    gate = asyncio.Event()

    async with playing() as world:

        async def behave(seen: Seen) -> None:
            name = seen.headers['x-bramleybend-expect-instance']
            if seen.body == POISON:
                together.append(running[name])
                seen.writer.transport.abort()
                return
            running[name] += 1
            await gate.wait()
            await streams(seen)
            running[name] -= 1

        for number in range(3):
            await world.add_runner(f'r{number}', ENGINE, behave)
        await world.knows(ENGINE, 3)
        for number in range(2):
            await world.call('/draft/x', attempt=f'p{number}', body=POISON)
        others = [
            asyncio.create_task(
                world.call(
                    '/draft/x', attempt=f'o{number}', body=b'o%d' % number
                )
            )
            for number in range(12)
        ]
        await wait_until(
            lambda: len(+running) == 3, 'every runner has something to run'
        )
        suspect = asyncio.create_task(
            world.call('/draft/x', attempt='p3', body=POISON)
        )
        await asyncio.sleep(BEAT_S)
        assert len(together) == 2
        gate.set()
        await suspect
        assert together[-1] == 0
        for other in others:
            assert (await other).status == 200


def test_only_what_is_new_or_refused_is_told() -> None:
    """Heartbeats stay small on a day when many connections break."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    containment = Containment(clock, EventLog('vm', 'i', clock, kept=0))
    for number in range(CONDEMNED):
        containment.record_crash('refused', runner(number))
    containment.record_crash('broken', runner(0))
    containment.record_crash('cleared', runner(0))
    containment.record_completion('cleared')
    told = {one.fingerprint for one in containment.recent_news()}
    assert told == {'refused', 'broken', 'cleared'}
    clock.advance(BROADCAST_S + 1)
    assert [one.fingerprint for one in containment.recent_news()] == ['refused']


def test_content_is_told_apart_by_caller_target_and_body() -> None:
    """Another key, path or body is other content; an attempt id is not."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    containment = Containment(clock, EventLog('vm', 'i', clock, kept=0))

    def name(key: str, target: bytes, body: bytes) -> str:
        req = RawRequest(b'POST', target, (), body, 0)
        facts = RequestFacts('a', key, None, 0, 0, None, '')
        return containment.fingerprint(req, facts)

    first = name('k1', b'/a', POISON)
    assert first == name('k1', b'/a', POISON)
    others = {
        name('k2', b'/a', POISON),
        name('k1', b'/b', POISON),
        name('k1', b'/a', INNOCENT),
    }
    assert len(others | {first}) == 4
