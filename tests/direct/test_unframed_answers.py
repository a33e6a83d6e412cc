"""Answers that end with their connection, and streams cut within an event."""

import asyncio
import logging
from typing import Any

import pytest

from tests.direct.cluster import ENGINE, HOST, KEY, Cluster, running_cluster
from tests.utils.raw_runner import Behaviour, Seen, chunk, event, streams

CHUNKED = b'Transfer-Encoding: chunked\r\n'
# bytes of the second event that are sent
CUT_SIZES = (1, 5, 12, len(event(2)) - 1)


def head_without_framing(seen: Seen) -> bytes:
    """Return the head of a stream that ends with its connection."""
    return seen.stream_head().replace(CHUNKED, b'')


def ends_after(body: bytes, *, is_chunked: bool = False) -> Behaviour:
    """Stream a body, then end the answer in an orderly way."""

    async def behave(seen: Seen) -> None:
        if seen.headers.get('last-event-id'):
            await streams(seen)
            return
        if is_chunked:
            seen.writer.write(seen.stream_head() + chunk(body) + chunk(b''))
            return
        seen.writer.write(head_without_framing(seen) + body)
        await seen.writer.drain()
        seen.writer.close()

    return behave


async def add_engines(
    cluster: Cluster, behave: Behaviour, count: int = 1
) -> None:
    """Add runners with the same behaviour."""
    for number in range(count):
        await cluster.add_runner(f'r{number}', ENGINE, behave)
    await cluster.wait_for_runners(ENGINE, count)


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('cut', CUT_SIZES)
async def test_a_stream_that_ends_inside_an_event_is_not_whole(
    cut: int, is_chunked: bool
) -> None:
    """A crash with an orderly close must not look like the end of a stream."""
    behave = ends_after(event(1) + event(2)[:cut], is_chunked=is_chunked)
    async with running_cluster() as cluster:
        await add_engines(cluster, behave)
        answer = await cluster.call('/draft/x')
        assert not answer.is_whole
        assert answer.body == event(1)


@pytest.mark.parametrize('is_chunked', [False, True])
async def test_a_stream_that_ends_inside_an_event_is_resumed(
    is_chunked: bool,
) -> None:
    """The incomplete event of a crashed runner is not relayed.

    It would end up between the events of the two runs.
    """
    behave = ends_after(event(1) + event(2)[:9], is_chunked=is_chunked)
    async with running_cluster() as cluster:
        await add_engines(cluster, behave, 2)
        answer = await cluster.call('/check/x')
        assert answer.is_whole
        assert answer.body == event(1) + event(2) + event(3)


async def test_a_stream_that_ends_before_its_first_event_is_a_failure() -> None:
    """A runner that crashes after the head of its answer has sent no answer."""
    async with running_cluster() as cluster:
        await add_engines(cluster, ends_after(b''))
        assert (await cluster.call('/draft/x')).status == 502


@pytest.mark.parametrize('tail', [b'', b'\n', b': done\n\n', b': done\n'])
async def test_an_unframed_stream_that_ends_after_an_event_is_whole(
    tail: bytes,
) -> None:
    """Blank lines and comments after the last event don't count as an event."""
    body = event(1) + event(2) + tail
    async with running_cluster() as cluster:
        await add_engines(cluster, ends_after(body))
        answer = await cluster.call('/draft/x')
        assert answer.is_whole
        assert answer.body == body


async def test_an_answer_that_is_no_event_stream_is_passed_on_as_it_is() -> (
    None
):
    """A runner may answer a streaming request with a single document."""

    async def document(seen: Seen) -> None:
        answer = seen.answer(body=b'{"text": "no events"}')
        typed = b'Content-Type: application/json\r\nContent-Length'
        seen.writer.write(answer.replace(b'Content-Length', typed))

    async with running_cluster() as cluster:
        await add_engines(cluster, document)
        answer = await cluster.call('/draft/x')
        assert (answer.status, answer.is_whole) == (200, True)
        assert answer.body == b'{"text": "no events"}'


@pytest.mark.parametrize('is_cut', [False, True])
async def test_a_caller_without_chunks_sees_a_broken_stream_as_reset(
    is_cut: bool,
) -> None:
    """To an HTTP/1.0 caller, an orderly close means a complete answer."""

    async def behave(seen: Seen) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        if not is_cut:
            seen.writer.write(chunk(b''))
            return
        await seen.writer.drain()
        seen.writer.transport.abort()

    async with running_cluster() as cluster:
        await add_engines(cluster, behave)
        caller = await cluster.connect()
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


async def test_the_log_shows_how_an_answer_was_framed_and_cut(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The event shows a truncated answer, which may look complete otherwise."""
    caplog.set_level(logging.INFO)
    async with running_cluster() as cluster:
        await add_engines(cluster, ends_after(event(1) + event(2)[:5]))
        await cluster.call('/draft/x')
    lines: list[dict[str, Any]] = [
        each.msg for each in caplog.records if isinstance(each.msg, dict)
    ]
    (answered,) = [line for line in lines if line['event'] == 'answered']
    assert answered['framing'] == 'connection'
    assert answered['cut_bytes'] == 5
