"""Accepted terms outlive the log's memory, outages, pauses and every VM.

What the caller sees: the published profiles, at every VM, from then on.
Order: terms are published; the log forgets or goes down, VMs are replaced one
after another or sleep over a change. Why: terms pass between VMs, whoever has
none asks its peers, and whoever has heard nothing for long admits nothing.
"""

import signal
import time
from collections.abc import Sequence
from pathlib import Path

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import TERMS_STREAM
from tests.utils.cluster import Layout
from tests.utils.entry_vm import EntryVm
from tests.utils.scenario import Scenario, scenario
from tests.utils.terms_changes import (
    ask_under,
    assert_void,
    in_force,
    with_profile,
)
from tests.utils.waiting import wait_until

LAYOUT = Layout(vms=3, engines=(), plain_latencies_ms=(5,))
STALE_AFTER_S = 2
SOON_STALE = Layout(
    vms=3,
    engines=(),
    plain_latencies_ms=(5,),
    flags=('--terms-stale-after-s', str(STALE_AFTER_S)),
)
SECONDS = 6
FIRST_VERSION = 1
SECOND_VERSION = 2
ASKS_AFTER_WAKING = 20


async def _publish_winner(scene: Scenario) -> None:
    scene.cluster.publish(with_profile('winner'), FIRST_VERSION)
    await wait_until(
        lambda: in_force(scene, 'winner'),
        'the publish is in force at every VM',
        SECONDS,
    )


async def test_terms_survive_a_log_that_forgot_them(tmp_path: Path) -> None:
    """A VM that starts when the record is gone still gets the terms."""
    async with scenario(LAYOUT, tmp_path) as scene:
        await _publish_winner(scene)
        kept = len(scene.cluster.log.records(TERMS_STREAM))
        scene.cluster.log.faults.forget_below = {TERMS_STREAM: kept}
        for vm in scene.cluster.vms[:2]:
            await vm.replace()
        await wait_until(
            lambda: in_force(scene, 'winner'),
            'replaced VMs serve under the same terms',
        )


async def test_terms_survive_the_replacement_of_every_vm(
    tmp_path: Path,
) -> None:
    """One after another, with the log down all the while."""
    async with scenario(LAYOUT, tmp_path) as scene:
        await _publish_winner(scene)
        scene.cluster.log.faults.down = True
        for vm in scene.cluster.vms:
            await vm.replace()
            await wait_until(vm.is_ready, f'{vm.name} is ready again')
        await wait_until(
            lambda: in_force(scene, 'winner'),
            'every new VM serves under the same terms',
        )


async def test_a_vm_that_slept_over_a_change_serves_no_old_terms(
    tmp_path: Path,
) -> None:
    """Nothing is run under a profile that was withdrawn meanwhile."""
    async with scenario(SOON_STALE, tmp_path) as scene:
        await _publish_winner(scene)
        sleeper = scene.cluster.vms[0]
        sleeper.freeze()
        scene.cluster.publish(with_profile('successor'), SECOND_VERSION)
        awake = scene.cluster.vms[1:]
        await wait_until(
            lambda: _all_serve(awake, 'successor'),
            'the change is in force at every VM that is awake',
            SECONDS,
        )
        await _sleep_until_stale()
        # The gateway wakes first: it can't have heard of the change yet.
        sleeper.gateway.send_signal(signal.SIGCONT)
        for _ in range(ASKS_AFTER_WAKING):
            reading = await ask_under(sleeper, 'winner')
            assert reading is None or reading.outcome is not Outcome.DONE
        sleeper.thaw()
        await wait_until(
            lambda: in_force(scene, 'successor'),
            'the sleeper serves under the new terms',
        )
        await assert_void(scene, 'winner')


async def _all_serve(vms: Sequence[EntryVm], profile: str) -> bool:
    return all([await _serves(vm, profile) for vm in vms])


async def _serves(vm: EntryVm, profile: str) -> bool:
    reading = await ask_under(vm, profile)
    return reading is not None and reading.outcome is Outcome.DONE


async def _sleep_until_stale() -> None:
    """Let the sleeper's terms grow older than it may trust."""
    stale_at = time.monotonic() + STALE_AFTER_S
    await wait_until(lambda: time.monotonic() > stale_at, 'terms are stale')
