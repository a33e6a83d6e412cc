"""Requests that reach their runner through another VM."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bramleybend.direct.tunnel_channel import TUNNEL_PORT_OFFSET
from bramleybend.direct.tunnel_frames import (
    FrameReader,
    FrameType,
    RefusalReason,
    TunnelRequest,
    encode_frame,
    encode_request,
)
from tests.direct.cluster import ENGINE, PLAIN, Cluster, running_cluster
from tests.utils.path_cuts import PathState
from tests.utils.raw_runner import (
    Behaviour,
    ReceivedRequest,
    answer_at_once,
    chunk,
    event,
    stream_three_events,
)
from tests.utils.waiting import wait_until

CUT, HELPER = 0, 1
WAIT_S = 5.0
STEP_S = 0.1


@asynccontextmanager
async def cut_cluster(
    service: str, behave: Behaviour = answer_at_once, vms: int = 2
) -> AsyncIterator[Cluster]:
    """Start VMs and one runner that the first VM can't connect to."""
    async with running_cluster(vms) as cluster:
        await cluster.add_runner('r', service, behave)
        await cluster.wait_for_runners(service)
        cluster.paths.set_state(CUT, PathState.REFUSED)
        yield cluster


def open_tunnels(cluster: Cluster, vm: int = HELPER) -> int:
    """Return the number of tunnels that a VM keeps open for others."""
    return cluster.vms[vm].entry._access.tunnels.open_count


class SlowStream:
    """Streams events; the first stream stops at one until it is released."""

    def __init__(self) -> None:
        """Start without requests."""
        self.release = asyncio.Event()
        self.seen: list[ReceivedRequest] = []

    async def behave(self, seen: ReceivedRequest) -> None:
        """Stream three events."""
        self.seen.append(seen)
        first = int(seen.headers.get('last-event-id', '0')) + 1
        seen.writer.write(seen.stream_head() + chunk(event(first)))
        if len(self.seen) == 1:
            await self.release.wait()
        for number in range(first + 1, 4):
            seen.writer.write(chunk(event(number)))
        seen.writer.write(chunk(b''))


async def test_a_stream_passes_a_tunnel_event_by_event() -> None:
    """Events that arrive late, or in one piece at the end, miss their aim."""
    stream = SlowStream()
    async with cut_cluster(ENGINE, stream.behave) as cluster:
        caller = await cluster.connect(CUT)
        await caller.send('/draft/x')
        first = await asyncio.wait_for(
            caller.reader.readuntil(b'piece 1\n\n'), WAIT_S
        )
        assert b'200' in first
        stream.release.set()
        rest = await asyncio.wait_for(
            caller.reader.readuntil(b'\r\n0\r\n\r\n'), WAIT_S
        )
        assert b'piece 3' in rest
        caller.close()


async def test_the_runner_sees_the_request_of_the_caller_unchanged() -> None:
    """What a tunnel adds or drops would be told as the caller's request."""
    async with cut_cluster(PLAIN) as cluster:
        answers = [
            await cluster.call('/book/x', vm=vm, attempt=f'a{vm}', body=b'b')
            for vm in (CUT, HELPER)
        ]
        tunnelled, direct = cluster.runners['r'].seen
        differing = {
            name
            for name in tunnelled.headers.keys() | direct.headers.keys()
            if tunnelled.headers.get(name) != direct.headers.get(name)
        }
        assert differing <= {
            'x-bramleybend-attempt-id',
            'x-bramleybend-deadline-ms',
        }
        assert tunnelled.body == direct.body == b'b'
        assert [answer.body for answer in answers] == [b'done', b'done']


async def test_a_tunnel_is_used_for_further_requests() -> None:
    """A new connection for each request would fill the runner's queue."""
    async with cut_cluster(PLAIN) as cluster:
        for number in range(4):
            answer = await cluster.call('/book/x', attempt=f'a{number}')
            assert answer.status == 200
        assert cluster.runners['r'].connections == 1


async def test_a_caller_that_leaves_frees_the_runner_behind_a_tunnel() -> None:
    """A runner must not work on for a caller that is gone."""
    stream = SlowStream()
    async with cut_cluster(ENGINE, stream.behave) as cluster:
        caller = await cluster.connect(CUT)
        await caller.send('/draft/x')
        await asyncio.wait_for(caller.reader.readuntil(b'piece 1'), WAIT_S)
        caller.close()
        await asyncio.wait_for(stream.seen[0].closed.wait(), 0.5)


async def test_a_stream_cut_by_the_loss_of_its_helper_is_not_whole() -> None:
    """The end of a tunnel must not be taken for the end of an answer."""
    stream = SlowStream()
    async with cut_cluster(ENGINE, stream.behave) as cluster:
        task = asyncio.create_task(cluster.call('/draft/x', vm=CUT))
        await wait_until(lambda: bool(stream.seen), 'the request')
        await asyncio.sleep(STEP_S)
        await cluster.vms[HELPER].kill()
        assert not (await task).is_whole
        assert len(stream.seen) == 1


async def test_an_unframed_answer_is_not_whole_if_its_helper_is_lost() -> None:
    """An answer that ends with its connection looks complete when it ends."""

    async def answer_unframed(seen: ReceivedRequest) -> None:
        head = seen.stream_head().replace(
            b'Transfer-Encoding: chunked\r\n', b''
        )
        seen.writer.write(head + event(1))
        reached.set()
        await asyncio.sleep(WAIT_S)

    reached = asyncio.Event()
    async with cut_cluster(ENGINE, answer_unframed) as cluster:
        task = asyncio.create_task(cluster.call('/draft/x', vm=CUT))
        await asyncio.wait_for(reached.wait(), WAIT_S)
        await asyncio.sleep(STEP_S)
        await cluster.vms[HELPER].kill()
        assert not (await task).is_whole


async def test_a_resumable_stream_outlives_the_loss_of_its_helper() -> None:
    """It goes on through a third VM, after the last event it relayed."""
    stream = SlowStream()
    async with cut_cluster(ENGINE, stream.behave, vms=3) as cluster:
        task = asyncio.create_task(cluster.call('/check/x', vm=CUT))
        await wait_until(lambda: bool(stream.seen), 'the request')
        await asyncio.sleep(STEP_S)
        helper = next(vm for vm in (1, 2) if open_tunnels(cluster, vm))
        await cluster.vms[helper].kill()
        answer = await task
        assert answer.status == 200
        assert answer.is_whole
        assert len(stream.seen) == 2
        assert stream.seen[1].headers['last-event-id'] == '1'


async def test_a_booking_lost_with_its_helper_is_not_sent_again() -> None:
    """It may have run, so it must neither run again nor be told as not run."""

    async def never_answer(seen: ReceivedRequest) -> None:
        await asyncio.sleep(WAIT_S)

    async with cut_cluster(PLAIN, never_answer, vms=3) as cluster:
        runner = cluster.runners['r']
        task = asyncio.create_task(cluster.call('/book/x', vm=CUT))
        await wait_until(lambda: bool(runner.seen), 'the request')
        for vm in (1, 2):
            await cluster.vms[vm].kill()
        assert (await task).status == 502
        assert len(runner.seen) == 1


async def test_a_helper_that_stops_lets_tunnelled_answers_end() -> None:
    """A planned stop of the other VM must not cut an answer."""
    stream = SlowStream()
    async with cut_cluster(ENGINE, stream.behave) as cluster:
        task = asyncio.create_task(cluster.call('/draft/x', vm=CUT))
        await wait_until(lambda: bool(stream.seen), 'the request')
        draining = asyncio.create_task(cluster.vms[HELPER].entry.drain())
        await asyncio.sleep(1)
        stream.release.set()
        answer = await task
        assert answer.is_whole
        assert answer.body.count(b'piece') == 3
        await asyncio.wait_for(draining, WAIT_S)


async def test_a_stopping_vm_serves_its_callers_through_a_tunnel() -> None:
    """A planned stop of the VM without paths must not cut an answer."""
    stream = SlowStream()
    async with cut_cluster(ENGINE, stream.behave) as cluster:
        task = asyncio.create_task(cluster.call('/draft/x', vm=CUT))
        await wait_until(lambda: bool(stream.seen), 'the request')
        draining = asyncio.create_task(cluster.vms[CUT].entry.drain())
        await asyncio.sleep(STEP_S)
        stream.release.set()
        assert (await task).is_whole
        await asyncio.wait_for(draining, WAIT_S)


async def test_idle_tunnels_through_a_leaving_vm_are_closed() -> None:
    """Idle tunnels would hold up its stop until the platform kills it."""
    async with cut_cluster(PLAIN, vms=3) as cluster:
        assert (await cluster.call('/book/x', vm=CUT)).status == 200
        helper = next(vm for vm in (1, 2) if open_tunnels(cluster, vm))
        draining = asyncio.create_task(cluster.vms[helper].entry.drain())
        await wait_until(
            lambda: not open_tunnels(cluster, helper), 'no tunnel', 1
        )
        draining.cancel()
        assert (await cluster.call('/book/x', vm=CUT)).status == 200


async def test_a_helper_that_is_cut_off_itself_is_passed_over() -> None:
    """One VM of three reaches the runner; it must be found."""
    async with cut_cluster(PLAIN, vms=3) as cluster:
        cluster.paths.set_state(1, PathState.SILENT)
        for number in range(4):
            answer = await cluster.call('/book/x', vm=CUT, attempt=f'a{number}')
            assert answer.status == 200


async def test_a_frozen_helper_is_passed_over() -> None:
    """A VM that accepts a connection and says nothing must not hold it up."""
    async with cut_cluster(PLAIN, vms=3) as cluster:
        cluster.vms[1].entry._access.tunnels.find_runner = _never_return
        for number in range(4):
            async with asyncio.timeout(0.8):
                answer = await cluster.call(
                    '/book/x', vm=CUT, attempt=f'a{number}'
                )
            assert answer.status == 200


def _never_return(service: str, runner: str) -> None:
    raise RuntimeError('this VM stands still')


async def test_the_direct_path_is_used_again_once_it_works() -> None:
    """Tunnels cost two VMs' time, so they end with the need for them."""
    async with cut_cluster(PLAIN) as cluster:
        await cluster.call('/book/x', vm=CUT)
        entry = cluster.vms[CUT].entry
        assert entry._access.paths.unreached() == (PLAIN,)
        others = cluster.vms[HELPER].entry.members
        await wait_until(
            lambda: [vm.unreached for vm in others] == [(PLAIN,)],
            'the other VM to know',
        )
        cluster.paths.set_state(CUT, PathState.INTACT)
        await wait_until(
            lambda: not entry._access.paths.unreached(), 'the path', WAIT_S
        )
        await wait_until(lambda: not open_tunnels(cluster), 'no tunnel')
        assert (await cluster.call('/book/x', vm=CUT)).status == 200
        assert not open_tunnels(cluster)


async def test_a_runner_that_is_down_is_reported_by_two_vms() -> None:
    """Nobody reaches it, so it is closed soon, and nothing was run."""
    async with cut_cluster(PLAIN) as cluster:
        await cluster.runners['r'].stop()
        answer = await cluster.call('/book/x', vm=CUT)
        assert answer.status == 503
        assert not cluster.runners['r'].seen


async def refusal_for(
    cluster: Cluster, request: TunnelRequest, source: str
) -> bytes:
    """Ask a VM for a tunnel; return its first frame, or b'' if it resets."""
    cfg = cluster.cfgs[HELPER]
    try:
        reader, writer = await asyncio.open_connection(
            cfg.address,
            cfg.peer_port + TUNNEL_PORT_OFFSET,
            local_addr=(source, 0),
        )
        writer.write(encode_frame(FrameType.OPEN, encode_request(request)))
        received = await asyncio.wait_for(reader.read(1000), WAIT_S)
    except ConnectionError:
        return b''
    writer.close()
    return received


@pytest.mark.parametrize(
    'request_',
    [
        TunnelRequest(PLAIN, 'unknown'),
        TunnelRequest(ENGINE, 'r'),  # it runs another service
    ],
)
async def test_a_tunnel_leads_to_listed_runners_only(
    request_: TunnelRequest,
) -> None:
    """A VM must not become a way to arbitrary addresses."""
    async with cut_cluster(PLAIN) as cluster:
        received = await refusal_for(
            cluster, request_, cluster.cfgs[CUT].address
        )
        frames = list(FrameReader().feed(received))
        assert frames == [
            (FrameType.REFUSED, RefusalReason.UNKNOWN_RUNNER.encode())
        ]


async def test_only_known_vms_may_open_tunnels() -> None:
    """Callers must not reach runners past admission."""
    async with cut_cluster(PLAIN) as cluster:
        request = TunnelRequest(PLAIN, 'r')
        stranger = cluster.cfgs[CUT].address.replace('.1.1', '.1.99')
        assert not await refusal_for(cluster, request, stranger)


async def test_a_leaving_runner_gets_no_tunnel() -> None:
    """A VM that learns of it late must not send it new work."""
    async with cut_cluster(PLAIN) as cluster:
        runner = cluster.runners['r']
        cluster.store.put('keyed.servers', 'r', runner.entry(PLAIN, 'draining'))
        catalog = cluster.vms[HELPER].entry.catalog
        await wait_until(
            lambda: catalog.runners_by_service[PLAIN][0].state == 'leaving',
            'the change',
        )
        received = await refusal_for(
            cluster, TunnelRequest(PLAIN, 'r'), cluster.cfgs[CUT].address
        )
        assert b'unknown_runner' in received


async def test_streams_without_helpers_fail_as_not_run() -> None:
    """With no way at all the caller is told that nothing ran."""
    async with cut_cluster(ENGINE, stream_three_events) as cluster:
        cluster.paths.set_state(HELPER, PathState.REFUSED)
        answer = await cluster.call('/draft/x', vm=CUT)
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
