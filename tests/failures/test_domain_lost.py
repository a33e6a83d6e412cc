"""A whole failure domain is lost under load, and the VM list still shows it.

All entry VMs and runners of one domain are killed at once, so owners of shards
are lost together with the runners that they granted. Callers' connections
break; a resend of the same id to another domain must receive one definite
outcome, and later requests must be served there. Homes never move; the VMs
that still send heartbeats take over the shards, and a runner that refuses
connections receives no more work.
"""

from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import Scenario, assert_clean, scenario
from tests.utils.waiting import wait_until

LOST_DOMAIN = 'walton'
LAYOUT = Layout(
    vms=6,
    engines=(EngineConfig(decode_tps=200),) * 3,
    plain_latencies_ms=(20, 30, 40),
)
LOAD = (
    Stream('slot-claim', 10, 8),
    Stream('availability', 10, 5),
    Stream('debrief', 3, 12, (100, 600), (20, 60)),
)


async def _kill_domain(scene: Scenario) -> None:
    for vm in scene.cluster.vms:
        if vm.settings.domain == LOST_DOMAIN:
            await vm.kill()
    for runner in scene.cluster.by_name.values():
        if runner.vm.domain == LOST_DOMAIN:
            await runner.standin.stop()


async def test_the_other_domains_serve_on(tmp_path: Path) -> None:
    """No answer of any profile is wrong, lost or duplicated."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 60,
                '60 requests done before the loss',
            )
            await _kill_domain(scene)
            done_before_loss = {
                stream.profile: scene.count(Outcome.DONE, stream.profile)
                for stream in LOAD
            }
            await wait_until(
                lambda: all(
                    scene.count(Outcome.DONE, profile) > before + 12
                    for profile, before in done_before_loss.items()
                ),
                '12 more requests of each profile done after the loss',
            )
        assert scene.broken_sends(), 'the loss was not felt by any caller'
        assert_clean(scene.verdict())
