"""A home is paused with requests under way and resumes after others answered.

The home is stopped (SIGSTOP) before, while or after it dispatches. Its callers
time out, send the same ids to another VM and receive a final outcome. The home
then resumes (SIGCONT), reads the requests left in its sockets and still
considers itself entitled to dispatch; only the seal on its journal stops it.
"""

import asyncio
import time
import uuid
from pathlib import Path

import pytest

from bramleybend.answers import Outcome
from tests.utils.callers import Caller, post
from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.entry_vm import EntryVm
from tests.utils.http_client import BrokenCallError
from tests.utils.ledger import Attempt, Reading, Record
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
    engines=(EngineConfig(decode_tps=200),),
    plain_latencies_ms=(50,),
)
REQUEST_COUNT = 12


def _make_work(scene: Scenario, profile: str) -> Work:
    if profile == 'slot-claim':
        return scene.make.plain(LARGE_SCHOOL, profile, deadline_s=9)
    return scene.make.engine(LARGE_SCHOOL, profile, 100, 40, deadline_s=9)


async def _send_to_home(
    record: Record,
    caller: Caller,
    home: EntryVm,
) -> None:
    """Send to the home alone and record the result, also where it fails."""
    deadline = time.monotonic() + record.work.deadline_s
    route = await caller.route(record.work.profile, deadline)
    attempt = Attempt(f'{route.ticket}/{uuid.uuid4().hex}')
    record.attempts.append(attempt)
    attempt.sends += 1
    try:
        async with asyncio.timeout(3):
            attempt.reading = await post(
                attempt.request_id,
                record.work,
                home.endpoint,
                deadline,
            )
    except (BrokenCallError, TimeoutError) as exc:
        attempt.broken.append(repr(exc))


async def _resend_to(record: Record, other: EntryVm) -> Reading:
    """Send the same id to a VM that is not its home."""
    attempt = record.attempts[0]
    attempt.sends += 1
    deadline = time.monotonic() + record.work.deadline_s
    return await post(
        attempt.request_id,
        record.work,
        other.endpoint,
        deadline,
    )


@pytest.mark.parametrize('profile', ['slot-claim', 'debrief'])
async def test_a_paused_home_that_wakes_runs_nothing_twice(
    tmp_path: Path,
    profile: str,
) -> None:
    """A request reported as `not_run` never runs after the home resumes."""
    async with scenario(LAYOUT, tmp_path) as scene:
        home, other = scene.cluster.vms[:2]
        caller = scene.caller(home)
        await caller.route(profile, time.monotonic() + 5)
        records = [
            scene.ledger.open(_make_work(scene, profile))
            for _ in range(REQUEST_COUNT)
        ]
        first_sends = [
            asyncio.create_task(_send_to_home(record, caller, home))
            for record in records[: REQUEST_COUNT // 2]
        ]
        await wait_until(
            lambda: bool(scene.cluster.runners.runs_of()),
            'the home has begun to dispatch',
        )
        home.freeze()
        first_sends.extend(
            asyncio.create_task(_send_to_home(record, caller, home))
            for record in records[REQUEST_COUNT // 2 :]
        )
        await asyncio.gather(*first_sends)
        final_readings = await asyncio.gather(
            *(_resend_to(record, other) for record in records),
        )
        for record, reading in zip(records, final_readings, strict=True):
            record.attempts[0].reading = reading
            record.finish(reading)
        home.thaw()
        await _wait_until_home_serves(scene, home)
        assert_clean(scene.verdict())


async def _wait_until_home_serves(scene: Scenario, home: EntryVm) -> None:
    """Wait until the home has handled the requests left in its sockets."""
    await wait_until(home.is_ready, 'the resumed home is ready')
    for profile in ('slot-claim', 'debrief'):
        work = _make_work(scene, profile)
        record = await scene.caller(home).send(work)
        assert record.outcome is Outcome.DONE, record.describe()
