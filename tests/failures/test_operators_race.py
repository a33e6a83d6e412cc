"""Two operators publish at once while one VM is cut off from the log.

Both publish on the same base version. The publish that comes first in the log
is in force and the other is void, as versions follow the log's order. The VM
that can't reach the log learns the terms from its peers, as every message
between VMs carries the newest terms. No VM may serve older terms again.
"""

import json
from pathlib import Path

from bramleybend.clients.log_service import TERMS_STREAM
from tests.utils.cluster import Layout
from tests.utils.relay import Cut
from tests.utils.scenario import Scenario, scenario
from tests.utils.terms_changes import assert_void, in_force, with_profile
from tests.utils.waiting import wait_until

LAYOUT = Layout(vms=6, engines=(), plain_latencies_ms=(5,))
PUBLISH_TIMEOUT_S = 6
FIRST_VERSION = 1


async def test_the_first_publish_in_the_log_is_in_force_everywhere(
    tmp_path: Path,
) -> None:
    """It is in force also at the VM without the log; the other never is."""
    async with scenario(LAYOUT, tmp_path) as scene:
        cut_off_vm = scene.cluster.vms[-1]
        cut_off_vm.log_relay.cut(Cut.BOTH)
        await _publish_twice(scene, FIRST_VERSION)
        await wait_until(
            lambda: in_force(scene, 'winner'),
            'the winner is in force at every VM',
            PUBLISH_TIMEOUT_S,
        )
        await assert_void(scene, 'loser')
        await cut_off_vm.log_relay.heal()
        await cut_off_vm.replace()
        await wait_until(
            lambda: in_force(scene, 'winner'),
            'the winner is still in force after a VM came back',
        )
        await assert_void(scene, 'loser')


async def _publish_twice(scene: Scenario, base: int) -> None:
    for profile in ('winner', 'loser'):
        scene.cluster.publish(with_profile(profile), base, by=profile)
    records = scene.cluster.log.records(TERMS_STREAM)
    publishes = [
        json.loads(record)
        for record in records
        if json.loads(record).get('by') in {'winner', 'loser'}
    ]
    assert [publish['by'] for publish in publishes] == ['winner', 'loser']
