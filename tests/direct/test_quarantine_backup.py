"""The backup of the records of content that crashes runners."""

import asyncio

from bramleybend.clock import ManualClock
from bramleybend.decisions.quarantine import REFUSAL_CRASHES, SUSPECT_TTL_S
from bramleybend.direct.containment import (
    MAX_SAVED_RECORDS,
    PART_PREFIX,
    Containment,
    ContentIds,
)
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.quarantine_backup import LOAD_RETRY_S, SAVE_EVERY_S
from bramleybend.events import EventLog
from tests.direct.cluster import PLAIN, Cluster, running_cluster
from tests.utils.raw_runner import ReceivedRequest
from tests.utils.start_times import START
from tests.utils.waiting import wait_until

TOPIC = 'keyed.bramleybend-crashes'
CONTENTS = 12
CALL_PAUSE_S = 0.25  # until other VMs have received a heartbeat


async def crash(seen: ReceivedRequest) -> None:
    """Drop the connection, as a runner that ends does."""
    seen.writer.transport.abort()


async def crash_runners(cluster: Cluster, body: bytes = b'poison') -> None:
    """Send content until it is refused."""
    for number in range(REFUSAL_CRASHES):
        await cluster.call('/read/x', number % len(cluster.vms), body=body)
        await asyncio.sleep(CALL_PAUSE_S)


def count_runs(cluster: Cluster) -> int:
    """Return the requests that all runners received."""
    return sum(len(runner.seen) for runner in cluster.runners.values())


def saved_records(cluster: Cluster) -> int:
    """Return how many records were written to the topic."""
    return len(cluster.store.topic(TOPIC).records)


def entry(number: int) -> RunnerEntry:
    """Return one of several runners."""
    return RunnerEntry(
        f'r{number}', 0, PLAIN, '10.0.0.1', 80, 'a', 4, RunnerState.READY
    )


def contained(clock: ManualClock, *contents: ContentIds) -> Containment:
    """Return records in which each content has crashed enough runners."""
    containment = Containment(clock, EventLog('vm', 'i', clock, 0))
    for content in contents:
        for number in range(REFUSAL_CRASHES):
            containment.record_crash(content, entry(number))
    return containment


async def test_records_are_read_once_the_store_answers() -> None:
    """A store that was silent at the start must not cost the records for good."""
    async with running_cluster(vms=2) as cluster:
        for number in range(6):
            await cluster.add_runner(f'r{number}', PLAIN, crash)
        await cluster.wait_for_runners(PLAIN, 6)
        await crash_runners(cluster)
        await wait_until(lambda: saved_records(cluster) > 0, 'a record')
        await asyncio.sleep(SAVE_EVERY_S)
        cluster.store.silent_topics.add(TOPIC)
        await cluster.restart_vms()
        await cluster.wait_for_runners(PLAIN, 6)
        cluster.store.silent_topics.clear()
        await asyncio.sleep(LOAD_RETRY_S * 3)
        before = count_runs(cluster)
        answer = await cluster.call('/read/x', body=b'poison')
        assert answer.status == 503
        assert count_runs(cluster) == before


async def test_much_crashing_content_is_saved_once_a_second() -> None:
    """Much content that crashes runners must not use up the store's writes."""
    async with running_cluster(vms=2) as cluster:
        for number in range(6):
            await cluster.add_runner(f'r{number}', PLAIN, crash)
        await cluster.wait_for_runners(PLAIN, 6)
        started_at = cluster.clock.monotonic()
        await asyncio.gather(
            *(
                crash_runners(cluster, f'poison-{number}'.encode())
                for number in range(CONTENTS)
            )
        )
        await asyncio.sleep(SAVE_EVERY_S * 2)
        took_s = cluster.clock.monotonic() - started_at
        assert 0 < saved_records(cluster) <= took_s / SAVE_EVERY_S + 1


def test_the_saved_records_are_bounded() -> None:
    """A flood of crashing contents must not fill the store."""
    contents = [ContentIds(f'c{n}') for n in range(MAX_SAVED_RECORDS * 2)]
    containment = contained(ManualClock(START), *contents)
    suspect = ContentIds('suspect')
    for number in range(REFUSAL_CRASHES - 1):
        containment.record_crash(suspect, entry(number))
    saved = containment.records_to_save()
    assert len(saved) == MAX_SAVED_RECORDS
    assert all(one.refused for one in saved)


def test_a_part_of_prompts_stays_refused() -> None:
    """A crashing part must be known after a start like a whole request."""
    clock = ManualClock(START)
    crashing = ContentIds('c1', (f'{PART_PREFIX}bad',))
    saved = contained(clock, crashing).records_to_save()
    started = Containment(clock, EventLog('vm', 'i', clock, 0))
    started.recall(saved)
    assert started.is_refused(ContentIds('c2', (f'{PART_PREFIX}bad',)))
    assert not started.is_refused(ContentIds('c3', (f'{PART_PREFIX}good',)))


def test_old_records_are_not_recalled() -> None:
    """Content that was cured must not stay refused over all restarts."""
    clock = ManualClock(START)
    content = ContentIds('c1')
    saved = contained(clock, content).records_to_save()
    for _ in range(2):  # a restart must not make the records new
        clock.advance(SUSPECT_TTL_S * 0.6)
        started = Containment(clock, EventLog('vm', 'i', clock, 0))
        started.recall(saved)
        saved = started.records_to_save()
    assert not started.is_refused(content)
    assert not saved
