"""Answers stay whole while runners and callers fail.

Streams break off and are resumed on the same run, engines crash, a plain
service dies after its side effect, a caller sends one request id several times
at once or disconnects. Each caller must receive either its own whole answer or
a final outcome that says there is none. An answer belongs to one run of one
id, and is whole only once that run has ended.
"""

import asyncio
import contextlib
import time
import uuid
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from bramleybend.answers import Outcome
from tests.utils.callers import post
from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.engine_batch import RunState
from tests.utils.entry_vm import EntryVm
from tests.utils.ledger import Attempt, Record
from tests.utils.load import Stream
from tests.utils.scenario import (
    LARGE_SCHOOL,
    Scenario,
    assert_clean,
    scenario,
)
from tests.utils.waiting import wait_until
from tests.utils.work import Work

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=80, restart_s=0.5),) * 3,
    plain_latencies_ms=(60, 60),
)
ENGINE_LOAD = (
    Stream('debrief', 8, 10, (100, 600), (30, 60)),
    Stream('syllabus-summary', 4, 10, (100, 600), (30, 60)),
)
PLAIN_LOAD = (
    Stream('slot-claim', 12, 8),
    Stream('availability', 12, 5),
)


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scenario]:
    """Three VMs, three engines and two plain services."""
    async with scenario(LAYOUT, tmp_path) as ready:
        yield ready


async def _wait_until_ended(scene: Scenario, count: int) -> None:
    await wait_until(
        lambda: (
            sum(each.final is not None for each in scene.ledger.records)
            >= count
        ),
        f'{count} requests ended',
    )


async def test_a_cut_stream_is_resumed_and_whole(scene: Scenario) -> None:
    """The caller receives each event exactly once."""
    for engine in scene.cluster.runners.engines:
        engine.faults.cut_streams = 0.5
    async with scene.load(ENGINE_LOAD):
        await _wait_until_ended(scene, 50)
    verdict = scene.verdict()
    assert_clean(verdict)
    assert verdict.is_clean, verdict.reasons


async def test_a_crashed_engine_tears_no_answer(scene: Scenario) -> None:
    """Runs on it end as failed or unknown, or are retried if idempotent."""
    async with scene.load(ENGINE_LOAD):
        await _wait_until_ended(scene, 15)
        scene.cluster.runners.engines[0].crash()
        await _wait_until_ended(scene, 40)
        scene.cluster.runners.engines[1].crash()
        await _wait_until_ended(scene, 60)
    assert scene.count(Outcome.DONE)
    assert_clean(scene.verdict())


async def test_a_service_that_dies_after_acting_is_not_called_again(
    scene: Scenario,
) -> None:
    """A claim that may have taken effect is never retried.

    Its caller receives `unknown` or `failed`.
    """
    for plain in scene.cluster.runners.plains:
        plain.faults.die_after_effect = 0.2
    async with scene.load(PLAIN_LOAD):
        await _wait_until_ended(scene, 80)
    assert_clean(scene.verdict())
    claims = scene.count(Outcome.UNKNOWN, 'slot-claim')
    claims += scene.count(Outcome.FAILED, 'slot-claim')
    assert claims, 'no claim met the fault'


async def _send_with_id(
    scene: Scenario,
    work: Work,
    request_id: str,
    vm: EntryVm,
) -> Record:
    """Send work under a given id to one VM and record the outcome."""
    record = scene.ledger.open(work)
    attempt = Attempt(request_id, sends=1)
    record.attempts.append(attempt)
    attempt.reading = await post(
        request_id,
        work,
        vm.endpoint,
        time.monotonic() + work.deadline_s,
    )
    record.finish(attempt.reading)
    return record


@pytest.mark.parametrize('profile', ['slot-claim', 'debrief'])
async def test_one_id_sent_to_all_vms_at_once_runs_once(
    scene: Scenario,
    profile: str,
) -> None:
    """Each of the nine sends receives the same whole answer."""
    if profile == 'slot-claim':
        work = scene.make.plain(LARGE_SCHOOL, profile)
    else:
        work = scene.make.engine(LARGE_SCHOOL, profile, 200, 40)
    route = await scene.caller().route(profile, time.monotonic() + 5)
    request_id = f'{route.ticket}/{uuid.uuid4().hex}'
    records = await asyncio.gather(
        *(
            _send_with_id(scene, work, request_id, vm)
            for vm in scene.cluster.vms
            for _ in range(3)
        ),
    )
    assert {record.outcome for record in records} == {Outcome.DONE}
    assert scene.cluster.runners.runs_of()[work.content] == 1
    assert_clean(scene.verdict())


async def test_the_run_of_a_caller_that_is_gone_is_cancelled(
    scene: Scenario,
) -> None:
    """A run whose caller has disconnected must not keep its slot."""
    work = scene.make.engine(
        LARGE_SCHOOL,
        'syllabus-summary',
        100,
        4000,
        deadline_s=300,
    )
    sending = asyncio.create_task(scene.caller().send(work))
    await wait_until(
        lambda: scene.cluster.runners.runs_of()[work.content] == 1,
        'the run has begun',
    )
    sending.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await sending
    await wait_until(
        lambda: _state_of(scene, work) is RunState.CANCELLED,
        'the run is cancelled at its engine',
    )


def _state_of(scene: Scenario, work: Work) -> RunState | None:
    for engine in scene.cluster.runners.engines:
        for run in engine.admitted:
            if run.prompt_hash == work.content:
                return run.state
    return None


async def test_a_resend_after_its_deadline_is_not_told_that_nothing_ran(
    scene: Scenario,
) -> None:
    """A resend of a finished id receives its answer at any VM.

    An id that was never sent before is rejected past its deadline.
    """
    work = scene.make.plain(LARGE_SCHOOL, 'slot-claim')
    record = await scene.caller().send(work)
    assert record.outcome is Outcome.DONE
    request_id = record.attempts[0].request_id
    for vm in scene.cluster.vms:
        late = await post(
            request_id,
            work,
            vm.endpoint,
            time.monotonic() - 1,
        )
        assert late.outcome is Outcome.DONE, (vm.name, late)
    new_work = scene.make.plain(LARGE_SCHOOL, 'slot-claim')
    ticket = request_id.rpartition('/')[0]
    for vm in scene.cluster.vms:
        refused = await post(
            f'{ticket}/{uuid.uuid4().hex}',
            new_work,
            vm.endpoint,
            time.monotonic() - 1,
        )
        assert refused.outcome is Outcome.REJECTED, (vm.name, refused)
    assert_clean(scene.verdict())
