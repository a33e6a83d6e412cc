"""Timeouts of a process that was suspended or stalled."""

import asyncio
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from result import Ok

from bramleybend.clients.http import CONNECT_TIMEOUT_S, HttpApi, connect
from bramleybend.patience import patience, within

LIMIT_S = 0.5
STALL_S = 1.0
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


@contextmanager
def _responding_peer(answer_after_s: float) -> Iterator[str]:
    """Respond to one request from a thread, unaffected by a stalled loop."""

    def _serve() -> None:
        conn, _ = listener.accept()
        with conn:
            conn.recv(65536)
            time.sleep(answer_after_s)
            conn.sendall(ANSWER)

    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(target=_serve, daemon=True)
        thread.start()
        yield f'http://127.0.0.1:{listener.getsockname()[1]}'
        thread.join()


async def _call_during_stall(*, is_stall_tolerant: bool) -> bool:
    """Call a peer that responds while the event loop is stalled.

    Return whether the response was accepted.
    """
    with _responding_peer(0.1) as url:
        call = HttpApi(url, LIMIT_S).call(
            'GET', '/', is_stall_tolerant=is_stall_tolerant
        )
        calling = asyncio.create_task(call)
        await asyncio.sleep(0.05)
        time.sleep(STALL_S)
        return isinstance(await calling, Ok)


async def test_a_response_that_came_during_a_stall_is_accepted() -> None:
    """Guards against treating a stall of this process as an outage."""
    assert await _call_during_stall(is_stall_tolerant=True)


async def test_data_from_before_a_stall_is_not_accepted() -> None:
    """Guards against a VM that uses outdated terms after a suspension.

    The terms may have changed while it was suspended.
    """
    assert not await _call_during_stall(is_stall_tolerant=False)


async def test_a_connection_opened_during_a_stall_is_used() -> None:
    """Guards against treating a stall of this process as a lost peer."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        connecting = asyncio.create_task(connect(host, port))
        await asyncio.sleep(0)
        time.sleep(2 * CONNECT_TIMEOUT_S)
        (await connecting).close()


async def test_a_silent_peer_is_given_up_in_time() -> None:
    started_at = time.monotonic()
    with pytest.raises(TimeoutError):
        await within(LIMIT_S, asyncio.sleep(30))
    assert LIMIT_S <= time.monotonic() - started_at < 4 * LIMIT_S


async def test_a_body_that_takes_too_long_is_ended_in_time() -> None:
    """Guards against a connection attempt to a dead host that never ends."""
    started_at = time.monotonic()
    with pytest.raises(TimeoutError):
        async with patience(LIMIT_S):
            await asyncio.sleep(30)
    assert LIMIT_S <= time.monotonic() - started_at < 4 * LIMIT_S


async def test_a_body_that_ends_in_time_is_left_alone() -> None:
    """Guards against a timeout that fires after its body has ended."""
    async with patience(0.1):
        await asyncio.sleep(0)
    await asyncio.sleep(0.2)


async def test_a_cancelled_body_is_cancelled_not_late() -> None:
    """Guards against reporting a caller's cancellation as a timeout."""

    async def _wait() -> None:
        async with patience(LIMIT_S):
            await asyncio.sleep(30)

    waiting = asyncio.create_task(_wait())
    await asyncio.sleep(0.05)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting


async def test_work_that_is_given_up_is_cancelled() -> None:
    cancelled = asyncio.Event()

    async def _work() -> None:
        try:
            await asyncio.sleep(30)
        finally:
            cancelled.set()

    with pytest.raises(TimeoutError):
        await within(0.1, _work())
    await asyncio.wait_for(cancelled.wait(), 1)
