"""Requests whose content crashes the runners that run it."""

import asyncio
from collections import Counter
from datetime import UTC, datetime

from bramleybend.clock import ManualClock
from bramleybend.decisions.quarantine import REFUSAL_CRASHES
from bramleybend.direct.containment import (
    BROADCAST_S,
    MAX_BROADCAST_RECORDS,
    Containment,
    ContentIds,
)
from bramleybend.direct.models import (
    RequestMetadata,
    RunnerEntry,
    RunnerState,
)
from bramleybend.direct.quarantine_backup import SAVE_EVERY_S
from bramleybend.direct.replies import RawRequest
from bramleybend.events import EventLog
from bramleybend.platform.platform_dialect import make_header_codec
from tests.direct.cluster import ENGINE, KEY, PLAIN, Cluster, running_cluster
from tests.utils.raw_runner import (
    ReceivedRequest,
    answer_at_once,
    stream_three_events,
)
from tests.utils.waiting import wait_until

POISON, INNOCENT = b'poison', b'innocent'
CALLS = 6
HEARTBEAT_WAIT_S = 0.25  # until other VMs have received a heartbeat


async def crashes(seen: ReceivedRequest) -> None:
    """Drop the connection on poisonous content; answer everything else."""
    if seen.body == POISON:
        seen.writer.transport.abort()
        return
    await answer_at_once(seen)


def runner(number: int) -> RunnerEntry:
    return RunnerEntry(
        f'r{number}', 0, PLAIN, '10.0.0.1', 80, 'a', 4, RunnerState.READY
    )


async def add_runners(cluster: Cluster, count: int) -> None:
    for number in range(count):
        await cluster.add_runner(f'r{number}', PLAIN, crashes)
    await cluster.wait_for_runners(PLAIN, count)


def count_runs(cluster: Cluster, body: bytes) -> int:
    """Return the number of runs of some content."""
    seen = [one for runner in cluster.runners.values() for one in runner.seen]
    return sum(one.body == body for one in seen)


async def test_content_that_crashes_runners_is_contained_over_all_vms() -> None:
    """Poisonous content gets 502 until it is refused with 503.

    A non-idempotent request crashes each runner that gets it, and its caller
    sends it again and again to two VMs. After three crashes neither VM sends it
    to a runner, since VMs exchange crash records. Other requests are served.
    """
    async with running_cluster(vms=2) as cluster:
        await add_runners(cluster, 6)
        statuses = []
        for number in range(CALLS):
            answer = await cluster.call(
                '/book/x', number % 2, body=POISON, attempt=f'p{number}'
            )
            statuses.append(answer.status)
            await asyncio.sleep(HEARTBEAT_WAIT_S)
        assert statuses == [502] * REFUSAL_CRASHES + [503] * (
            CALLS - REFUSAL_CRASHES
        )
        assert count_runs(cluster, POISON) == REFUSAL_CRASHES
        for vm in (0, 1):
            answer = await cluster.call('/book/x', vm, body=INNOCENT)
            assert answer.status == 200


async def test_content_stays_refused_after_all_vms_were_killed() -> None:
    """VMs that lost their memory must not let content crash runners again."""
    async with running_cluster(vms=2) as cluster:
        await add_runners(cluster, 6)
        for number in range(CALLS):
            await cluster.call('/read/x', number % 2, body=POISON)
            await asyncio.sleep(HEARTBEAT_WAIT_S)
        runs = count_runs(cluster, POISON)
        assert runs == REFUSAL_CRASHES
        await asyncio.sleep(SAVE_EVERY_S)
        for _ in range(2):
            await cluster.restart_vms()
            await cluster.wait_for_runners(PLAIN, 6)
            for vm in (0, 1):
                answer = await cluster.call('/read/x', vm, body=POISON)
                assert answer.status == 503
                answer = await cluster.call('/read/x', vm, body=INNOCENT)
                assert answer.status == 200
        assert count_runs(cluster, POISON) == runs


async def test_a_lookup_that_crashes_runners_is_not_retried_forever() -> None:
    """An idempotent request stops crashing runners after three crashes.

    It may run twice, so each call crashes up to two runners.
    """
    async with running_cluster() as cluster:
        await add_runners(cluster, 6)
        for number in range(CALLS):
            await cluster.call('/read/x', body=POISON, attempt=f'p{number}')
        assert count_runs(cluster, POISON) == REFUSAL_CRASHES


async def test_content_that_crashed_beside_others_is_cleared_by_one_good_run() -> (
    None
):
    """Content that crashed runners twice is cleared by one successful run.

    Two runners crash while an innocent request runs there. Its third run is
    alone on a runner and succeeds, so its crash record is cleared.
    """
    crash_counts: Counter[bytes] = Counter()

    async def crashes_twice(seen: ReceivedRequest) -> None:
        crash_counts[seen.body] += 1
        if crash_counts[seen.body] <= REFUSAL_CRASHES - 1:
            seen.writer.transport.abort()
            return
        await answer_at_once(seen)

    async with running_cluster() as cluster:
        for number in range(4):
            await cluster.add_runner(f'r{number}', PLAIN, crashes_twice)
        await cluster.wait_for_runners(PLAIN, 4)
        statuses = [
            (await cluster.call('/book/x', body=INNOCENT)).status
            for _ in range(CALLS)
        ]
        assert statuses == [502, 502, 200, 200, 200, 200]


async def test_suspect_content_runs_alone() -> None:
    """Suspect content has a runner to itself, so a crash ends no other run.

    A stream crashed two runners. Its third run starts only on a runner without
    other runs, and nothing else is sent to that runner until it ends; the other
    runners keep serving.
    """
    runs_beside: list[int] = []
    running: Counter[str] = Counter()
    gate = asyncio.Event()

    async with running_cluster() as cluster:

        async def behave(seen: ReceivedRequest) -> None:
            name = seen.headers['x-bramleybend-expect-instance']
            if seen.body == POISON:
                runs_beside.append(running[name])
                seen.writer.transport.abort()
                return
            running[name] += 1
            await gate.wait()
            await stream_three_events(seen)
            running[name] -= 1

        for number in range(3):
            await cluster.add_runner(f'r{number}', ENGINE, behave)
        await cluster.wait_for_runners(ENGINE, 3)
        for number in range(2):
            await cluster.call('/draft/x', attempt=f'p{number}', body=POISON)
        others = [
            asyncio.create_task(
                cluster.call(
                    '/draft/x', attempt=f'o{number}', body=b'o%d' % number
                )
            )
            for number in range(12)
        ]
        await wait_until(
            lambda: len(+running) == 3, 'every runner has something to run'
        )
        suspect = asyncio.create_task(
            cluster.call('/draft/x', attempt='p3', body=POISON)
        )
        await asyncio.sleep(HEARTBEAT_WAIT_S)
        assert len(runs_beside) == 2
        gate.set()
        await suspect
        assert runs_beside[-1] == 0
        for other in others:
            assert (await other).status == 200


def test_only_new_or_refused_crash_records_are_sent() -> None:
    """Heartbeats stay small when many connections break."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    containment = Containment(
        clock, EventLog('vm', 'i', clock, max_kept_events=0)
    )
    for number in range(REFUSAL_CRASHES):
        containment.record_crash(ContentIds('refused'), runner(number))
    containment.record_crash(ContentIds('broken'), runner(0))
    containment.record_crash(ContentIds('cleared'), runner(0))
    containment.record_completion(ContentIds('cleared'))
    told = {one.fingerprint for one in containment.recent_news()}
    assert told == {'refused', 'broken', 'cleared'}
    clock.advance(BROADCAST_S + 1)
    assert [one.fingerprint for one in containment.recent_news()] == ['refused']


def test_content_is_told_apart_by_caller_target_and_body() -> None:
    """Content differs by key, path or body, but not by attempt id."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    containment = Containment(
        clock, EventLog('vm', 'i', clock, max_kept_events=0)
    )

    def name(key: str, target: bytes, body: bytes) -> str:
        req = RawRequest(b'POST', target, (), body, 0)
        facts = RequestMetadata('a', key, None, 0, 0, None, '')
        return containment.identify(req, facts).whole

    first = name('k1', b'/a', POISON)
    assert first == name('k1', b'/a', POISON)
    others = {
        name('k2', b'/a', POISON),
        name('k1', b'/b', POISON),
        name('k1', b'/a', INNOCENT),
    }
    assert len(others | {first}) == 4


def test_records_of_many_parts_all_reach_other_vms() -> None:
    """A crash under many requests must not hide the record that matters."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    events = EventLog('vm', 'i', clock, max_kept_events=0)
    sender, receiver = Containment(clock, events), Containment(clock, events)
    crashing = ContentIds('w', ('p:bad',))
    sender.record_crash(crashing, runner(0))
    for number in range(MAX_BROADCAST_RECORDS * 4):
        bystander = ContentIds(f'w{number}', (f'p:{number}',))
        sender.record_crash(bystander, runner(1))
    sender.record_crash(crashing, runner(2))
    news = sender.recent_news()
    assert len(news) == MAX_BROADCAST_RECORDS
    assert {'w', 'p:bad'} <= {one.fingerprint for one in news}
    for _ in range(20):
        receiver.merge_news(sender.recent_news())
    last = ContentIds('w0', ('p:0',))
    assert receiver.crashed_runners(last) == {runner(1).incarnation}


def test_the_last_part_of_a_prompt_is_not_shared() -> None:
    """It belongs to the request itself, whose crash says nothing of others."""
    headers = [(b'X-Bramleybend-Prompt-Prefix', b'5c:800, 91:410,5c:1,e4:250')]
    facts = make_header_codec().request_facts(headers)
    assert facts.shared_parts == ('5c', '91')


def test_a_prompt_without_parts_shares_none() -> None:
    """Plain services send no such header."""
    assert make_header_codec().request_facts([]).shared_parts == ()


async def test_a_request_that_waits_is_refused_with_its_content() -> None:
    """Suspects that wait for an empty runner would end it one by one."""
    gate = asyncio.Event()

    async def hold(seen: ReceivedRequest) -> None:
        if seen.body == POISON:
            seen.writer.transport.abort()
            return
        await gate.wait()
        await stream_three_events(seen)

    async with running_cluster() as cluster:
        await cluster.add_runner('r', ENGINE, hold)
        await cluster.wait_for_runners(ENGINE)
        other = asyncio.create_task(cluster.call('/draft/x', body=INNOCENT))
        await wait_until(lambda: bool(cluster.runners['r'].seen), 'a run')
        containment = cluster.vms[0].entry.containment
        req = RawRequest(b'POST', b'/draft/x', (), POISON, 0)
        facts = RequestMetadata('a', KEY, None, 0, 0, None, '')
        content = containment.identify(req, facts)
        for number in range(REFUSAL_CRASHES - 1):
            containment.record_crash(content, runner(number))
        waiting = asyncio.create_task(cluster.call('/draft/x', body=POISON))
        await asyncio.sleep(HEARTBEAT_WAIT_S)
        containment.record_crash(content, runner(REFUSAL_CRASHES))
        async with asyncio.timeout(1):
            assert (await waiting).status == 503
        gate.set()
        assert (await other).is_whole


async def test_a_page_whose_connections_are_reset_stays_served() -> None:
    """Resets under a page that many ask for must not have it refused.

    The connections of all runners that serve it are reset at once.
    """
    gate = asyncio.Event()
    gate.set()
    held: list[ReceivedRequest] = []

    async def hold(seen: ReceivedRequest) -> None:
        if gate.is_set():
            await answer_at_once(seen)
            return
        held.append(seen)
        await gate.wait()

    async def ask(number: int) -> int:
        answer = await cluster.call(
            '/read/page', method='GET', body=b'', attempt=f'g{number}'
        )
        return answer.status

    async with running_cluster() as cluster:
        for number in range(REFUSAL_CRASHES):
            await cluster.add_runner(f'r{number}', PLAIN, hold)
        await cluster.wait_for_runners(PLAIN, REFUSAL_CRASHES)
        assert await ask(0) == 200
        gate.clear()
        asking = [asyncio.create_task(ask(number)) for number in range(1, 13)]
        await wait_until(lambda: len(held) == len(asking), 'all are held')
        gate.set()
        for seen in held:
            seen.writer.transport.abort()
        await asyncio.gather(*asking)
        assert [await ask(number) for number in range(20, 30)] == [200] * 10
