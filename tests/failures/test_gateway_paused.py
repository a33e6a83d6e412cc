"""A gateway stands still over its calls to the log and goes on."""

import asyncio
import signal
from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.scenario import (
    LARGE_SCHOOL,
    Scenario,
    assert_clean,
    scenario,
)
from tests.utils.waiting import wait_until

LAYOUT = Layout(vms=3, engines=(), plain_latencies_ms=(20, 30))
LOG_SLOW_MS = 300
# Longer than a call to the log may take, shorter than callers wait in silence.
PAUSE_S = 2.3


async def test_a_claim_outlives_a_pause_of_its_gateway(tmp_path: Path) -> None:
    """Guards against taking an own pause during a read for a log outage."""
    async with scenario(LAYOUT, tmp_path) as scene:
        home = scene.cluster.vms[0]
        scene.cluster.log.faults.slow_ms = LOG_SLOW_MS
        work = scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=9)
        claiming = asyncio.create_task(scene.caller(home).send(work))
        await wait_until(
            lambda: _has_intent(scene),
            'the intent stands in the log, and its home reads it back',
        )
        home.gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        home.gateway.send_signal(signal.SIGCONT)
        claim = await claiming
        assert claim.outcome is Outcome.DONE, claim.describe()
        assert len(claim.attempts) == 1, claim.describe()
        assert_clean(scene.verdict())


def _has_intent(scene: Scenario) -> bool:
    """Whether the log holds a record of the only claim."""
    log = scene.cluster.log
    return any(
        attempt.own_part in line
        for record in scene.ledger.records
        for attempt in record.attempts
        for stream in log.stream_names
        for line in log.records(stream)
    )
