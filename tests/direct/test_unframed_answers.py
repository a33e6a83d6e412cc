"""Answers that end with their connection, and streams cut inside an event."""

import asyncio
import logging
from typing import Any

import pytest

from tests.direct.world import ENGINE, HOST, KEY, World, playing
from tests.utils.raw_runner import Behaviour, Seen, chunk, event, streams

CHUNKED = b'Transfer-Encoding: chunked\r\n'
CUTS = (1, 5, 12, len(event(2)) - 1)  # bytes of the second event that come


def unframed(seen: Seen) -> bytes:
    """Return the head of a stream that ends with its connection."""
    return seen.stream_head().replace(CHUNKED, b'')


def ends_after(body: bytes, *, framed: bool = False) -> Behaviour:
    """Stream a body, then end in order."""

    async def behave(seen: Seen) -> None:
        if seen.headers.get('last-event-id'):
            await streams(seen)
            return
        if framed:
            seen.writer.write(seen.stream_head() + chunk(body) + chunk(b''))
            return
        seen.writer.write(unframed(seen) + body)
        await seen.writer.drain()
        seen.writer.close()

    return behave


async def add_engines(world: World, behave: Behaviour, count: int = 1) -> None:
    """Add runners that all behave alike."""
    for number in range(count):
        await world.add_runner(f'r{number}', ENGINE, behave)
    await world.knows(ENGINE, count)


@pytest.mark.parametrize('framed', [False, True])
@pytest.mark.parametrize('cut', CUTS)
async def test_a_stream_that_ends_inside_an_event_is_not_whole(
    cut: int, framed: bool
) -> None:
    """A runner that crashes and closes in order looks like one that is done."""
    behave = ends_after(event(1) + event(2)[:cut], framed=framed)
    async with playing() as world:
        await add_engines(world, behave)
        answer = await world.call('/draft/x')
        assert not answer.whole
        assert answer.body == event(1)


@pytest.mark.parametrize('framed', [False, True])
async def test_a_stream_that_ends_inside_an_event_is_resumed(
    framed: bool,
) -> None:
    """A crashed runner's half event would stand between two runs' events."""
    behave = ends_after(event(1) + event(2)[:9], framed=framed)
    async with playing() as world:
        await add_engines(world, behave, 2)
        answer = await world.call('/check/x')
        assert answer.whole
        assert answer.body == event(1) + event(2) + event(3)


async def test_a_stream_that_ends_before_its_first_event_is_a_failure() -> None:
    """A runner that crashes after its head has answered nothing."""
    async with playing() as world:
        await add_engines(world, ends_after(b''))
        assert (await world.call('/draft/x')).status == 502


@pytest.mark.parametrize('tail', [b'', b'\n', b': done\n\n', b': done\n'])
async def test_an_unframed_stream_that_ends_after_an_event_is_whole(
    tail: bytes,
) -> None:
    """Blank lines and comments after the last event are no event."""
    body = event(1) + event(2) + tail
    async with playing() as world:
        await add_engines(world, ends_after(body))
        answer = await world.call('/draft/x')
        assert answer.whole
        assert answer.body == body


async def test_an_answer_that_is_no_event_stream_is_passed_on_as_it_is() -> (
    None
):
    """A runner may answer a stream's request with one document."""

    async def document(seen: Seen) -> None:
        answer = seen.answer(body=b'{"text": "no events"}')
        typed = b'Content-Type: application/json\r\nContent-Length'
        seen.writer.write(answer.replace(b'Content-Length', typed))

    async with playing() as world:
        await add_engines(world, document)
        answer = await world.call('/draft/x')
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == b'{"text": "no events"}'


@pytest.mark.parametrize('is_cut', [False, True])
async def test_a_caller_without_chunks_sees_a_broken_stream_as_reset(
    is_cut: bool,
) -> None:
    """To an HTTP/1.0 caller, an orderly end means that the answer is whole."""

    async def behave(seen: Seen) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        if not is_cut:
            seen.writer.write(chunk(b''))
            return
        await seen.writer.drain()
        seen.writer.transport.abort()

    async with playing() as world:
        await add_engines(world, behave)
        caller = await world.connect()
        caller.writer.write(
            f'POST /draft/x HTTP/1.0\r\nHost: {HOST}\r\n'
            f'X-Bramleybend-Attempt-Id: a1\r\nContent-Length: 2\r\n'
            f'Authorization: Token {KEY}\r\n\r\n{{}}'.encode()
        )
        reading = asyncio.wait_for(caller.reader.read(), 5)
        if is_cut:
            with pytest.raises(ConnectionResetError):
                await reading
        else:
            assert (await reading).endswith(event(1))


async def test_the_log_tells_how_an_answer_was_framed_and_cut(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Without it, a cut answer that looks whole can't be told in the log."""
    caplog.set_level(logging.INFO)
    async with playing() as world:
        await add_engines(world, ends_after(event(1) + event(2)[:5]))
        await world.call('/draft/x')
    lines: list[dict[str, Any]] = [
        each.msg for each in caplog.records if isinstance(each.msg, dict)
    ]
    (answered,) = [line for line in lines if line['event'] == 'answered']
    assert answered['framing'] == 'connection'
    assert answered['cut_bytes'] == 5
