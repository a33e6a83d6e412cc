"""VMs that lose their paths to all runners while everyone else keeps theirs."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial

import pytest

from bramleybend.decisions.quarantine import REFUSAL_CRASHES
from tests.direct.cluster import ENGINE, PLAIN, Cluster, running_cluster
from tests.utils.path_cuts import PathState
from tests.utils.raw_runner import (
    ReceivedRequest,
    answer_at_once,
    chunk,
    event,
    stream_three_events,
)
from tests.utils.waiting import wait_until

VMS = 4
RUNNERS = 4
WARM_UP_S = 1.0
NOTICE_S = 3.0  # in which a VM has to find another way to the runners
MEASURED_S = 2.0
TARGET_LATENCY_S = 0.8  # of the routes
CALL_EVERY_S = 0.02  # between two requests, 50 a second
RESET_WAIT_S = 0.3  # until the VM knows that its path was lost
TARGETS = {ENGINE: '/draft/x', PLAIN: '/book/x'}
BEHAVIOURS = {ENGINE: stream_three_events, PLAIN: answer_at_once}


@dataclass
class Served:
    """Requests and whole answers with status 200, by VM."""

    sent: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    answered: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    # Seconds that the slowest answer took, by VM.
    slowest_s: dict[int, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    def failed(self) -> dict[int, int]:
        """Return the requests that were not answered, by VM."""
        return {
            vm: sent - self.answered[vm]
            for vm, sent in self.sent.items()
            if sent > self.answered[vm]
        }


async def send_load(cluster: Cluster, service: str, seconds: float) -> Served:
    """Send requests to the VMs in turn; each is sent once."""
    served = Served()
    loop = asyncio.get_running_loop()
    send_until = loop.time() + seconds
    calls = set()
    number = 0
    while loop.time() < send_until:
        number += 1
        call = _call(cluster, service, number, served)
        calls.add(asyncio.create_task(call))
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.gather(*calls)
    return served


async def _call(
    cluster: Cluster, service: str, number: int, served: Served
) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    vm = number % len(cluster.vms)
    served.sent[vm] += 1
    try:
        answer = await cluster.call(
            TARGETS[service],
            vm=vm,
            attempt=f'a{number}',
            X_Bramleybend_Deadline_Ms='1500',
        )
    except (OSError, EOFError):
        return
    served.answered[vm] += answer.status == 200 and answer.is_whole
    taken_s = loop.time() - started_at
    served.slowest_s[vm] = max(served.slowest_s[vm], taken_s)


async def start_runners(cluster: Cluster, service: str) -> None:
    """Start the runners of a service and fill the pools of connections."""
    for number in range(RUNNERS):
        await cluster.add_runner(f'r{number}', service, BEHAVIOURS[service])
    await cluster.wait_for_runners(service, RUNNERS)
    await send_load(cluster, service, WARM_UP_S)


@pytest.mark.parametrize(
    'state', [PathState.SILENT, PathState.RESET, PathState.REFUSED]
)
@pytest.mark.parametrize('cut', [(0,), (0, 1, 2)])
@pytest.mark.parametrize('service', [ENGINE, PLAIN])
async def test_callers_of_a_vm_without_paths_are_served(
    service: str, cut: tuple[int, ...], state: PathState
) -> None:
    """A VM cut off from all runners must not fail its callers or others'."""
    async with running_cluster(VMS) as cluster:
        await start_runners(cluster, service)
        for vm in cut:
            cluster.paths.set_state(vm, state)
        await send_load(cluster, service, NOTICE_S)
        served = await send_load(cluster, service, MEASURED_S)
        assert not served.failed()


@pytest.mark.parametrize('state', [PathState.SILENT, PathState.RESET])
async def test_a_lost_path_closes_no_runner_for_other_vms(
    state: PathState,
) -> None:
    """What one VM can't reach must not be taken for down by the others."""
    async with running_cluster(VMS) as cluster:
        await start_runners(cluster, ENGINE)
        cluster.paths.set_state(0, state)
        served = await send_load(cluster, ENGINE, NOTICE_S)
        assert not served.failed().keys() - {0}
        others = served.slowest_s.keys() - {0}
        assert max(served.slowest_s[vm] for vm in others) <= TARGET_LATENCY_S


@pytest.mark.parametrize('cut', [0, 1])
async def test_a_request_lost_on_its_path_closes_no_runner(cut: int) -> None:
    """A runner that one VM no longer hears must stay open for the others."""
    async with running_cluster(2) as cluster:
        await cluster.add_runner('r', ENGINE, stream_three_events)
        await cluster.wait_for_runners(ENGINE)
        for vm in (cut, 1 - cut):
            assert (await cluster.call(TARGETS[ENGINE], vm=vm)).status == 200
        cluster.paths.set_state(cut, PathState.SILENT)
        await cluster.call(TARGETS[ENGINE], vm=cut)
        async with asyncio.timeout(TARGET_LATENCY_S):
            answer = await cluster.call(TARGETS[ENGINE], vm=1 - cut)
        assert answer.status == 200


async def test_connections_reset_on_a_lost_path_condemn_no_content() -> None:
    """A caller's request must not be refused for good as a crashing one."""

    async def hold(seen: ReceivedRequest) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        await seen.closed.wait()

    async with running_cluster(2) as cluster:
        for number in range(REFUSAL_CRASHES):
            await cluster.add_runner(f'r{number}', ENGINE, hold)
        await cluster.wait_for_runners(ENGINE, REFUSAL_CRASHES)
        for number in range(REFUSAL_CRASHES):
            call = cluster.call(TARGETS[ENGINE], vm=0, attempt=f'a{number}')
            task = asyncio.create_task(call)
            await wait_until(
                partial(has_request, cluster, f'a{number}'), 'the request'
            )
            cluster.paths.set_state(0, PathState.RESET)
            assert not (await task).is_whole
            await asyncio.sleep(RESET_WAIT_S)
            cluster.paths.set_state(0, PathState.INTACT)
        for runner in cluster.runners.values():
            runner.behave = stream_three_events
        answer = await cluster.call(TARGETS[ENGINE], vm=0)
        assert answer.status == 200


def has_request(cluster: Cluster, attempt: str) -> bool:
    """Return whether a runner has received a request."""
    return any(
        seen.attempt == attempt
        for runner in cluster.runners.values()
        for seen in runner.seen
    )
