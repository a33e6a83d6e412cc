"""An entry VM is stopped by SIGTERM under load.

Both its processes receive the signal at once, accept no new requests, finish
those in flight, write the journal and exit 0. Later requests go to other VMs.
As the stop is planned, no stream may be cut.
"""

from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=60),) * 2,
    plain_latencies_ms=(60, 120),
)
LOAD = (
    Stream('slot-claim', 15, 8),
    Stream('availability', 10, 5),
    Stream('debrief', 4, 12, (200, 1000), (40, 100)),
)


async def test_a_planned_stop_cuts_nothing_and_exits_0(
    tmp_path: Path,
) -> None:
    """Every request is done; sends break only at the closed port."""
    async with scenario(LAYOUT, tmp_path) as scene:
        stopping_vm = scene.cluster.vms[0]
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 60,
                '60 requests done before the stop',
            )
            codes = await stopping_vm.stop()
            await scene.done_more(40, '40 more requests done after the stop')
        assert not scene.cut_answers(), scene.cut_answers()[:5]
        assert codes == (0, 0)
        assert_clean(scene.verdict())
        assert scene.verdict().is_clean, scene.verdict().reasons
