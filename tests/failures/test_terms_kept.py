"""Accepted terms survive log truncation, outages, pauses and VM replacement.

Terms are published; then the log drops their record or goes down, VMs are
replaced one after another, or one is paused during a change. VMs pass terms to
each other: a VM without terms asks its peers, and a VM that has heard nothing
for long admits no requests. Every VM must serve the newest terms from then on.
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
SHORT_STALENESS_LAYOUT = Layout(
    vms=3,
    engines=(),
    plain_latencies_ms=(5,),
    flags=('--terms-stale-after-s', str(STALE_AFTER_S)),
)
PUBLISH_TIMEOUT_S = 6
FIRST_VERSION = 1
SECOND_VERSION = 2
REQUESTS_AFTER_RESUME = 20


async def _publish_winner(scene: Scenario) -> None:
    scene.cluster.publish(with_profile('winner'), FIRST_VERSION)
    await wait_until(
        lambda: in_force(scene, 'winner'),
        'the publish is in force at every VM',
        PUBLISH_TIMEOUT_S,
    )


async def test_terms_survive_a_log_that_forgot_them(tmp_path: Path) -> None:
    """A VM that starts after the record was dropped still gets the terms."""
    async with scenario(LAYOUT, tmp_path) as scene:
        await _publish_winner(scene)
        record_count = len(scene.cluster.log.records(TERMS_STREAM))
        scene.cluster.log.faults.forget_below = {TERMS_STREAM: record_count}
        for vm in scene.cluster.vms[:2]:
            await vm.replace()
        await wait_until(
            lambda: in_force(scene, 'winner'),
            'replaced VMs serve under the same terms',
        )


async def test_terms_survive_the_replacement_of_every_vm(
    tmp_path: Path,
) -> None:
    """VMs are replaced one after another while the log is down."""
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
    """It runs nothing under a profile withdrawn while it was paused."""
    async with scenario(SHORT_STALENESS_LAYOUT, tmp_path) as scene:
        await _publish_winner(scene)
        paused_vm = scene.cluster.vms[0]
        paused_vm.freeze()
        scene.cluster.publish(with_profile('successor'), SECOND_VERSION)
        running_vms = scene.cluster.vms[1:]
        await wait_until(
            lambda: _all_serve(running_vms, 'successor'),
            'the change is in force at every running VM',
            PUBLISH_TIMEOUT_S,
        )
        await _wait_until_stale()
        # The gateway resumes first, so it can't have heard of the change yet.
        paused_vm.gateway.send_signal(signal.SIGCONT)
        for _ in range(REQUESTS_AFTER_RESUME):
            reading = await ask_under(paused_vm, 'winner')
            assert reading is None or reading.outcome is not Outcome.DONE
        paused_vm.thaw()
        await wait_until(
            lambda: in_force(scene, 'successor'),
            'the resumed VM serves under the new terms',
        )
        await assert_void(scene, 'winner')


async def _all_serve(vms: Sequence[EntryVm], profile: str) -> bool:
    return all([await _serves(vm, profile) for vm in vms])


async def _serves(vm: EntryVm, profile: str) -> bool:
    reading = await ask_under(vm, profile)
    return reading is not None and reading.outcome is Outcome.DONE


async def _wait_until_stale() -> None:
    """Wait until the terms of the paused VM are stale."""
    stale_at = time.monotonic() + STALE_AFTER_S
    await wait_until(lambda: time.monotonic() > stale_at, 'terms are stale')
