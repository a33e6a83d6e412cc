"""A plain service's runner stalls without refusing anything.

What the caller of an idempotent read sees: its answer, hardly later than
usual. Order: the read is granted the stalled runner, takes longer than
nineteen in twenty of its kind did, a second run starts elsewhere and answers.
Why: the owner has not noticed the stall yet, and the profile allows a second
run. A slot claim on the same runner is never run twice.
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
LEARNING = 30
READS = 6
SOON_S = 2.0


async def _read(scene: Scenario) -> float:
    work = scene.make.plain(LARGE_SCHOOL, 'availability', deadline_s=5)
    record = await scene.caller().send(work)
    assert record.outcome is Outcome.DONE, record.describe()
    return record.ended - record.started


async def test_a_read_on_a_stalled_runner_is_answered_by_another(
    tmp_path: Path,
) -> None:
    """No read waits out the stall; the claim is not hedged."""
    async with scenario(LAYOUT, tmp_path) as scene:
        for _ in range(LEARNING):
            await _read(scene)
        scene.cluster.runners.plains[0].faults.slow_ms = STALL_MS
        slowest = max([await _read(scene) for _ in range(READS)])
        claim = scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=9)
        await scene.caller().send(claim)
        events = parse_events(scene.cluster.event_lines())
        hedged = [each for each in events if each['event'] == 'hedged']
        assert hedged
        assert slowest < SOON_S
        assert all(each['tier'] == '2' for each in hedged)
        assert_clean(scene.verdict())
