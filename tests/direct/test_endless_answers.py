"""Runners whose bytes are no answer and have no end."""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from time import thread_time
from typing import Any, Final
from unittest.mock import Mock

import h11
import pytest

from bramleybend.clients.channel import Channel, Outgoing
from bramleybend.clients.message_bounds import (
    ANSWER_BYTES,
    FILLER_BYTES,
    MessageTooLongError,
)
from bramleybend.clock import SystemClock
from bramleybend.direct.sse import EventSplitter
from bramleybend.entry_settings import ANSWERS_SHARE, MEGABYTE
from tests.direct.world import (
    ENGINE,
    PLAIN,
    RawAnswer,
    World,
    manifest,
    playing,
)
from tests.utils.endless_bytes import (
    CHUNKED,
    EVENTS,
    FRAMED,
    FRAMING,
    HEADS,
    PROCESSOR_S,
    READ,
)
from tests.utils.raw_runner import Behaviour, Seen, chunk, event
from tests.utils.waiting import wait_until

NOT_RUN: Final = b'X-Bramleybend-Not-Executed: 1\r\n\r\n'
COMMENT: Final = b': keep-alive\n\n'
PROMPTLY_S: Final = 2.0  # in which a caller hears of a fast one
SLOW_S: Final = 0.02  # between two parts of a slow one
TIMEOUT_MS: Final = 700
LONG_MS: Final = 30_000  # tracing memory slows all of it
UNFRAMED: Final = 'plain body without a length'
REFUSED: Final = 'bytes after the head of a refusal'
AFTER: Final = 'bytes after a whole answer'

# Events that carry something are an answer until the time for it is over.
WITHOUT_EVENTS: Final = tuple(case for case in EVENTS if case != 'events')


@asynccontextmanager
async def fed(first: bytes, then: bytes) -> AsyncIterator[Channel]:
    """Yield a channel on which these bytes come as fast as it reads."""
    paused = asyncio.Event()
    transport = Mock()
    transport.is_closing.return_value = False
    transport.pause_reading.side_effect = paused.set
    transport.resume_reading.side_effect = paused.clear
    channel = Channel(SystemClock())
    channel.connection_made(transport)

    async def feed() -> None:
        channel.data_received(first or then)
        while True:
            if not paused.is_set():
                channel.data_received(then * (READ // len(then)))
            await asyncio.sleep(0)

    await channel.send(Outgoing(b'GET', b'/', [(b'Host', b'x')], b''))
    feeding = asyncio.create_task(feed())
    yield channel
    feeding.cancel()


async def read_events(channel: Channel) -> None:
    """Read a stream as an attempt does."""
    splitter = EventSplitter()
    await channel.head()
    async for part in channel.chunks():
        splitter.feed(part)


@pytest.mark.parametrize('case', [*HEADS, *FRAMING, *EVENTS])
async def test_an_answer_without_end_costs_bounded_bytes_and_time(
    case: str,
) -> None:
    """A runner that sends for ever would take the processor from all."""
    first, then = {**HEADS, **FRAMING, **EVENTS}[case]
    if case in EVENTS:
        first, then = FRAMED + chunk(first or then), chunk(then)
    before = thread_time()
    async with fed(first, then) as channel:
        with pytest.raises((MessageTooLongError, h11.RemoteProtocolError)):
            await read_events(channel)
        assert channel.received <= ANSWER_BYTES + 2 * READ
    assert thread_time() - before <= PROCESSOR_S


@pytest.mark.parametrize('case', [*HEADS, *FRAMING])
async def test_what_carries_nothing_is_read_no_further_than_its_bound(
    case: str,
) -> None:
    """Framing without content is no answer, however little it costs."""
    first, then = {**HEADS, **FRAMING}[case]
    async with fed(first, then) as channel:
        with pytest.raises((MessageTooLongError, h11.RemoteProtocolError)):
            await read_events(channel)
        assert channel.received <= FILLER_BYTES + 3 * READ


async def test_the_cost_of_a_stream_is_linear_in_its_bytes() -> None:
    """An event that comes in many small parts was searched from its start."""
    spent = []
    for parts in (2_000, 16_000):
        splitter = EventSplitter()
        before = thread_time()
        for _ in range(parts):
            splitter.feed(b'data: 0123456789012345678901234567890\n')
        spent.append(thread_time() - before)
    assert spent[1] <= 3 * 8 * spent[0]


def sends(case: str, pause_s: float = 0) -> Behaviour:
    """Answer with bytes that have no end, until the caller closes."""

    async def behave(seen: Seen) -> None:
        first, then = _bytes_of(case, seen)
        seen.writer.write(first)
        while not seen.left.is_set():
            seen.writer.write(then)
            await seen.writer.drain()
            await asyncio.sleep(pause_s)

    return behave


def _bytes_of(case: str, seen: Seen) -> tuple[bytes, bytes]:
    if case in HEADS:
        return HEADS[case]
    if case == AFTER:
        return seen.answer(body=event(1)), b'more' * 128
    framed = seen.stream_head()
    if case in FRAMING:
        first, then = FRAMING[case]
        return framed + first.removeprefix(FRAMED), then
    if case in EVENTS:
        first, then = EVENTS[case]
        return framed + chunk(first or then), chunk(then)
    unframed = framed.replace(CHUNKED.removesuffix(b'\r\n'), b'')
    plain = unframed.replace(b'text/event-stream', b'text/plain')
    if case == UNFRAMED:
        return plain, b'body' * 4096
    refusal = plain.replace(b'200 OK', b'503 Busy').removesuffix(b'\r\n')
    return refusal + NOT_RUN, b'more' * 128


async def add_both(world: World, behave: Behaviour) -> None:
    """Add an engine that behaves like this, and a sound plain runner."""
    await world.add_runner('bad', ENGINE, behave)
    await world.add_runner('good', PLAIN)
    await world.knows(ENGINE)
    await world.knows(PLAIN)


async def limit_time(world: World, timeout_ms: int) -> None:
    """Let the routes' answers take so long."""
    declared: Mapping[str, Any] = manifest(2)
    for one in declared['routes']:
        one['timeoutMs'] = timeout_ms
    world.publish(declared)
    await wait_until(
        lambda: world.vms[0].entry.book.manifest_version() == 2, 'the manifest'
    )


async def call_patiently(world: World, attempt: str) -> RawAnswer:
    """Send a request and wait for as long as its route allows."""
    caller = await world.connect()
    await caller.send('/book/x', attempt=attempt)
    answer = await caller.answer(LONG_MS / 1000)
    caller.close()
    return answer


async def served_meanwhile(world: World, ended: asyncio.Event) -> None:
    """Check that another caller is served well all the while."""
    while not ended.is_set():
        answer = await world.call('/book/x', attempt='other')
        assert answer.status == 200
        await asyncio.sleep(SLOW_S)


@pytest.mark.parametrize(
    'case',
    [*HEADS, *FRAMING, *WITHOUT_EVENTS, UNFRAMED, REFUSED, AFTER],
)
async def test_the_caller_of_an_answer_without_end_is_told_promptly(
    case: str,
) -> None:
    """Its runner would hold the caller, and others, until the deadline."""
    async with playing() as world:
        await add_both(world, sends(case))
        ended = asyncio.Event()
        others = asyncio.create_task(served_meanwhile(world, ended))
        async with asyncio.timeout(PROMPTLY_S):
            answer = await world.call('/draft/x')
        ended.set()
        await others
        expected = {REFUSED: 503, AFTER: 200}.get(case, 502)
        assert answer.status == expected or not answer.whole
        bad = world.runners['bad'].seen[0]
        await wait_until(bad.left.is_set, 'the connection closed')


@pytest.mark.parametrize(
    'case',
    ['many headers', 'trailers', 'comments', 'events', UNFRAMED],
)
async def test_a_slow_answer_without_end_ends_with_the_time_for_it(
    case: str,
) -> None:
    """Too slow for any bound of bytes, it would go on for ever."""
    async with playing() as world:
        await add_both(world, sends(case, SLOW_S))
        await limit_time(world, TIMEOUT_MS)
        async with asyncio.timeout(PROMPTLY_S):
            answer = await world.call('/draft/x')
        assert answer.status >= 500 or not answer.whole
        bad = world.runners['bad'].seen[0]
        await wait_until(bad.left.is_set, 'the connection closed')


async def test_a_runner_whose_answers_have_no_end_gets_less_work() -> None:
    """Counted as nothing, such a try leaves its runner always free."""
    async with playing() as world:
        bad = await world.add_runner('bad', PLAIN, sends('many headers'))
        good = await world.add_runner('good', PLAIN)
        await world.knows(PLAIN, 2)
        for number in range(20):
            await world.call('/book/x', attempt=f'a{number}')
        assert len(bad.seen) <= 4
        assert len(good.seen) >= 16


async def test_many_answers_without_end_stay_within_their_memory() -> None:
    """Each below the bound of one, they would fill a VM together."""
    memory_mb = 50
    async with playing(memory_mb=memory_mb) as world:
        for number in range(10):
            await world.add_runner(f'bad{number}', PLAIN, sends(UNFRAMED))
        await world.knows(PLAIN, 10)
        await limit_time(world, LONG_MS)
        tracemalloc.start()
        answers = await asyncio.gather(
            *(call_patiently(world, f'a{number}') for number in range(40))
        )
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert all(answer.status in {502, 503} for answer in answers)
        # The stand-ins, callers and sockets of this process are in it, too.
        assert peak <= 2 * memory_mb * MEGABYTE * ANSWERS_SHARE
        await world.add_runner('good', PLAIN)
        await world.knows(PLAIN, 11)
        memory = world.vms[0].entry._channels.memory
        assert memory.free_bytes == memory_mb * MEGABYTE * ANSWERS_SHARE / 2


def test_events_are_told_from_comments() -> None:
    """A long stream with a comment now and then is no endless one."""
    splitter = EventSplitter()
    for number in range(5000):
        splitter.feed(event(number) + COMMENT)
    assert splitter.event_count == 10_000
