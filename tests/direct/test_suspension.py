"""A VM that was suspended and wakes with old beliefs."""

import asyncio
import time

from bramleybend.clock import SystemClock
from bramleybend.direct.suspension import SuspensionWatch
from bramleybend.platform.names import MANIFEST_TOPIC
from tests.direct.world import ENGINE, PLAIN, manifest, playing
from tests.utils.waiting import wait_until

ASLEEP_S = 6.0


class SleepyClock(SystemClock):
    """A machine's clock that counts suspensions a test orders."""

    def __init__(self) -> None:
        """Start awake."""
        self.slept_s = float(0)

    def monotonic(self) -> float:
        """Return seconds, those asleep included."""
        return super().monotonic() + self.slept_s


def test_the_clock_counts_suspensions() -> None:
    """Ages are measured by the clock that runs on while a VM sleeps."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert abs(SystemClock().monotonic() - boot_s) < 1


def test_a_suspension_is_noticed_once() -> None:
    """The clock runs ahead of one that stood still meanwhile."""
    clock = SleepyClock()
    watch = SuspensionWatch(clock, time.monotonic)
    assert not watch.slept_s()
    clock.slept_s = ASLEEP_S
    assert ASLEEP_S - 0.1 < watch.slept_s() < ASLEEP_S + 0.1
    assert not watch.slept_s()


async def test_a_vm_that_wakes_denies_nothing_by_an_old_manifest() -> None:
    """The caller sees 503 and comes back, not 401.

    Its key came while the VM slept. The store is silent when it wakes, so it
    can't know; told 401, the caller would give up.
    """
    clock = SleepyClock()
    async with playing(clock=clock) as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        assert (await world.call('/book/x', key='new')).status == 401
        world.store.silent_topics.add(MANIFEST_TOPIC)
        clock.slept_s = ASLEEP_S
        assert (await world.call('/book/x', key='new')).status == 503


async def test_a_vm_that_wakes_reads_what_changed() -> None:
    """A runner that came and a key that was added serve soon after."""
    clock = SleepyClock()
    tenants = [{'name': 'school', 'apiKeys': ['new'], 'ratePerS': 0}]
    async with playing(clock=clock) as world:
        clock.slept_s = ASLEEP_S
        await world.add_runner('r1', PLAIN)
        world.publish(manifest(version=2, tenants=tenants))
        async with asyncio.timeout(2):
            await world.knows(PLAIN)
            await wait_until(
                lambda: world.vms[0].entry.book.manifest_version() == 2,
                'the new manifest',
            )
        assert (await world.call('/book/x', key='new')).status == 200


async def test_a_vm_that_wakes_hears_nobody_until_they_speak() -> None:
    """Its asks go to no owner that may be gone, and callers are served."""
    clock = SleepyClock()
    async with playing(vms=2, clock=clock) as world:
        await world.add_runner('r1', ENGINE)
        await world.knows(ENGINE)
        members = world.vms[0].entry.members
        assert members.alive(clock.monotonic())
        clock.slept_s = ASLEEP_S
        assert not members.alive(clock.monotonic())
        await wait_until(
            lambda: bool(members.alive(clock.monotonic())), 'heard again'
        )
