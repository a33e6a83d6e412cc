"""A runner of a plain service stalls without refusing requests.

An idempotent read is granted the stalled runner. Once it has taken longer than
95 % of such reads did, a second run starts on another runner and answers, so
the caller waits hardly longer than usual although the owner has not detected
the stall. A slot claim on the same runner never runs twice.
"""

from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.eventlog import parse_events
from tests.utils.scenario import (
    LARGE_SCHOOL,
    Scenario,
    assert_clean,
    scenario,
)

LAYOUT = Layout(vms=1, engines=(), plain_latencies_ms=(20, 20, 20))
STALL_MS = 4000
WARMUP_READS = 30
READS = 6
MAX_READ_S = 2.0


async def _send_read(scene: Scenario) -> float:
    work = scene.make.plain(LARGE_SCHOOL, 'availability', deadline_s=5)
    record = await scene.caller().send(work)
    assert record.outcome is Outcome.DONE, record.describe()
    return record.ended - record.started


async def test_a_read_on_a_stalled_runner_is_answered_by_another(
    tmp_path: Path,
) -> None:
    """No read waits for the stall to end, and the claim is not hedged."""
    async with scenario(LAYOUT, tmp_path) as scene:
        for _ in range(WARMUP_READS):
            await _send_read(scene)
        scene.cluster.runners.plains[0].faults.slow_ms = STALL_MS
        slowest_s = max([await _send_read(scene) for _ in range(READS)])
        claim = scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=9)
        await scene.caller().send(claim)
        events = parse_events(scene.cluster.event_lines())
        hedged = [each for each in events if each['event'] == 'hedged']
        assert hedged
        assert slowest_s < MAX_READ_S
        assert all(each['tier'] == '2' for each in hedged)
        assert_clean(scene.verdict())
