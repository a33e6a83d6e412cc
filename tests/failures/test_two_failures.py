"""Two failures at once.

A VM dies while the log loses replies, or the log goes down and a VM dies before
it can journal its runs, or a VM freezes while an engine is slow. No safeguard
relies on another part that works, so each request still receives one definite
outcome: `unknown`, never `not_run`, where it can't be proved that nothing ran.
"""

from pathlib import Path

from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=100),) * 2,
    plain_latencies_ms=(30, 60),
)
LOAD = (
    Stream('slot-claim', 15, 8),
    Stream('availability', 8, 5),
    Stream('debrief', 5, 10, (200, 600), (40, 80)),
)


async def test_a_vm_dies_while_the_log_loses_replies(tmp_path: Path) -> None:
    """A resend is settled although the log answers only sometimes."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(LOAD):
            await scene.done_more(40, 'the load is served')
            scene.cluster.log.faults.lose_replies = 0.3
            await scene.done_more(20, 'the load is served over lost replies')
            await scene.cluster.vms[0].kill()
            await scene.done_more(40, 'the others serve on')
        assert_clean(scene.verdict())


async def test_a_vm_dies_while_the_log_is_down(tmp_path: Path) -> None:
    """Runs that it could not journal are reported as `unknown`."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(LOAD):
            await scene.done_more(40, 'the load is served')
            scene.cluster.log.faults.down = True
            await scene.done_more(20, 'the load is served without the log')
            await scene.cluster.vms[0].kill()
            await scene.done_more(20, 'the others serve on without the log')
            scene.cluster.log.faults.down = False
            await scene.done_more(40, 'all is served again')
        assert_clean(scene.verdict())


async def test_a_vm_freezes_while_an_engine_straggles(tmp_path: Path) -> None:
    """A resumed VM and a slow engine answer late, but never twice."""
    async with scenario(LAYOUT, tmp_path) as scene:
        frozen_vm = scene.cluster.vms[0]
        async with scene.load(LOAD):
            await scene.done_more(40, 'the load is served')
            scene.cluster.runners.engines[0].faults.slowdown = 5
            frozen_vm.freeze()
            await scene.done_more(60, 'the others serve on')
            frozen_vm.thaw()
            await wait_until(frozen_vm.is_ready, 'the resumed VM is ready')
            await scene.done_more(20, 'all serve again')
        assert_clean(scene.verdict())
