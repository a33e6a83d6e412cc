"""Only one of a VM's two processes is killed or paused.

A scheduler that owns queues stops and requests to it time out, or a gateway
with streams under way dies, while the VM's other process lives on and must not
hide the loss. The next VM in rank replaces a lost owner, and a grant ends with
the stream that carries it, so answers must go on.
"""

import signal
from pathlib import Path

import pytest

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.processes import Process
from tests.utils.scenario import Scenario, assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=100),) * 2,
    plain_latencies_ms=(30, 60),
)
LOAD = (
    Stream('slot-claim', 12, 8),
    Stream('availability', 8, 8),
    Stream('debrief', 5, 12, (200, 600), (40, 80)),
)
SERVICE = 'briefing-llm'


async def _wait_until_done_more(scene: Scenario, count: int, what: str) -> None:
    for profile in ('slot-claim', 'debrief'):
        target = scene.count(Outcome.DONE, profile) + count
        await wait_until(
            lambda: scene.count(Outcome.DONE, profile) >= target,  # noqa: B023
            f'{profile}: {what}',
        )


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
async def test_the_owner_of_a_queue_is_replaced(
    tmp_path: Path,
    number: signal.Signals,
) -> None:
    """All gateways, also that of the same VM, find the next owner."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(LOAD):
            await _wait_until_done_more(scene, 10, 'served before')
            scene.owner(SERVICE).scheduler.send_signal(number)
            await _wait_until_done_more(scene, 15, 'served after')
        assert_clean(scene.verdict())


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
async def test_a_gateway_alone_is_lost(
    tmp_path: Path,
    number: signal.Signals,
) -> None:
    """Its callers use other VMs, and its grants go to other gateways."""
    async with scenario(LAYOUT, tmp_path) as scene:
        lost_gateway: Process = scene.cluster.vms[0].gateway
        async with scene.load(LOAD):
            await _wait_until_done_more(scene, 10, 'served before')
            lost_gateway.send_signal(number)
            await _wait_until_done_more(scene, 15, 'served after')
            lost_gateway.send_signal(signal.SIGCONT)
        assert_clean(scene.verdict())
