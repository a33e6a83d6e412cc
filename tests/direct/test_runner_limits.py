"""Runners that state how many requests a second they accept from all VMs."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from tests.direct.cluster import ENGINE, PLAIN, Cluster, running_cluster
from tests.utils.raw_runner import Seen

VMS = 3
SETTLE_S = 1.0  # until all VMs know a limit after the first answer
WINDOW_S = 4.0
CALL_EVERY_S = 0.05  # between two requests, 20 a second
ROUTES = {ENGINE: '/check/x', PLAIN: '/read/x'}


@dataclass
class LimitedRunner:
    """A runner that states a limit and records when requests arrive."""

    limit: str
    received_at: list[float] = field(default_factory=list)

    async def behave(self, seen: Seen) -> None:
        """Answer one request at once."""
        self.received_at.append(asyncio.get_running_loop().time())
        seen.writer.write(seen.answer(limit=self.limit))

    def max_within(self, window_s: float, since: float) -> int:
        """Return the largest number of requests in any window."""
        times = [at for at in self.received_at if at >= since]
        return max(
            (
                sum(first <= at < first + window_s for at in times)
                for first in times
            ),
            default=0,
        )


def max_allowed(per_s: float) -> float:
    """Return the number of requests that the user documentation permits."""
    return per_s * WINDOW_S * 1.5 + 5


async def send_load(cluster: Cluster, service: str, seconds: float) -> None:
    """Send requests to the VMs in turn."""
    loop = asyncio.get_running_loop()
    send_until = loop.time() + seconds
    calls = set()
    number = 0
    while loop.time() < send_until:
        number += 1
        target = ROUTES[service]
        call = cluster.call(
            target,
            vm=number % len(cluster.vms),
            attempt=f'a{number}',
            X_Bramleybend_Deadline_Ms='1000',
        )
        calls.add(asyncio.create_task(call))
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.gather(*calls, return_exceptions=True)


async def start_runners(
    cluster: Cluster, service: str, limits: Sequence[str]
) -> list[LimitedRunner]:
    """Start a runner for each limit; an empty one states none."""
    runners = [LimitedRunner(limit) for limit in limits]
    for number, runner in enumerate(runners):
        await cluster.add_runner(f'r{number}', service, runner.behave)
    await cluster.wait_for_runners(service, len(runners))
    return runners


@pytest.mark.parametrize('service', [ENGINE, PLAIN])
@pytest.mark.parametrize('limit', ['1', '0.4', '5.5'])
async def test_a_named_limit_holds_over_all_vms(
    service: str, limit: str
) -> None:
    """The limit holds for the requests of all VMs together."""
    async with running_cluster(VMS) as cluster:
        limited, other = await start_runners(cluster, service, [limit, ''])
        await send_load(cluster, service, SETTLE_S + WINDOW_S + 1)
        since = limited.received_at[0] + SETTLE_S
        max_received = limited.max_within(WINDOW_S, since)
        assert 0 < max_received <= max_allowed(float(limit))
        assert other.received_at


@pytest.mark.parametrize('service', [ENGINE, PLAIN])
async def test_a_limit_ends_when_the_runner_names_none(service: str) -> None:
    """A runner that no longer states a limit gets its full load again."""
    async with running_cluster(VMS) as cluster:
        (runner,) = await start_runners(cluster, service, ['2'])
        await send_load(cluster, service, 2)
        runner.limit = ''
        await send_load(cluster, service, 3)
        started_at = asyncio.get_running_loop().time()
        await send_load(cluster, service, 2)
        assert runner.max_within(1, started_at) >= 10


async def test_a_vm_that_starts_keeps_to_a_limit_that_others_heard() -> None:
    """A VM that starts must not send a burst before it hears of a limit."""
    async with running_cluster(VMS - 1) as cluster:
        limited, _ = await start_runners(cluster, PLAIN, ['1', ''])
        await send_load(cluster, PLAIN, 1)
        await cluster.add_vm()
        await cluster.wait_until_ready()
        await cluster.wait_for_runners(PLAIN, 2)
        started_at = asyncio.get_running_loop().time()
        await send_load(cluster, PLAIN, WINDOW_S)
        assert limited.max_within(WINDOW_S, started_at) <= max_allowed(1)


@pytest.mark.parametrize('service', [ENGINE, PLAIN])
async def test_a_limit_holds_while_a_vm_is_lost(service: str) -> None:
    """The VM that takes over from a lost one must not send another burst."""
    async with running_cluster(VMS) as cluster:
        limited, _ = await start_runners(cluster, service, ['1', ''])
        await send_load(cluster, service, SETTLE_S)
        started_at = asyncio.get_running_loop().time()
        lost = cluster.vms.pop()
        await asyncio.gather(send_load(cluster, service, WINDOW_S), lost.kill())
        assert limited.max_within(WINDOW_S, started_at) <= max_allowed(1)


async def test_a_successor_is_not_held_to_the_limit_of_a_runner() -> None:
    """The successor of a limited runner gets its full load."""
    async with running_cluster(VMS) as cluster:
        await start_runners(cluster, ENGINE, ['0.4'])
        await send_load(cluster, ENGINE, SETTLE_S)
        cluster.store.topic('keyed.servers').put('r0', b'')
        successor = LimitedRunner('')
        await cluster.add_runner('successor', ENGINE, successor.behave)
        await cluster.wait_for_runners(ENGINE, 1)
        started_at = asyncio.get_running_loop().time()
        await send_load(cluster, ENGINE, 2)
        assert successor.max_within(1, started_at) >= 10
