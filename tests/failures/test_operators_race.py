"""Two operators publish at once while one VM is cut off from the log.

What the caller sees: the same profiles at every VM within seconds, and never
the old ones again. Order: both publish on the same base, the log puts one
first; that one is in force, the other is void; the VM that cannot reach the
log learns the terms from its peers. Why: versions follow the log's order, and
every message between VMs carries the newest.
"""

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import yaml

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import TERMS_STREAM
from tests.utils.callers import post
from tests.utils.cluster import EXAMPLE, Layout
from tests.utils.entry_vm import EntryVm
from tests.utils.http_client import BrokenCallError, call_json
from tests.utils.ledger import Reading
from tests.utils.relay import Cut
from tests.utils.scenario import LARGE_SCHOOL, Scenario, scenario
from tests.utils.waiting import wait_until
from tests.utils.work import Declared, WorkMaker

LAYOUT = Layout(vms=6, engines=(), plain_latencies_ms=(5,))
SECONDS = 6
FIRST_VERSION = 1


def _with_profile(name: str) -> str:
    """Return the example with one more profile, for everybody."""
    document: dict[str, Any] = yaml.safe_load(EXAMPLE.read_text())
    # Highest tier, so that only the terms decide whether it is served.
    profile = {**document['profiles']['availability'], 'tier': 1}
    document['profiles'][name] = profile
    for workspace in document['workspaces'].values():
        workspace['profiles'].append(name)
    return yaml.safe_dump(document)


async def _ask_under(vm: EntryVm, profile: str) -> Reading | None:
    """Send one request under a profile to this VM, as its home."""
    make = WorkMaker(Declared.load(_with_profile(profile)))
    work = make.plain(LARGE_SCHOOL, profile)
    try:
        told = await call_json('GET', f'{vm.url}/v1/address')
        return await post(
            f'{told["ticket"]}/{work.key}',
            work,
            vm.endpoint,
            time.monotonic() + 5,
        )
    except (BrokenCallError, KeyError):
        return None


async def _in_force(scene: Scenario, profile: str) -> bool:
    """Whether every VM serves the profile."""
    readings = await asyncio.gather(
        *(_ask_under(vm, profile) for vm in scene.cluster.vms),
    )
    return all(
        reading is not None and reading.outcome is Outcome.DONE
        for reading in readings
    )


async def _assert_void(scene: Scenario, profile: str) -> None:
    """Every VM rejects the profile of the publish that lost."""
    for vm in scene.cluster.vms:
        reading = await _ask_under(vm, profile)
        assert reading is not None
        assert reading.outcome is Outcome.REJECTED, (vm.name, reading)


async def test_the_first_publish_in_the_log_is_in_force_everywhere(
    tmp_path: Path,
) -> None:
    """Also at a VM that is cut from the log; the other never is."""
    async with scenario(LAYOUT, tmp_path) as scene:
        cut_off = scene.cluster.vms[-1]
        cut_off.log_relay.cut(Cut.BOTH)
        await _race(scene, FIRST_VERSION)
        await wait_until(
            lambda: _in_force(scene, 'winner'),
            'the winner is in force at every VM',
            SECONDS,
        )
        await _assert_void(scene, 'loser')
        await cut_off.log_relay.heal()
        await cut_off.replace()
        await wait_until(
            lambda: _in_force(scene, 'winner'),
            'the winner is still in force after a VM came back',
        )
        await _assert_void(scene, 'loser')


async def _race(scene: Scenario, base: int) -> None:
    for profile in ('winner', 'loser'):
        scene.cluster.publish(_with_profile(profile), base, by=profile)
    records = scene.cluster.log.records(TERMS_STREAM)
    racers = [
        json.loads(record)
        for record in records
        if json.loads(record).get('by') in {'winner', 'loser'}
    ]
    assert [racer['by'] for racer in racers] == ['winner', 'loser']


async def test_terms_survive_a_log_that_forgot_them(tmp_path: Path) -> None:
    """A VM that starts when the record is gone still gets the terms."""
    async with scenario(LAYOUT, tmp_path) as scene:
        scene.cluster.publish(_with_profile('winner'), FIRST_VERSION)
        await wait_until(
            lambda: _in_force(scene, 'winner'),
            'the publish is in force at every VM',
            SECONDS,
        )
        kept = len(scene.cluster.log.records(TERMS_STREAM))
        scene.cluster.log.faults.forget_below = {TERMS_STREAM: kept}
        for vm in scene.cluster.vms[:2]:
            await vm.replace()
        await wait_until(
            lambda: _in_force(scene, 'winner'),
            'replaced VMs serve under the same terms',
        )
