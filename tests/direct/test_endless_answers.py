"""Runners that send endless bytes instead of an answer."""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from time import thread_time
from typing import Any, Final
from unittest.mock import Mock

import h11
import pytest

from bramleybend.clients.channel import Channel, OutgoingRequest
from bramleybend.clients.message_bounds import (
    DEFAULT_FILLER_BYTES,
    DEFAULT_MESSAGE_BYTES,
    MessageTooLongError,
)
from bramleybend.clock import SystemClock
from bramleybend.direct.sse import EventSplitter
from bramleybend.entry_settings import ANSWERS_SHARE, MEGABYTE
from tests.direct.cluster import (
    ENGINE,
    PLAIN,
    Cluster,
    RawAnswer,
    manifest,
    running_cluster,
)
from tests.utils.endless_messages import (
    CHUNKED,
    EVENTS,
    FRAMED,
    FRAMING,
    HEADS,
    PROCESSOR_S,
    READ,
)
from tests.utils.path_cuts import PathState
from tests.utils.raw_runner import Behaviour, ReceivedRequest, chunk, event
from tests.utils.waiting import wait_until

NOT_RUN: Final = b'X-Bramleybend-Not-Executed: 1\r\n\r\n'
COMMENT: Final = b': keep-alive\n\n'
PROMPT_S: Final = 2.0  # until a caller is answered if the bytes come fast
SLOW_PAUSE_S: Final = 0.02  # between two parts of a slow answer
TIMEOUT_MS: Final = 700
TRACED_TIMEOUT_MS: Final = 30_000  # tracing memory slows the whole test
UNFRAMED: Final = 'plain body without a length'
AFTER_REFUSAL: Final = 'bytes after the head of a refusal'
AFTER_ANSWER: Final = 'bytes after a whole answer'

# Events with data count as an answer until the route's timeout.
WITHOUT_EVENTS: Final = tuple(case for case in EVENTS if case != 'events')


@asynccontextmanager
async def fed_channel(start: bytes, repeated: bytes) -> AsyncIterator[Channel]:
    """Yield a channel that receives these bytes as fast as it reads."""
    paused = asyncio.Event()
    transport = Mock()
    transport.is_closing.return_value = False
    transport.pause_reading.side_effect = paused.set
    transport.resume_reading.side_effect = paused.clear
    channel = Channel(SystemClock())
    channel.connection_made(transport)

    async def feed() -> None:
        channel.data_received(start or repeated)
        while True:
            if not paused.is_set():
                channel.data_received(repeated * (READ // len(repeated)))
            await asyncio.sleep(0)

    await channel.send(OutgoingRequest(b'GET', b'/', [(b'Host', b'x')], b''))
    feeding = asyncio.create_task(feed())
    yield channel
    feeding.cancel()


async def read_events(channel: Channel) -> None:
    """Read a stream the way an attempt does."""
    splitter = EventSplitter()
    await channel.read_head()
    async for part in channel.iter_body():
        splitter.feed(part)


@pytest.mark.parametrize('case', [*HEADS, *FRAMING, *EVENTS])
async def test_an_answer_without_end_costs_bounded_bytes_and_time(
    case: str,
) -> None:
    """An endless answer must not take unbounded memory or processor time."""
    start, repeated = {**HEADS, **FRAMING, **EVENTS}[case]
    if case in EVENTS:
        start, repeated = FRAMED + chunk(start or repeated), chunk(repeated)
    before = thread_time()
    async with fed_channel(start, repeated) as channel:
        with pytest.raises((MessageTooLongError, h11.RemoteProtocolError)):
            await read_events(channel)
        assert channel.received_bytes <= DEFAULT_MESSAGE_BYTES + 2 * READ
    assert thread_time() - before <= PROCESSOR_S


@pytest.mark.parametrize('case', [*HEADS, *FRAMING])
async def test_what_carries_nothing_is_read_no_further_than_its_bound(
    case: str,
) -> None:
    """Endless framing without content is bounded even if it costs little."""
    start, repeated = {**HEADS, **FRAMING}[case]
    async with fed_channel(start, repeated) as channel:
        with pytest.raises((MessageTooLongError, h11.RemoteProtocolError)):
            await read_events(channel)
        assert channel.received_bytes <= DEFAULT_FILLER_BYTES + 3 * READ


async def test_the_cost_of_a_stream_is_linear_in_its_bytes() -> None:
    """A partial event must not be searched from its start for each part."""
    spent = []
    for parts in (2_000, 16_000):
        splitter = EventSplitter()
        before = thread_time()
        for _ in range(parts):
            splitter.feed(b'data: 0123456789012345678901234567890\n')
        spent.append(thread_time() - before)
    assert spent[1] <= 3 * 8 * spent[0]


def sends(case: str, pause_s: float = 0) -> Behaviour:
    """Answer with endless bytes until the caller disconnects."""

    async def behave(seen: ReceivedRequest) -> None:
        start, repeated = _bytes_of(case, seen)
        seen.writer.write(start)
        while not seen.closed.is_set():
            seen.writer.write(repeated)
            await seen.writer.drain()
            await asyncio.sleep(pause_s)

    return behave


def _bytes_of(case: str, seen: ReceivedRequest) -> tuple[bytes, bytes]:
    if case in HEADS:
        return HEADS[case]
    if case == AFTER_ANSWER:
        return seen.answer(body=event(1)), b'more' * 128
    head = seen.stream_head()
    if case in FRAMING:
        start, repeated = FRAMING[case]
        return head + start.removeprefix(FRAMED), repeated
    if case in EVENTS:
        start, repeated = EVENTS[case]
        return head + chunk(start or repeated), chunk(repeated)
    head_without_framing = head.replace(CHUNKED.removesuffix(b'\r\n'), b'')
    plain = head_without_framing.replace(b'text/event-stream', b'text/plain')
    if case == UNFRAMED:
        return plain, b'body' * 4096
    refusal = plain.replace(b'200 OK', b'503 Busy').removesuffix(b'\r\n')
    return refusal + NOT_RUN, b'more' * 128


async def add_runners(cluster: Cluster, behave: Behaviour) -> None:
    """Add an engine with this behaviour, and a plain runner without faults."""
    await cluster.add_runner('bad', ENGINE, behave)
    await cluster.add_runner('good', PLAIN)
    await cluster.wait_for_runners(ENGINE)
    await cluster.wait_for_runners(PLAIN)


async def publish_timeout(cluster: Cluster, timeout_ms: int) -> None:
    """Publish routes with this timeout."""
    declared: Mapping[str, Any] = manifest(2)
    for one in declared['routes']:
        one['timeoutMs'] = timeout_ms
    cluster.publish(declared)
    await wait_until(
        lambda: cluster.vms[0].entry.catalog.manifest_version() == 2,
        'the manifest',
    )


async def call_patiently(cluster: Cluster, attempt: str) -> RawAnswer:
    """Send a request and wait for as long as its route allows."""
    caller = await cluster.connect()
    await caller.send('/book/x', attempt=attempt)
    answer = await caller.answer(TRACED_TIMEOUT_MS / 1000)
    caller.close()
    return answer


async def check_others_served(cluster: Cluster, ended: asyncio.Event) -> None:
    """Check that another caller is served until `ended` is set."""
    while not ended.is_set():
        answer = await cluster.call('/book/x', attempt='other')
        assert answer.status == 200
        await asyncio.sleep(SLOW_PAUSE_S)


@pytest.mark.parametrize(
    'case',
    [*HEADS, *FRAMING, *WITHOUT_EVENTS, UNFRAMED, AFTER_REFUSAL, AFTER_ANSWER],
)
async def test_the_caller_of_an_answer_without_end_is_told_promptly(
    case: str,
) -> None:
    """The caller is answered promptly instead of at its deadline."""
    async with running_cluster() as cluster:
        await add_runners(cluster, sends(case))
        ended = asyncio.Event()
        others = asyncio.create_task(check_others_served(cluster, ended))
        async with asyncio.timeout(PROMPT_S):
            answer = await cluster.call('/draft/x')
        ended.set()
        await others
        expected = {AFTER_REFUSAL: 503, AFTER_ANSWER: 200}.get(case, 502)
        assert answer.status == expected or not answer.is_whole
        bad = cluster.runners['bad'].seen[0]
        await wait_until(bad.closed.is_set, 'the connection closed')


@pytest.mark.parametrize('case', [*HEADS, *FRAMING, *WITHOUT_EVENTS, UNFRAMED])
async def test_an_answer_without_end_is_bounded_through_a_tunnel(
    case: str,
) -> None:
    """Neither the VM of the caller nor the helper may keep all bytes."""
    async with running_cluster(vms=2) as cluster:
        await add_runners(cluster, sends(case))
        cluster.paths.set_state(0, PathState.REFUSED)
        async with asyncio.timeout(2 * PROMPT_S):
            answer = await cluster.call('/draft/x')
        assert answer.status == 502 or not answer.is_whole
        bad = cluster.runners['bad'].seen[0]
        await wait_until(bad.closed.is_set, 'the connection closed')
        tunnels = cluster.vms[1].entry._access.tunnels
        await wait_until(lambda: not tunnels.open_count, 'no tunnel open')


@pytest.mark.parametrize('is_cut', [False, True])
async def test_a_stream_that_its_caller_does_not_read_stops_its_runner(
    is_cut: bool,  # noqa: FBT001
) -> None:
    """Events without end must not pile up for a caller that reads nothing."""
    sent = 0

    async def counts(seen: ReceivedRequest) -> None:
        nonlocal sent
        seen.writer.write(seen.stream_head())
        while not seen.closed.is_set():
            payload = chunk(event(1) * 1000)
            seen.writer.write(payload)
            await seen.writer.drain()
            sent += len(payload)
            await asyncio.sleep(0)

    async with running_cluster(vms=2) as cluster:
        await add_runners(cluster, counts)
        if is_cut:
            cluster.paths.set_state(0, PathState.REFUSED)
        caller = await cluster.connect()
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await caller.send('/draft/x')
        await asyncio.sleep(2)
        before = sent
        await asyncio.sleep(1)
        assert before == sent
        caller.close()


@pytest.mark.parametrize(
    'case',
    ['many headers', 'trailers', 'comments', 'events', UNFRAMED],
)
async def test_a_slow_answer_without_end_ends_with_the_time_for_it(
    case: str,
) -> None:
    """A slow endless answer stays below all size bounds until the timeout."""
    async with running_cluster() as cluster:
        await add_runners(cluster, sends(case, SLOW_PAUSE_S))
        await publish_timeout(cluster, TIMEOUT_MS)
        async with asyncio.timeout(PROMPT_S):
            answer = await cluster.call('/draft/x')
        assert answer.status >= 500 or not answer.is_whole
        bad = cluster.runners['bad'].seen[0]
        await wait_until(bad.closed.is_set, 'the connection closed')


async def test_a_runner_whose_answers_have_no_end_gets_less_work() -> None:
    """Attempts that end at a bound count as failures of their runner.

    If they counted as nothing, the runner would always look free.
    """
    async with running_cluster() as cluster:
        bad = await cluster.add_runner('bad', PLAIN, sends('many headers'))
        good = await cluster.add_runner('good', PLAIN)
        await cluster.wait_for_runners(PLAIN, 2)
        for number in range(20):
            await cluster.call('/book/x', attempt=f'a{number}')
        assert len(bad.seen) <= 4
        assert len(good.seen) >= 16


async def test_many_answers_without_end_stay_within_their_memory() -> None:
    """Endless answers, each below its own bound, share a memory limit."""
    memory_mb = 50
    async with running_cluster(memory_mb=memory_mb) as cluster:
        for number in range(10):
            await cluster.add_runner(f'bad{number}', PLAIN, sends(UNFRAMED))
        await cluster.wait_for_runners(PLAIN, 10)
        await publish_timeout(cluster, TRACED_TIMEOUT_MS)
        tracemalloc.start()
        answers = await asyncio.gather(
            *(call_patiently(cluster, f'a{number}') for number in range(40))
        )
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert all(answer.status in {502, 503} for answer in answers)
        # The peak includes the fake runners, callers and sockets of this
        # process.
        assert peak <= 2 * memory_mb * MEGABYTE * ANSWERS_SHARE
        await cluster.add_runner('good', PLAIN)
        await cluster.wait_for_runners(PLAIN, 11)
        memory = cluster.vms[0].entry._access.channels.memory
        assert memory.free_bytes == memory_mb * MEGABYTE * ANSWERS_SHARE / 2


def test_events_are_told_from_comments() -> None:
    """A long stream with occasional comments is not rejected as endless."""
    splitter = EventSplitter()
    for number in range(5000):
        splitter.feed(event(number) + COMMENT)
    assert splitter.event_count == 10_000
