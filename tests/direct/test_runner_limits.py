"""Runners that name how many requests a second they take from all VMs."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from tests.direct.world import ENGINE, PLAIN, World, playing
from tests.utils.raw_runner import Seen

VMS = 3
SETTLED_S = 1.0  # after its first answer all VMs know
WINDOW_S = 4.0
EVERY_S = 0.05  # between two callers, 20 a second
ROUTES = {ENGINE: '/check/x', PLAIN: '/read/x'}


@dataclass
class LimitedRunner:
    """Answers at once, names a limit and notes when requests came."""

    limit: str
    came_at: list[float] = field(default_factory=list)

    async def behave(self, seen: Seen) -> None:
        """Answer one request."""
        self.came_at.append(asyncio.get_running_loop().time())
        seen.writer.write(seen.answer(limit=self.limit))

    def most_within(self, window_s: float, since: float) -> int:
        """Count the requests of the window that had most."""
        times = [at for at in self.came_at if at >= since]
        return max(
            (
                sum(first <= at < first + window_s for at in times)
                for first in times
            ),
            default=0,
        )


def allowed(per_s: float) -> float:
    """Return what the users' pages allow in a window."""
    return per_s * WINDOW_S * 1.5 + 5


async def press(world: World, service: str, seconds: float) -> None:
    """Send requests of many callers to all VMs in turn."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    calls = set()
    number = 0
    while loop.time() < ends_at:
        number += 1
        target = ROUTES[service]
        call = world.call(
            target,
            vm=number % len(world.vms),
            attempt=f'a{number}',
            X_Bramleybend_Deadline_Ms='1000',
        )
        calls.add(asyncio.create_task(call))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*calls, return_exceptions=True)


async def start(
    world: World, service: str, limits: Sequence[str]
) -> list[LimitedRunner]:
    """Start a runner for each limit; an empty one names none."""
    runners = [LimitedRunner(limit) for limit in limits]
    for number, runner in enumerate(runners):
        await world.add_runner(f'r{number}', service, runner.behave)
    await world.knows(service, len(runners))
    return runners


@pytest.mark.parametrize('service', [ENGINE, PLAIN])
@pytest.mark.parametrize('limit', ['1', '0.4', '5.5'])
async def test_a_named_limit_holds_over_all_vms(
    service: str, limit: str
) -> None:
    """A runner in need gets more than it takes, from VMs that it told."""
    async with playing(VMS) as world:
        limited, other = await start(world, service, [limit, ''])
        await press(world, service, SETTLED_S + WINDOW_S + 1)
        since = limited.came_at[0] + SETTLED_S
        most = limited.most_within(WINDOW_S, since)
        assert 0 < most <= allowed(float(limit))
        assert other.came_at


@pytest.mark.parametrize('service', [ENGINE, PLAIN])
async def test_a_limit_ends_when_the_runner_names_none(service: str) -> None:
    """A runner that has recovered gets no work for ever."""
    async with playing(VMS) as world:
        (runner,) = await start(world, service, ['2'])
        await press(world, service, 2)
        runner.limit = ''
        await press(world, service, 3)
        begun = asyncio.get_running_loop().time()
        await press(world, service, 2)
        assert runner.most_within(1, begun) >= 10


async def test_a_vm_that_starts_keeps_to_a_limit_that_others_heard() -> None:
    """A VM that comes up sends its runner a burst until it is told itself."""
    async with playing(VMS - 1) as world:
        limited, _ = await start(world, PLAIN, ['1', ''])
        await press(world, PLAIN, 1)
        await world.add_vm()
        await world.ready()
        await world.knows(PLAIN, 2)
        begun = asyncio.get_running_loop().time()
        await press(world, PLAIN, WINDOW_S)
        assert limited.most_within(WINDOW_S, begun) <= allowed(1)


@pytest.mark.parametrize('service', [ENGINE, PLAIN])
async def test_a_limit_holds_while_a_vm_is_lost(service: str) -> None:
    """Whoever takes over begins with a burst of its own."""
    async with playing(VMS) as world:
        limited, _ = await start(world, service, ['1', ''])
        await press(world, service, SETTLED_S)
        begun = asyncio.get_running_loop().time()
        lost = world.vms.pop()
        await asyncio.gather(press(world, service, WINDOW_S), lost.kill())
        assert limited.most_within(WINDOW_S, begun) <= allowed(1)


async def test_a_successor_is_not_held_to_the_limit_of_a_runner() -> None:
    """A sound runner is spared for what the one before it said."""
    async with playing(VMS) as world:
        await start(world, ENGINE, ['0.4'])
        await press(world, ENGINE, SETTLED_S)
        world.store.topic('keyed.servers').put('r0', b'')
        successor = LimitedRunner('')
        await world.add_runner('successor', ENGINE, successor.behave)
        await world.knows(ENGINE, 1)
        begun = asyncio.get_running_loop().time()
        await press(world, ENGINE, 2)
        assert successor.most_within(1, begun) >= 10
