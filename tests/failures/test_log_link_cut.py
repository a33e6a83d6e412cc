"""One VM's link to the log is cut in one or both directions.

The home's append is held in the network, or takes effect while its reply is
held. The home gives up and answers its caller in time; after the cut has
healed, the append takes effect late. The home never acts on an intent record
that it has not read back from the log, however late the record appears there.
"""

import time
from pathlib import Path

import pytest

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.load import Stream
from tests.utils.relay import Cut
from tests.utils.scenario import LARGE_SCHOOL, assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(vms=3, engines=(), plain_latencies_ms=(20, 20))
LOAD = (Stream('slot-claim', 12, 10), Stream('availability', 8, 5))


@pytest.mark.parametrize('cut', [Cut.TO_TARGET, Cut.FROM_TARGET, Cut.BOTH])
async def test_an_append_that_lands_late_is_not_acted_on(
    tmp_path: Path,
    cut: Cut,
) -> None:
    """A claim reported as `not_run` never runs after the cut has healed."""
    async with scenario(LAYOUT, tmp_path) as scene:
        home = scene.cluster.vms[0]
        caller = scene.caller(home)
        await caller.route('slot-claim', time.monotonic() + 5)
        home.log_relay.cut(cut)
        work = scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=9)
        record = await caller.send(work)
        assert record.attempts[0].reading is not None, record.describe()
        assert record.attempts[0].reading.outcome is Outcome.NOT_RUN
        await home.log_relay.heal()
        next_record = await scene.caller(home).send(
            scene.make.plain(LARGE_SCHOOL, 'slot-claim', deadline_s=9),
        )
        assert next_record.outcome is Outcome.DONE, next_record.describe()
        assert_clean(scene.verdict())


async def test_a_flapping_link_loses_and_doubles_nothing(
    tmp_path: Path,
) -> None:
    """Requests are served while a VM's link to the log is cut and healed."""
    async with scenario(LAYOUT, tmp_path) as scene:
        relay = scene.cluster.vms[0].log_relay
        async with scene.load(LOAD):
            for cut in (Cut.TO_TARGET, Cut.FROM_TARGET, Cut.BOTH):
                done = scene.count(Outcome.DONE)
                relay.cut(cut)
                await wait_until(
                    lambda: scene.count(Outcome.DONE) > done + 15,  # noqa: B023
                    'the load goes on over the cut',
                )
                await relay.heal(drop=True)
        assert_clean(scene.verdict())
