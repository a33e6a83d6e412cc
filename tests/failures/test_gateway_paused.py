"""A gateway is paused during its calls to the log and then resumed."""

import asyncio
import signal
import time
import uuid
from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.callers import post
from tests.utils.cluster import Layout
from tests.utils.entry_vm import EntryVm
from tests.utils.ledger import Attempt
from tests.utils.scenario import (
    LARGE_SCHOOL,
    Scenario,
    assert_clean,
    scenario,
)
from tests.utils.waiting import wait_until
from tests.utils.work import Work

LAYOUT = Layout(vms=3, engines=(), plain_latencies_ms=(20, 30))
LOG_SLOW_MS = 200
# Longer than the timeout of a call to the log, shorter than the time for which
# callers wait for a silent VM.
PAUSE_S = 2.3


def _make_claim(scene: Scenario) -> Work:
    return scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=9)


async def _pause_gateway_after_record(
    scene: Scenario,
    vm: EntryVm,
    text: str,
) -> None:
    """Pause a gateway while it reads back the record that contains `text`."""
    log = scene.cluster.log
    await wait_until(
        lambda: any(
            text in line
            for stream in log.stream_names
            for line in log.records(stream)
        ),
        f'{text} stands in the log',
    )
    vm.gateway.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    vm.gateway.send_signal(signal.SIGCONT)


async def test_a_claim_outlives_a_pause_of_its_gateway(tmp_path: Path) -> None:
    """Guards against a gateway that takes its own pause for a log outage."""
    async with scenario(LAYOUT, tmp_path) as scene:
        home = scene.cluster.vms[0]
        scene.cluster.log.faults.slow_ms = LOG_SLOW_MS
        caller = scene.caller(home)
        route = await caller.route('slot-claim', time.monotonic() + 5)
        sending = asyncio.create_task(caller.send(_make_claim(scene)))
        await _pause_gateway_after_record(scene, home, f'{route.ticket}/')
        claim = await sending
        assert claim.outcome is Outcome.DONE, claim.describe()
        assert len(claim.attempts) == 1, claim.describe()
        assert_clean(scene.verdict())


async def test_a_lost_home_is_answered_for_over_a_pause(tmp_path: Path) -> None:
    """Guards against `unknown` where the journal proves that nothing ran."""
    async with scenario(LAYOUT, tmp_path) as scene:
        home, other = scene.cluster.vms[:2]
        deadline = time.monotonic() + 9
        route = await scene.caller(home).route('slot-claim', deadline)
        await home.kill()
        scene.cluster.log.faults.slow_ms = LOG_SLOW_MS
        record = scene.ledger.open(_make_claim(scene))
        attempt = Attempt(f'{route.ticket}/{uuid.uuid4().hex}', sends=1)
        record.attempts.append(attempt)
        resending = asyncio.create_task(
            post(attempt.request_id, record.work, other.endpoint, deadline),
        )
        await _pause_gateway_after_record(scene, other, '"seal"')
        attempt.reading = await resending
        record.finish(attempt.reading)
        assert record.outcome is Outcome.NOT_RUN, record.describe()
        assert_clean(scene.verdict())
