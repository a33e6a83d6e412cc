"""Two operators publish at once while one VM is cut off from the log.

What the caller sees: the same profiles at every VM within seconds, and never
the old ones again. Order: both publish on the same base, the log puts one
first; that one is in force, the other is void; the VM that cannot reach the
log learns the terms from its peers. Why: versions follow the log's order, and
every message between VMs carries the newest.
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
SECONDS = 6
FIRST_VERSION = 1


async def test_the_first_publish_in_the_log_is_in_force_everywhere(
    tmp_path: Path,
) -> None:
    """Also at a VM that is cut from the log; the other never is."""
    async with scenario(LAYOUT, tmp_path) as scene:
        cut_off = scene.cluster.vms[-1]
        cut_off.log_relay.cut(Cut.BOTH)
        await _race(scene, FIRST_VERSION)
        await wait_until(
            lambda: in_force(scene, 'winner'),
            'the winner is in force at every VM',
            SECONDS,
        )
        await assert_void(scene, 'loser')
        await cut_off.log_relay.heal()
        await cut_off.replace()
        await wait_until(
            lambda: in_force(scene, 'winner'),
            'the winner is still in force after a VM came back',
        )
        await assert_void(scene, 'loser')


async def _race(scene: Scenario, base: int) -> None:
    for profile in ('winner', 'loser'):
        scene.cluster.publish(with_profile(profile), base, by=profile)
    records = scene.cluster.log.records(TERMS_STREAM)
    racers = [
        json.loads(record)
        for record in records
        if json.loads(record).get('by') in {'winner', 'loser'}
    ]
    assert [racer['by'] for racer in racers] == ['winner', 'loser']
