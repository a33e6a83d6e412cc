"""Requests whose callers have left before a runner got them."""

import asyncio
import socket
import time
from typing import Final
from unittest.mock import Mock

import pytest

from bramleybend.direct.attempt_dispatcher import UNSENT
from tests.direct.world import (
    ENGINE,
    HOST,
    KEY,
    PLAIN,
    World,
    playing,
)
from tests.utils.raw_runner import RawRunner, Seen, answers, chunk, event
from tests.utils.waiting import wait_until

# After a caller has left, work for it ends within this time.
STOP_S: Final = 0.5
LATE_S: Final = 0.2
SLOTS: Final = 4


def _leaves_unread(world: World, target: str) -> None:
    """Send a request and close, without a turn of the event loop."""
    front = world.cfgs[0].front
    request = (
        f'POST {target} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Bramleybend-Attempt-Id: unread\r\nAuthorization: Token {KEY}\r\n'
        'Content-Length: 2\r\n\r\n{}'
    )
    with socket.create_connection((front.host, front.port)) as caller:
        caller.sendall(request.encode())


def _stand_still(seconds: float) -> None:
    """Hold up the event loop that all in the test share."""
    time.sleep(seconds)


@pytest.mark.parametrize(
    ('target', 'service'),
    [('/read/x', PLAIN), ('/book/x', PLAIN), ('/draft/x', ENGINE)],
)
async def test_a_request_read_after_its_caller_left_is_not_run(
    target: str, service: str
) -> None:
    """No runner gets what a busy event loop reads too late."""
    async with playing() as world:
        runner = await world.add_runner('r1', service)
        await world.knows(service)
        _leaves_unread(world, target)
        _stand_still(STOP_S + LATE_S)
        await asyncio.sleep(LATE_S)
        assert not runner.seen


async def test_a_booking_in_the_queue_is_not_sent_after_its_caller_left() -> (
    None
):
    """No runner gets a booking over half a second after its caller left."""

    async def books(seen: Seen) -> None:
        await asyncio.sleep(STOP_S + LATE_S)
        await answers(seen)

    async with playing() as world:
        runner = await world.add_runner('r1', PLAIN, books)
        await world.knows(PLAIN)
        callers = [await world.connect() for _ in range(3 * SLOTS)]
        for number, caller in enumerate(callers):
            await caller.send('/book/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == SLOTS, 'full slots')
        for caller in callers:
            caller.close()
        await asyncio.sleep(STOP_S)
        sent = len(runner.seen)
        await asyncio.sleep(2 * (STOP_S + LATE_S))
        assert len(runner.seen) == sent


async def test_a_slot_that_comes_free_as_its_caller_leaves_is_not_used() -> (
    None
):
    """A grant and a close that are read in one turn start no run."""

    async def holds(seen: Seen) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        await seen.left.wait()

    async with playing() as world:
        runner = await world.add_runner('r1', ENGINE, holds)
        await world.knows(ENGINE)
        callers = [await world.connect() for _ in range(SLOTS)]
        for number, caller in enumerate(callers):
            await caller.send('/draft/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == SLOTS, 'full slots')
        waiting = await world.connect()
        await waiting.send('/draft/x', attempt='waiting')
        await asyncio.sleep(LATE_S)
        runner.seen[0].writer.write(chunk(b''))
        waiting.writer.get_extra_info('socket').shutdown(socket.SHUT_WR)
        _stand_still(STOP_S + LATE_S)
        await asyncio.sleep(LATE_S)
        assert len(runner.seen) == SLOTS
        for caller in callers:
            caller.close()


async def test_a_request_on_its_way_is_reset_when_its_caller_leaves() -> None:
    """A runner that accepts it later sees a reset, no request with an end."""
    async with playing() as world:
        runner = RawRunner('127.0.0.1', 'r1')
        with socket.create_server((runner.host, 0)) as listener:
            runner.port = listener.getsockname()[1]
            world.store.put('keyed.servers', runner.name, runner.entry(PLAIN))
            await world.knows(PLAIN)
            caller = await world.connect()
            await caller.send('/read/x')
            await asyncio.sleep(LATE_S)
            caller.close()
            await asyncio.sleep(LATE_S)
            with pytest.raises(ConnectionResetError):
                _read_to_the_end(listener)


def _read_to_the_end(listener: socket.socket) -> None:
    conn, _ = listener.accept()
    conn.settimeout(STOP_S)
    with conn, conn.makefile('rb') as received:
        received.read()


async def test_a_caller_that_leaves_the_queue_uses_up_no_allotment() -> None:
    """Its workspace would be refused for what never ran."""

    async def books(seen: Seen) -> None:
        await asyncio.sleep(STOP_S + LATE_S)
        await answers(seen)

    async with playing() as world:
        runner = await world.add_runner('r1', PLAIN, books)
        await world.knows(PLAIN)
        given_back = Mock()
        components = world.vms[0].entry._request_handler._components
        components.admission_control.refund = given_back  # type: ignore[method-assign]
        callers = [await world.connect() for _ in range(2 * SLOTS)]
        for number, caller in enumerate(callers):
            await caller.send('/book/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == SLOTS, 'full slots')
        for caller in callers:
            caller.close()
        await asyncio.sleep(2 * STOP_S + LATE_S)
        assert given_back.call_count == SLOTS


async def test_no_runner_is_blamed_for_a_caller_that_left_before_the_write() -> (
    None
):
    """A sound runner would get less work."""
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        entry = world.vms[0].entry
        opening = asyncio.Event()

        async def take(runner: object) -> None:
            opening.set()
            await asyncio.sleep(10)

        components = entry._request_handler._components
        components.channels.acquire = take  # type: ignore[method-assign,assignment]
        ended = Mock()
        entry.placer.ended = ended  # type: ignore[method-assign]
        caller = await world.connect()
        await caller.send('/book/x', attempt='a')
        await opening.wait()
        caller.close()
        await wait_until(lambda: ended.called, 'a report')
        assert ended.call_args.args[1].outcome == UNSENT
