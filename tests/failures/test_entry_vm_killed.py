"""One entry VM is killed under load.

SIGKILL ends both its processes while it, as a home, has dispatched some
requests and not others. Callers' connections break; a resend of the same id
reaches another VM, which reads the killed home's journal and must answer with
one definite outcome. Only the home may dispatch its ids, so no other VM runs
them a second time.
"""

from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import Scenario, assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=100),) * 2,
    plain_latencies_ms=(30, 60),
)
LOAD = (
    Stream('slot-claim', 15, 8),
    Stream('availability', 10, 5),
    Stream('debrief', 5, 12, (200, 1000), (60, 120)),
)


async def _kill_under_load(scene: Scenario) -> None:
    killed_vm = scene.cluster.vms[0]
    async with scene.load(LOAD):
        await wait_until(
            lambda: scene.count(Outcome.DONE) > 60,
            '60 requests done before the kill',
        )
        await killed_vm.kill()
        await scene.done_more(60, '60 more requests done after the kill')


async def test_each_caller_of_a_killed_vm_gets_one_true_answer(
    tmp_path: Path,
) -> None:
    """No answer is lost, wrong or duplicated, and nothing runs twice."""
    async with scenario(LAYOUT, tmp_path) as scene:
        await _kill_under_load(scene)
        assert scene.broken_sends(), 'the kill was not felt by any caller'
        assert_clean(scene.verdict())


async def test_a_vm_replaced_at_its_address_is_a_stranger(
    tmp_path: Path,
) -> None:
    """The new VM serves requests and never runs ids of the killed one."""
    async with scenario(LAYOUT, tmp_path) as scene:
        killed_vm = scene.cluster.vms[0]
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 60,
                '60 requests done before the kill',
            )
            await killed_vm.replace()
            await wait_until(killed_vm.is_ready, 'the new VM is ready')
            await scene.done_more(
                40, '40 more requests done after the replacement'
            )
        assert_clean(scene.verdict())
