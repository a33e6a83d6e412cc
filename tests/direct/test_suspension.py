"""A VM that was suspended and resumes with an outdated state."""

import asyncio
import time

from bramleybend.clock import SystemClock
from bramleybend.direct.suspension import SuspensionWatch
from bramleybend.platform.wire_names import MANIFEST_TOPIC
from tests.direct.cluster import ENGINE, PLAIN, manifest, running_cluster
from tests.utils.waiting import wait_until

SUSPENDED_S = 6.0


class SuspendableClock(SystemClock):
    """A clock that includes simulated suspensions."""

    def __init__(self) -> None:
        """Start without a suspension."""
        self.slept_s = float(0)

    def monotonic(self) -> float:
        """Return seconds, suspensions included."""
        return super().monotonic() + self.slept_s


def test_the_clock_counts_suspensions() -> None:
    """Ages are measured by a clock that runs on during suspensions."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert abs(SystemClock().monotonic() - boot_s) < 1


def test_a_suspension_is_noticed_once() -> None:
    """A suspension shows once, as a jump against a clock that stood still."""
    clock = SuspendableClock()
    watch = SuspensionWatch(clock, time.monotonic)
    assert not watch.suspended_s()
    clock.slept_s = SUSPENDED_S
    assert SUSPENDED_S - 0.1 < watch.suspended_s() < SUSPENDED_S + 0.1
    assert not watch.suspended_s()


async def test_a_vm_that_resumes_denies_nothing_by_an_old_manifest() -> None:
    """An unknown key gets 503 after a suspension, not 401.

    The key was added while the VM was suspended, and the store is silent when
    it resumes. A caller gives up after a 401.
    """
    clock = SuspendableClock()
    async with running_cluster(clock=clock) as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        assert (await cluster.call('/book/x', key='new')).status == 401
        cluster.store.silent_topics.add(MANIFEST_TOPIC)
        clock.slept_s = SUSPENDED_S
        assert (await cluster.call('/book/x', key='new')).status == 503


async def test_a_vm_that_resumes_reads_what_changed() -> None:
    """A new runner and a new key are known soon after the VM resumes."""
    clock = SuspendableClock()
    tenants = [{'name': 'school', 'apiKeys': ['new'], 'ratePerS': 0}]
    async with running_cluster(clock=clock) as cluster:
        clock.slept_s = SUSPENDED_S
        await cluster.add_runner('r1', PLAIN)
        cluster.publish(manifest(version=2, tenants=tenants))
        async with asyncio.timeout(2):
            await cluster.wait_for_runners(PLAIN)
            await wait_until(
                lambda: cluster.vms[0].entry.catalog.manifest_version() == 2,
                'the new manifest',
            )
        assert (await cluster.call('/book/x', key='new')).status == 200


async def test_a_vm_that_resumes_takes_nobody_for_alive_until_heard() -> None:
    """Its slot requests must not go to an owner that may be gone by then."""
    clock = SuspendableClock()
    async with running_cluster(vms=2, clock=clock) as cluster:
        await cluster.add_runner('r1', ENGINE)
        await cluster.wait_for_runners(ENGINE)
        members = cluster.vms[0].entry.members
        assert members.alive(clock.monotonic())
        clock.slept_s = SUSPENDED_S
        assert not members.alive(clock.monotonic())
        await wait_until(
            lambda: bool(members.alive(clock.monotonic())), 'heard again'
        )
