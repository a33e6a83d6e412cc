"""The platform's log is down, or loses replies, under load.

Appends fail, or take effect without a reply. Requests whose journal is written
asynchronously are still served. Requests that need their intent in the log
first are answered `not_run` at once, with a time to retry after: an intent
that may be missing from the log gives no right to dispatch.
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
ASYNC_JOURNAL_LOAD = (
    Stream('availability', 8, 5),
    Stream('debrief', 3, 8, (100, 600), (20, 60)),
)
MIXED_LOAD = (Stream('slot-claim', 15, 8), *ASYNC_JOURNAL_LOAD)
MAX_REFUSAL_S = 2.5
# Terms turn stale after 10 s without confirmation; only an outage longer than
# that shows that callers are still served throughout.
OUTAGE_S = 12


async def _send_claim(scene: Scenario, deadline_s: float) -> Record:
    work = scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=deadline_s)
    return await scene.caller().send(work)


async def test_a_log_outage_stops_only_what_needs_the_log(
    tmp_path: Path,
) -> None:
    """Debriefs are still served; slot claims are told when to retry."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(ASYNC_JOURNAL_LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 10,
                'the load is served before the outage',
            )
            scene.cluster.log.faults.down = True
            outage_began_at = time.monotonic()
            claim = await _send_claim(scene, MAX_REFUSAL_S)
            assert claim.outcome is Outcome.NOT_RUN, claim.describe()
            assert claim.ended - claim.started < MAX_REFUSAL_S
            assert claim.final
            assert claim.final.retry_after_s > 0
            await wait_until(
                lambda: time.monotonic() - outage_began_at > OUTAGE_S,
                'the outage outlasts every kept lease and view',
                OUTAGE_S + 1,
            )
            await scene.done_more(
                10,
                'work that does not need the log is served late in the outage',
            )
        scene.cluster.log.faults.down = False
        claim_after_outage = await _send_claim(scene, 9)
        assert claim_after_outage.outcome is Outcome.DONE, (
            claim_after_outage.describe()
        )
        for profile in ('availability', 'debrief'):
            assert not scene.count(Outcome.NOT_RUN, profile)
        assert_clean(scene.verdict())


async def test_lost_log_replies_double_nothing(tmp_path: Path) -> None:
    """Some appends take effect without a reply, others take effect twice."""
    async with scenario(LAYOUT, tmp_path) as scene:
        scene.cluster.log.faults.lose_replies = 0.3
        scene.cluster.log.faults.duplicate_appends = 0.1
        async with scene.load(MIXED_LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE, 'slot-claim') > 50,
                '50 slot claims done over a log that loses replies',
            )
        assert_clean(scene.verdict())
