"""Processes are paused for a second or so, as on an overloaded machine."""

import asyncio
import signal
from pathlib import Path
from random import Random

import pytest

from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import Scenario, assert_clean, scenario

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=100),) * 2,
    plain_latencies_ms=(30, 60),
)
LOAD = (
    Stream('slot-claim', 12, 8),
    Stream('availability', 8, 5),
    Stream('debrief', 4, 12, (200, 600), (40, 80)),
)
LONGEST_DEADLINE_S = max(stream.deadline_s for stream in LOAD)
PAUSES = 10
# Shorter than the pause after which an owner starts anew; see
# `decisions.floor`.
PAUSE_S = (0.9, 1.4)
BETWEEN_S = (0.05, 0.4)


async def _pause_processes_in_turn(scene: Scenario, rng: Random) -> None:
    for _ in range(PAUSES):
        vm = rng.choice(scene.cluster.vms)
        paused = rng.choice(vm.processes)
        paused.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        paused.send_signal(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(*BETWEEN_S))


@pytest.mark.parametrize('seed', [3, 4, 6, 10])
async def test_pauses_of_one_process_at_a_time_cost_no_answer(
    tmp_path: Path, seed: int
) -> None:
    """Guards against a paused process that is considered lost."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(LOAD):
            await scene.done_more(20, 'the load is served')
            await _pause_processes_in_turn(scene, Random(seed))
            await scene.done_more(20, 'the load is served after the pauses')
        assert not scene.cut_answers(), scene.cut_answers()[:5]
        assert_clean(scene.verdict())
        assert scene.verdict().is_clean, scene.verdict().reasons


async def test_requests_are_told_their_fate_while_no_scheduler_runs(
    tmp_path: Path,
) -> None:
    """Guards against waits for schedulers that exceed a request's deadline."""
    async with scenario(LAYOUT, tmp_path) as scene:
        schedulers = [vm.scheduler for vm in scene.cluster.vms]
        async with scene.load(LOAD):
            await scene.done_more(20, 'the load is served')
            for scheduler in schedulers:
                scheduler.send_signal(signal.SIGSTOP)
            await asyncio.sleep(LONGEST_DEADLINE_S)
            for scheduler in schedulers:
                scheduler.send_signal(signal.SIGCONT)
            await scene.done_more(20, 'the load is served again')
        assert_clean(scene.verdict())
