"""A runner leaves, and the VM list shows it late or not at all.

The runner is marked as leaving, the list shows it, and schedulers must stop
giving it work within a few seconds: its VM ends soon, which would cut off work
that still runs there. Callers must notice nothing.
"""

import time
from dataclasses import replace
from pathlib import Path

from tests.utils.cluster import ENGINE_SERVICE, PLAIN_SERVICE, Layout
from tests.utils.engine import Engine, EngineConfig
from tests.utils.load import Stream
from tests.utils.plain_service import PlainService
from tests.utils.scenario import Scenario, assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=300),) * 2,
    plain_latencies_ms=(20, 20),
)
LOAD = (
    Stream('availability', 20, 5),
    Stream('debrief', 8, 8, (50, 200), (10, 20)),
)
LEAVE_DELAY_S = 3
LEAVING_RUNNERS = {
    ENGINE_SERVICE: f'{ENGINE_SERVICE}-walton-1',
    PLAIN_SERVICE: f'{PLAIN_SERVICE}-walton-1',
}


def _last_work_at(standin: Engine | PlainService) -> float:
    if isinstance(standin, Engine):
        return max((run.admitted_at for run in standin.admitted), default=0)
    return max((call.at for call in standin.calls), default=0)


async def _mark_leaving_under_load(scene: Scenario, lag_s: float) -> None:
    leaving = [scene.cluster.by_name[name] for name in LEAVING_RUNNERS.values()]
    async with scene.load(LOAD):
        await wait_until(
            lambda: all(_last_work_at(each.standin) for each in leaving),
            'both runners that will leave have had work',
        )
        scene.cluster.vm_list.faults.lag_s = lag_s
        for name in LEAVING_RUNNERS.values():
            scene.cluster.vm_list.mark_leaving(name)
        no_work_after = time.time() + lag_s + LEAVE_DELAY_S
        await wait_until(lambda: time.time() > no_work_after, 'a few seconds')
        await scene.done_more(60, 'the load goes on without them')
    for each in leaving:
        assert _last_work_at(each.standin) < no_work_after, each.vm.name


async def test_a_leaving_runner_gets_no_new_work(tmp_path: Path) -> None:
    """It receives none after a few seconds, and no caller notices."""
    async with scenario(LAYOUT, tmp_path) as scene:
        await _mark_leaving_under_load(scene, lag_s=0)
        assert_clean(scene.verdict())
        assert scene.verdict().is_clean, scene.verdict().reasons


async def test_a_lagging_list_delays_but_does_not_defeat_leaving(
    tmp_path: Path,
) -> None:
    """The few seconds start once the list shows the change."""
    async with scenario(LAYOUT, tmp_path) as scene:
        await _mark_leaving_under_load(scene, lag_s=2)
        assert_clean(scene.verdict())


async def test_a_runner_that_refuses_is_left_alone_while_the_list_is_down(
    tmp_path: Path,
) -> None:
    """A runner's own refusal suffices; its work goes to other runners."""
    async with scenario(LAYOUT, tmp_path) as scene:
        leaving = [
            scene.cluster.by_name[name] for name in LEAVING_RUNNERS.values()
        ]
        async with scene.load(LOAD):
            await scene.done_more(30, 'the load is served')
            scene.cluster.vm_list.faults.down = True
            for each in leaving:
                each.standin.faults.down = True
            refused_from = time.time()
            await scene.done_more(120, 'the load goes on without them')
        for each in leaving:
            assert _last_work_at(each.standin) < refused_from
        assert_clean(scene.verdict())
        assert scene.verdict().is_clean, scene.verdict().reasons


async def test_a_new_runner_at_a_reused_address_gets_work(
    tmp_path: Path,
) -> None:
    """The state of the old runner doesn't carry over to its address."""
    async with scenario(LAYOUT, tmp_path) as scene:
        old_runner = scene.cluster.by_name[LEAVING_RUNNERS[PLAIN_SERVICE]]
        async with scene.load(LOAD):
            await scene.done_more(20, 'the load is served')
            scene.cluster.vm_list.mark_leaving(old_runner.vm.name)
            no_work_after = time.time() + LEAVE_DELAY_S
            await wait_until(
                lambda: time.time() > no_work_after, 'a few seconds'
            )
            scene.cluster.vm_list.remove(old_runner.vm.name)
            assert _last_work_at(old_runner.standin) < no_work_after
            scene.cluster.vm_list.add(replace(old_runner.vm, name='new-runner'))
            await wait_until(
                lambda: _last_work_at(old_runner.standin) > no_work_after,
                'the new runner at the old address gets work',
            )
        assert_clean(scene.verdict())
