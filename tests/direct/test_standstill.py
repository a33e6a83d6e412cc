"""A VM that stands still while others go on, and then wakes."""

import asyncio
import logging
import signal
import time
from dataclasses import replace
from pathlib import Path
from typing import cast

import pytest

from bramleybend.clients.channel import CONNECT_TIMEOUT_S
from bramleybend.clock import SystemClock
from bramleybend.direct.list_age import LIST_WAIT_S, MAX_LIST_AGE_S, ListAge
from bramleybend.events import EVENT_LOGGER, EventLog
from bramleybend.platform.platform_process import make_platform_process
from tests.direct.cluster import (
    ENGINE,
    PLAIN,
    Cluster,
    RawCaller,
    running_cluster,
)
from tests.direct.program import program
from tests.utils.path_cuts import SLOW_OPEN_S, PathState
from tests.utils.peer_network import start_network
from tests.utils.processes import Process
from tests.utils.raw_runner import (
    ReceivedRequest,
    chunk,
    event,
    stream_three_events,
)
from tests.utils.waiting import wait_until

OLD, NEW = 'v1', 'v2'
STREAMS = 8  # more than the old runner has slots
HEARD_S = 1.5  # heartbeats that list the old runner alone
FROZEN_S = 3.0
CALLERS = 12
LATER_ROUNDS, ROUND_S = 12, 0.2  # after the VM woke
RECORDED_S = 0.3  # until their origins are in the log


async def hold_after_one_event(seen: ReceivedRequest) -> None:
    """Send one event of a new stream and hold it; end one that goes on."""
    if 'last-event-id' in seen.headers:
        await stream_three_events(seen)
        return
    seen.writer.write(seen.stream_head() + chunk(event(1)))
    await seen.closed.wait()


async def begin_streams(
    cluster: Cluster, callers: list[RawCaller]
) -> list[str]:
    """Begin streams at the first VM; return those that the new runner has."""
    for number in range(STREAMS):
        callers.append(await cluster.connect())
        await callers[-1].send('/check/x', attempt=f'a{number}')
    new = cluster.runners['new']
    await wait_until(lambda: bool(new.seen), 'a stream began at the new runner')
    await asyncio.sleep(RECORDED_S)
    return [seen.attempt for seen in new.seen]


async def take_up_on_waking(
    cluster: Cluster, stopped: Process, attempts: list[str], after_s: float
) -> None:
    """Take streams up at the second VM, which stands still, and wake it."""
    callers = [await cluster.connect(1) for _ in attempts]
    for number, (caller, attempt) in enumerate(
        zip(callers, attempts, strict=True)
    ):
        if after_s and not number:
            stopped.send_signal(signal.SIGCONT)
            await asyncio.sleep(after_s)
        await caller.send(
            '/check/x',
            attempt=f'again-{attempt}',
            Last_Event_Id='1',
            Resumes=attempt,
        )
    stopped.send_signal(signal.SIGCONT)
    answers = [await caller.answer() for caller in callers]
    for caller in callers:
        caller.close()
    assert {answer.status for answer in answers} <= {200, 503}


@pytest.mark.parametrize('after_s', [0, 0.02, 0.2])
async def test_a_vm_that_wakes_joins_no_versions(
    tmp_path: Path, after_s: float
) -> None:
    """A VM that wakes must not take what waited in its sockets for new."""
    async with running_cluster(vms=2) as cluster:
        await cluster.add_runner('old', ENGINE, hold_after_one_event, OLD)
        await cluster.wait_for_runners(ENGINE)
        async with program(cluster, tmp_path) as process:
            await wait_until(
                lambda: 'event=runner ' in process.log_text(), 'the runner'
            )
            await cluster.wait_until_ready_at(2)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HEARD_S)
            await cluster.add_runner('new', ENGINE, hold_after_one_event, NEW)
            await cluster.wait_for_runners(ENGINE, 2)
            await asyncio.sleep(3)
            callers: list[RawCaller] = []
            begun_at_new = await begin_streams(cluster, callers)
            assert begun_at_new
            await cluster.kill_vms()
            for caller in callers:
                caller.close()
            await take_up_on_waking(cluster, process, begun_at_new, after_s)
        joined = [
            seen
            for seen in cluster.runners['old'].seen
            if seen.attempt.startswith('again-')
        ]
        assert not joined


@pytest.mark.parametrize('frozen_s', [0.3, 1.1])
async def test_a_vm_that_wakes_joins_no_versions_begun_at_a_new_vm(
    tmp_path: Path, frozen_s: float
) -> None:
    """A VM that starts can't tell which of two versions others don't know yet.

    Streams begin there at the newer one, and are taken up at a VM that stood
    still for less time than a list counts as current.
    """
    async with running_cluster(vms=2) as cluster:
        await cluster.add_runner('old', ENGINE, hold_after_one_event, OLD)
        await cluster.wait_for_runners(ENGINE)
        async with program(cluster, tmp_path) as process:
            await wait_until(
                lambda: 'event=runner ' in process.log_text(), 'the runner'
            )
            await cluster.wait_until_ready_at(2)
            process.send_signal(signal.SIGSTOP)
            await cluster.add_runner('new', ENGINE, hold_after_one_event, NEW)
            await cluster.kill_vms()
            vm = make_platform_process(
                replace(cluster.cfgs[0], first_start=False), cluster.clock
            )
            await vm.start()
            cluster.vms.append(vm)
            await cluster.wait_for_runners(ENGINE, 2)
            callers: list[RawCaller] = []
            begun_at_new = await begin_streams(cluster, callers)
            await cluster.kill_vms()
            for caller in callers:
                caller.close()
            await asyncio.sleep(frozen_s - RECORDED_S)
            await take_up_on_waking(cluster, process, begun_at_new, 0)
        assert not [
            seen
            for seen in cluster.runners['old'].seen
            if seen.attempt.startswith('again-')
        ]


@pytest.mark.parametrize('state', ['draining', 'removed'])
async def test_a_vm_that_wakes_sends_nothing_to_a_runner_that_left(
    tmp_path: Path, state: str
) -> None:
    """A VM that wakes must not act on its list of runners from before.

    Some runners announce that they leave; of others only the entry is removed.
    """
    async with running_cluster(vms=2) as cluster:
        left = await cluster.add_runner('left', PLAIN)
        await cluster.add_runner('stays', PLAIN)
        await cluster.wait_for_runners(PLAIN, 2)
        async with program(cluster, tmp_path) as process:
            await wait_until(
                lambda: process.log_text().count('event=runner ') == 2,
                'the runners',
            )
            await cluster.wait_until_ready_at(2)
            callers = [await cluster.connect(1) for _ in range(CALLERS)]
            process.send_signal(signal.SIGSTOP)
            leave(cluster, 'left', state)
            await asyncio.sleep(FROZEN_S)
            for caller in callers:
                await caller.send('/read/x')
            process.send_signal(signal.SIGCONT)
            answers = [await caller.answer() for caller in callers]
            for _ in range(LATER_ROUNDS):
                await asyncio.sleep(ROUND_S)
                answers.append(await cluster.call('/read/x', 1))
            for caller in callers:
                caller.close()
        assert {answer.status for answer in answers} == {200}
        assert not left.seen


async def test_nothing_is_sent_to_a_runner_that_left_meanwhile() -> None:
    """A runner may leave while the connection to it opens."""
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('left', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        cluster.paths.set_state(0, PathState.SLOW)
        call = asyncio.create_task(cluster.call('/read/x'))
        await asyncio.sleep(SLOW_OPEN_S / 2)
        cluster.vms[0].entry.catalog.exclude_moved_runner('left')
        answer = await call
        assert answer.status == 503
        assert not runner.seen


async def stand_still_at(
    event_name: str, caplog: pytest.LogCaptureFixture, seconds: float
) -> None:
    """Stop this process's event loop right after its first such event."""
    while event_name not in logged_events(caplog):
        await asyncio.sleep(0)
    time.sleep(seconds)


def logged_events(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the names of the events logged so far."""
    return [
        cast(dict[str, str], record.msg)['event']
        for record in caplog.records
        if record.name == EVENT_LOGGER
    ]


@pytest.mark.parametrize('vms', [1, 2])
async def test_a_standstill_while_connections_open_tells_nothing_of_runners(
    caplog: pytest.LogCaptureFixture, vms: int
) -> None:
    """A VM that stood still would take sound runners for unreachable."""
    caplog.set_level(logging.INFO, EVENT_LOGGER)
    async with running_cluster(vms) as cluster:
        for name in ('r1', 'r2'):
            await cluster.add_runner(name, ENGINE, stream_three_events)
        await cluster.wait_for_runners(ENGINE, 2)
        calls = [
            asyncio.create_task(cluster.call('/draft/x', attempt=f'a{number}'))
            for number in range(CALLERS)
        ]
        await stand_still_at('placed', caplog, CONNECT_TIMEOUT_S + 0.1)
        answers = await asyncio.gather(*calls)
    assert {answer.status for answer in answers} == {200}
    assert 'try_failed' not in logged_events(caplog)


async def test_a_standstill_while_a_list_is_awaited_makes_no_old_list_usable() -> (
    None
):
    """A VM that stands still twice would act on its list from before."""
    clock = SystemClock()
    age = ListAge(clock, EventLog('vm', 'i', clock, 0))
    age.confirm(clock.monotonic() - 2 * MAX_LIST_AGE_S)
    waiting = asyncio.create_task(age.wait_until_current())
    await asyncio.sleep(0)
    time.sleep(LIST_WAIT_S + 0.1)
    await asyncio.sleep(0.01)
    assert age.is_outdated
    age.confirm(clock.monotonic())
    await waiting
    assert age.is_current


def leave(cluster: Cluster, name: str, state: str) -> None:
    """Announce that a runner leaves, or remove its entry."""
    if state == 'removed':
        cluster.store.topic('keyed.servers').put(name, b'')
        return
    entry = cluster.runners[name].entry(PLAIN, state)
    cluster.store.put('keyed.servers', name, entry)


def test_heartbeats_that_waited_make_nobody_alive() -> None:
    """A VM that wakes would act as if it heard VMs that may be gone."""
    network = start_network(6)
    vm, *others = network.running_vms()
    vm.is_frozen = True
    network.run(3)
    for other in others:
        other.is_up = False
    network.run(2)
    vm.is_frozen = False
    network.read_unread(vm)
    assert not vm.members.alive(network.clock.monotonic())
