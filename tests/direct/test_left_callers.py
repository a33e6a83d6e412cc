"""Requests whose callers disconnect before a runner gets them."""

import asyncio
import socket
import time
from typing import Final
from unittest.mock import Mock

import pytest

from bramleybend.direct.slot_acquisition import UNSENT
from tests.direct.cluster import (
    ENGINE,
    HOST,
    KEY,
    PLAIN,
    Cluster,
    publish_token_limit,
    running_cluster,
)
from tests.utils.raw_runner import (
    RawRunner,
    ReceivedRequest,
    answer_at_once,
    chunk,
    event,
)
from tests.utils.waiting import wait_until

# Work for a caller ends within this time after it has disconnected.
STOP_S: Final = 0.5
DELAY_S: Final = 0.2
SLOTS: Final = 4
CHUNK_BYTES: Final = 512
CHUNKS: Final = 180  # 92 kB, more than a connection reads at once


def _send_and_disconnect(cluster: Cluster, target: str) -> None:
    """Send a request and disconnect before the event loop reads it."""
    front = cluster.cfgs[0].front
    request = (
        f'POST {target} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Bramleybend-Attempt-Id: unread\r\nAuthorization: Token {KEY}\r\n'
        'Content-Length: 2\r\n\r\n{}'
    )
    with socket.create_connection((front.host, front.port)) as caller:
        caller.sendall(request.encode())


def _block_event_loop(seconds: float) -> None:
    """Block the event loop that the VMs, runners and callers share."""
    time.sleep(seconds)


@pytest.mark.parametrize(
    ('target', 'service'),
    [('/read/x', PLAIN), ('/book/x', PLAIN), ('/draft/x', ENGINE)],
)
async def test_a_request_read_after_its_caller_left_is_not_run(
    target: str, service: str
) -> None:
    """A request that the event loop reads after its caller left isn't sent."""
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', service)
        await cluster.wait_for_runners(service)
        _send_and_disconnect(cluster, target)
        _block_event_loop(STOP_S + DELAY_S)
        await asyncio.sleep(DELAY_S)
        assert not runner.seen


async def test_a_booking_in_the_queue_is_not_sent_after_its_caller_left() -> (
    None
):
    """A queued booking is not sent over 0.5 s after its caller left."""

    async def books(seen: ReceivedRequest) -> None:
        await asyncio.sleep(STOP_S + DELAY_S)
        await answer_at_once(seen)

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN, books)
        await cluster.wait_for_runners(PLAIN)
        callers = [await cluster.connect() for _ in range(3 * SLOTS)]
        for number, caller in enumerate(callers):
            await caller.send('/book/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == SLOTS, 'full slots')
        for caller in callers:
            caller.close()
        await asyncio.sleep(STOP_S)
        sent_count = len(runner.seen)
        await asyncio.sleep(2 * (STOP_S + DELAY_S))
        assert len(runner.seen) == sent_count


async def test_a_slot_that_comes_free_as_its_caller_leaves_is_not_used() -> (
    None
):
    """No run starts if a grant and a disconnect are read in one loop turn."""

    async def holds(seen: ReceivedRequest) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        await seen.closed.wait()

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', ENGINE, holds)
        await cluster.wait_for_runners(ENGINE)
        callers = [await cluster.connect() for _ in range(SLOTS)]
        for number, caller in enumerate(callers):
            await caller.send('/draft/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == SLOTS, 'full slots')
        waiting = await cluster.connect()
        await waiting.send('/draft/x', attempt='waiting')
        await asyncio.sleep(DELAY_S)
        runner.seen[0].writer.write(chunk(b''))
        waiting.writer.get_extra_info('socket').shutdown(socket.SHUT_WR)
        _block_event_loop(STOP_S + DELAY_S)
        await asyncio.sleep(DELAY_S)
        assert len(runner.seen) == SLOTS
        for caller in callers:
            caller.close()


async def test_a_request_on_its_way_is_reset_when_its_caller_leaves() -> None:
    """A runner that accepts the connection later sees a reset.

    It must not see a request that looks complete.
    """
    async with running_cluster() as cluster:
        runner = RawRunner('127.0.0.1', 'r1')
        with socket.create_server((runner.host, 0)) as listener:
            runner.port = listener.getsockname()[1]
            cluster.store.put('keyed.servers', runner.name, runner.entry(PLAIN))
            await cluster.wait_for_runners(PLAIN)
            caller = await cluster.connect()
            await caller.send('/read/x')
            await asyncio.sleep(DELAY_S)
            caller.close()
            await asyncio.sleep(DELAY_S)
            with pytest.raises(ConnectionResetError):
                _read_to_the_end(listener)


def _read_to_the_end(listener: socket.socket) -> None:
    conn, _ = listener.accept()
    conn.settimeout(STOP_S)
    with conn, conn.makefile('rb') as received:
        received.read()


async def test_a_caller_that_leaves_after_a_long_body_is_noticed() -> None:
    """A connection that stays paused after its request has no end."""
    are_free = asyncio.Event()

    async def holds(seen: ReceivedRequest) -> None:
        await are_free.wait()
        await answer_at_once(seen)

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN, holds)
        await cluster.wait_for_runners(PLAIN)
        callers = [await cluster.connect() for _ in range(SLOTS + 1)]
        for number, caller in enumerate(callers[:SLOTS]):
            await caller.send('/book/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == SLOTS, 'full slots')
        head = (
            f'POST /book/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Bramleybend-Attempt-Id: left\r\nAuthorization: Token {KEY}\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        body = chunk(b'x' * CHUNK_BYTES) * CHUNKS + chunk(b'')
        callers[-1].writer.write(head.encode() + body)
        await callers[-1].writer.drain()
        await asyncio.sleep(DELAY_S)
        callers[-1].close()
        await asyncio.sleep(DELAY_S)
        are_free.set()
        answers = [await caller.answer() for caller in callers[:SLOTS]]
        assert [answer.status for answer in answers] == [200] * SLOTS
        await asyncio.sleep(STOP_S)
        assert len(runner.seen) == SLOTS


async def test_a_caller_that_leaves_the_queue_uses_up_no_allotment() -> None:
    """Units are refunded for requests that never ran."""

    async def books(seen: ReceivedRequest) -> None:
        await asyncio.sleep(STOP_S + DELAY_S)
        await answer_at_once(seen)

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN, books)
        await cluster.wait_for_runners(PLAIN)
        await publish_token_limit(cluster, per_s=1, burst=100 * 2 * SLOTS)
        callers = [await cluster.connect() for _ in range(2 * SLOTS)]
        for number, caller in enumerate(callers):
            await caller.send('/book/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == SLOTS, 'full slots')
        for caller in callers:
            caller.close()
        await asyncio.sleep(2 * STOP_S + DELAY_S)
        account = cluster.vms[0].entry._allotments.reports()['school']
        assert account.used == pytest.approx(100 * SLOTS, abs=2 * SLOTS)


async def test_no_runner_is_blamed_for_a_caller_that_left_before_the_write() -> (
    None
):
    """A runner to which nothing was written must not count as failing.

    Otherwise a runner without faults would get less work.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        entry = cluster.vms[0].entry
        opening = asyncio.Event()

        async def acquire(runner: object) -> None:
            opening.set()
            await asyncio.sleep(10)

        components = entry._request_handler._components
        components.channels.acquire = acquire  # type: ignore[method-assign,assignment]
        ended = Mock()
        entry.placer.release = ended  # type: ignore[method-assign]
        caller = await cluster.connect()
        await caller.send('/book/x', attempt='a')
        await opening.wait()
        caller.close()
        await wait_until(lambda: ended.called, 'a report')
        assert ended.call_args.args[1].outcome == UNSENT
