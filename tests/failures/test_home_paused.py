"""A home is paused over its requests, and wakes after others answered.

What the caller sees: silence, so it sends the same id to another address and
is told something final. Order: the home is stopped (SIGSTOP) before, while or
after it dispatches; the resend is settled elsewhere; the home wakes (SIGCONT)
and acts on what lay in its sockets. Why: it still believes in its right to
dispatch, and only the journal's seal stops it.
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
BURST = 12


def _work(scene: Scenario, profile: str) -> Work:
    if profile == 'slot-claim':
        return scene.make.plain(LARGE_SCHOOL, profile, deadline_s=9)
    return scene.make.engine(LARGE_SCHOOL, profile, 100, 40, deadline_s=9)


async def _send_first(
    record: Record,
    caller: Caller,
    home: EntryVm,
) -> None:
    """Send to the home alone; whatever comes of it, the id is out."""
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


async def _send_again(record: Record, other: EntryVm) -> Reading:
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
    """Told `not_run` stays true after the home has woken."""
    async with scenario(LAYOUT, tmp_path) as scene:
        home, other = scene.cluster.vms[:2]
        caller = scene.caller(home)
        await caller.route(profile, time.monotonic() + 5)
        records = [
            scene.ledger.open(_work(scene, profile)) for _ in range(BURST)
        ]
        firsts = [
            asyncio.create_task(_send_first(record, caller, home))
            for record in records[: BURST // 2]
        ]
        await wait_until(
            lambda: bool(scene.cluster.runners.runs_of()),
            'the home has begun to dispatch',
        )
        home.freeze()
        firsts.extend(
            asyncio.create_task(_send_first(record, caller, home))
            for record in records[BURST // 2 :]
        )
        await asyncio.gather(*firsts)
        told = await asyncio.gather(
            *(_send_again(record, other) for record in records),
        )
        for record, reading in zip(records, told, strict=True):
            record.attempts[0].reading = reading
            record.finish(reading)
        home.thaw()
        await _home_serves_again(scene, home)
        assert_clean(scene.verdict())


async def _home_serves_again(scene: Scenario, home: EntryVm) -> None:
    """Return once the home has worked off what it woke to."""
    await wait_until(home.is_ready, 'the woken home is ready')
    for profile in ('slot-claim', 'debrief'):
        work = _work(scene, profile)
        record = await scene.caller(home).send(work)
        assert record.outcome is Outcome.DONE, record.describe()
