"""The platform's log is down, or loses replies, under load.

What the caller sees: work whose journal is written behind goes on; work that
needs its intent in the log first is told `not_run` at once, with when to come
back. Order: appends fail, or take effect without an answer. Why: an intent
that may not stand gives no right, so nothing is dispatched on a guess.
"""

import time
from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.ledger import Record
from tests.utils.load import Stream
from tests.utils.scenario import (
    LARGE_SCHOOL,
    Scenario,
    assert_clean,
    scenario,
)
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=200),) * 2,
    plain_latencies_ms=(20, 30),
)
BEHIND = (
    Stream('availability', 8, 5),
    Stream('debrief', 3, 8, (100, 600), (20, 60)),
)
MIXED = (Stream('slot-claim', 15, 8), *BEHIND)
AT_ONCE_S = 2.5
# Terms count as stale after 10 s without any word: an outage has to last
# longer than that to show that callers are still served through it.
OUTAGE_S = 12


async def _claim(scene: Scenario, deadline_s: float) -> Record:
    work = scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=deadline_s)
    return await scene.caller().send(work)


async def test_a_log_outage_stops_only_what_needs_the_log(
    tmp_path: Path,
) -> None:
    """Long outage: debriefs run on, slot claims are told when to come."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(BEHIND):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 10,
                'the load is served before the outage',
            )
            scene.cluster.log.faults.down = True
            down_since = time.monotonic()
            claim = await _claim(scene, AT_ONCE_S)
            assert claim.outcome is Outcome.NOT_RUN, claim.describe()
            assert claim.ended - claim.started < AT_ONCE_S
            assert claim.final
            assert claim.final.retry_after_s > 0
            await wait_until(
                lambda: time.monotonic() - down_since > OUTAGE_S,
                'the outage outlasts every kept lease and view',
                OUTAGE_S + 1,
            )
            await scene.done_more(
                10,
                'work that does not need the log is served late in the outage',
            )
        scene.cluster.log.faults.down = False
        later = await _claim(scene, 9)
        assert later.outcome is Outcome.DONE, later.describe()
        for profile in ('availability', 'debrief'):
            assert not scene.count(Outcome.NOT_RUN, profile)
        assert_clean(scene.verdict())


async def test_lost_log_replies_double_nothing(tmp_path: Path) -> None:
    """Appends that took effect unheard, and some that landed twice."""
    async with scenario(LAYOUT, tmp_path) as scene:
        scene.cluster.log.faults.lose_replies = 0.3
        scene.cluster.log.faults.duplicate_appends = 0.1
        async with scene.load(MIXED):
            await wait_until(
                lambda: scene.count(Outcome.DONE, 'slot-claim') > 50,
                '50 slot claims done over a log that loses replies',
            )
        assert_clean(scene.verdict())
