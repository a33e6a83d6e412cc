"""Callers that leave, dawdle, or send what is no request."""

import asyncio

import pytest

from tests.direct.world import (
    ENGINE,
    HOST,
    KEY,
    PLAIN,
    World,
    manifest,
    playing,
    route,
)
from tests.utils.raw_runner import Seen, answers, chunk, event
from tests.utils.waiting import wait_until


async def hangs(seen: Seen) -> None:
    """Take the request and say nothing until its caller has left."""
    await seen.left.wait()


async def streams_on(seen: Seen) -> None:
    """Stream without an end."""
    seen.writer.write(seen.stream_head())
    for number in range(1, 1000):
        seen.writer.write(chunk(event(number)))
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    ('target', 'service', 'behave'),
    [
        ('/read/x', PLAIN, hangs),
        ('/draft/x', ENGINE, hangs),
        ('/draft/x', ENGINE, streams_on),
    ],
)
async def test_a_caller_that_leaves_cancels_its_run(
    target: str, service: str, behave: object
) -> None:
    """The runner's connection closes well within half a second.

    The caller closes while its request runs; whether nothing has come yet or
    a stream is under way, the runner is told by the closed connection.
    """
    async with playing() as world:
        runner = await world.add_runner('r1', service, behave)  # type: ignore[arg-type]
        await world.knows(service)
        caller = await world.connect()
        await caller.send(target)
        await wait_until(lambda: bool(runner.seen), 'the run')
        await asyncio.sleep(0.05)
        caller.close()
        await asyncio.wait_for(runner.seen[0].left.wait(), 0.3)


async def test_a_caller_that_leaves_the_queue_is_never_run() -> None:
    """The runner sees nothing of a request whose caller left while it waited.

    All four slots are taken; a fifth request waits and its caller closes.
    Then a slot comes free.
    """
    async with playing() as world:
        runner = await world.add_runner('r1', ENGINE, hangs)
        await world.knows(ENGINE)
        callers = [await world.connect() for _ in range(5)]
        for number, caller in enumerate(callers):
            await caller.send('/draft/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == 4, 'four runs')
        await asyncio.sleep(0.1)
        assert len(runner.seen) == 4
        waiting = {f'a{number}' for number in range(5)}.difference(
            seen.attempt for seen in runner.seen
        )
        left = callers[int(waiting.pop()[1:])]
        left.close()
        await asyncio.sleep(0.1)
        for caller in callers:
            caller.close()
        await asyncio.sleep(0.2)
        assert len(runner.seen) == 4


async def test_a_booking_runs_to_its_end_though_its_caller_left() -> None:
    """The runner's connection stays open until the booking is answered.

    Cut off, a booking would be half done, and its answer is read so that the
    connection can be used again.
    """
    done = asyncio.Event()

    async def books(seen: Seen) -> None:
        await asyncio.sleep(0.3)
        seen.writer.write(seen.answer())
        done.set()

    async with playing() as world:
        runner = await world.add_runner('r1', PLAIN, books)
        await world.knows(PLAIN)
        caller = await world.connect()
        await caller.send('/book/x')
        await wait_until(lambda: bool(runner.seen), 'the run')
        caller.close()
        await asyncio.wait_for(done.wait(), 1)
        assert not runner.seen[0].left.is_set()


async def test_half_a_request_is_answered_when_its_time_is_up() -> None:
    """The caller sees 408 and a closed connection; no runner sees anything."""
    async with playing() as world:
        runner = await world.add_runner('r1', PLAIN)
        caller = await world.connect()
        caller.writer.write(b'POST /book/x HTTP/1.1\r\nHost: ')
        answer = await caller.answer(2)
        assert answer.status == 408
        assert answer.headers['connection'] == 'close'
        assert not runner.seen
        caller.close()


async def test_bytes_that_are_no_request_are_answered_with_400() -> None:
    """The caller sees 400 and a closed connection."""
    async with playing() as world:
        caller = await world.connect()
        caller.writer.write(b'\x16\x03\x01 nonsense\r\n\r\n')
        assert (await caller.answer(2)).status == 400
        caller.close()


async def test_a_body_over_the_limit_is_refused() -> None:
    """The caller sees 413; the manifest sets the limit."""
    async with playing() as world:
        answer = await world.call('/book/x', body=b'x' * 100_001)
        assert answer.status == 413


async def test_a_request_hidden_in_a_body_is_never_run() -> None:
    """The runner gets one request, and the connection ends with its answer.

    A request has both a length and chunks. A reader that goes by the length
    would take the rest of the chunks for another request.
    """
    async with playing() as world:
        runner = await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        hidden = b'POST /book/hidden HTTP/1.1\r\nHost: desk.example\r\n\r\n'
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(hidden), hidden)
        caller = await world.connect()
        caller.writer.write(
            f'POST /book/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Bramleybend-Attempt-Id: a1\r\nAuthorization: Token {KEY}\r\n'
            'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'.encode()
            + body
        )
        answer = await caller.answer()
        assert answer.status == 200
        assert answer.headers['connection'] == 'close'
        (seen,) = runner.seen
        assert seen.body == hidden
        assert 'transfer-encoding' not in seen.headers
        caller.close()


async def test_requests_sent_ahead_are_answered_in_order() -> None:
    """The caller sees each answer once, in the order of its requests."""
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        caller = await world.connect()
        for number in range(3):
            await caller.send('/read/x', attempt=f'a{number}')
        for number in range(3):
            answer = await caller.answer()
            assert answer.headers['x-bramleybend-attempt-id'] == f'a{number}'
        caller.close()


async def test_a_request_is_answered_when_its_routes_time_is_up() -> None:
    """The caller sees 504 at the route's timeout, though it would wait on.

    A runner took the request and says nothing. It may have run, so no status
    that means "not run" is sent.
    """
    async with playing() as world:
        await world.add_runner('r1', PLAIN, hangs)
        await world.knows(PLAIN)
        short = route('/book/', 'non_idempotent', PLAIN, timeoutMs=300)
        world.publish(manifest(2, routes=[short]))
        await _in_force(world, 2)
        async with asyncio.timeout(0.8):
            answer = await world.call(
                '/book/x', X_Bramleybend_Deadline_Ms='9000'
            )
        assert answer.status == 504


async def test_a_workspace_beyond_its_allotment_is_told_when_to_return() -> (
    None
):
    """The caller sees 429 with the time in which the bucket refills.

    Two requests of 600 tokens are let in by a burst of 1,000 tokens, the
    second one beyond it by 200. A third has to wait until the bucket holds
    50 again, at 100 a second.
    """
    tenant = {
        'name': 'school',
        'apiKeys': [KEY],
        'ratePerS': 100,
        'burst': 1000,
        'unit': 'tokens',
        'plainTokens': 600,
    }
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        world.publish(manifest(2, tenants=[tenant]))
        await _in_force(world, 2)
        assert (await world.call('/read/x')).status == 200
        assert (await world.call('/read/x')).status == 200
        refused = await world.call('/read/x')
        assert refused.status == 429
        assert 2 < float(refused.headers['retry-after']) <= 2.5


async def test_a_vm_that_starts_again_lets_in_no_burst_by_itself() -> None:
    """A workspace that used its burst before a restart gets another one."""
    tenant = {
        'name': 'school',
        'apiKeys': [KEY],
        'ratePerS': 1,
        'burst': 1000,
        'unit': 'tokens',
        'plainTokens': 100,
    }
    async with playing(first_start=False) as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        world.publish(manifest(2, tenants=[tenant]))
        await _in_force(world, 2)
        refused = await world.call('/read/x')
        assert refused.status == 429
        assert float(refused.headers['retry-after']) >= 1


async def test_idle_runners_serve_a_workspace_beyond_its_allotment() -> None:
    """The caller is served while runners are idle, and sees 429 when busy.

    A workspace has used up its burst. The contracts tolerate more, and the
    only runner has nothing to do, so the next request is let in. With the
    runner's slots taken, one more would take them from others.
    """
    tenant = {
        'name': 'school',
        'apiKeys': [KEY],
        'ratePerS': 1,
        'burst': 100,
        'unit': 'tokens',
        'plainTokens': 100,
    }
    gate = asyncio.Event()

    async def behave(seen: Seen) -> None:
        if gate.is_set():
            await asyncio.sleep(1)
        await answers(seen)

    async with playing(allotment_slack=4000) as world:
        runner = await world.add_runner('r1', PLAIN, behave)
        await world.knows(PLAIN)
        world.publish(manifest(2, tenants=[tenant]))
        await _in_force(world, 2)
        for _ in range(3):
            assert (await world.call('/read/x')).status == 200
        gate.set()
        held = [asyncio.create_task(world.call('/read/x')) for _ in range(3)]
        await wait_until(lambda: len(runner.seen) == 6, 'three slots taken')
        assert (await world.call('/read/x')).status == 429
        assert [(await call).status for call in held] == [200] * 3


async def _in_force(world: World, version: int) -> None:
    book = world.vms[0].entry.book
    await wait_until(
        lambda: book.manifest is not None and book.manifest.version == version,
        f'version {version}',
    )


async def test_a_stream_that_can_not_start_is_refused_before_its_caller_leaves() -> (
    None
):
    """The caller reads that nothing was run, and when to come back.

    All four slots are held. Callers leave a stream that is silent for two
    seconds, or four times the objective; the route's timeout is longer. Held
    to that timeout, the request would start when its caller has left.
    """

    async def holds(seen: Seen) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        await seen.left.wait()

    async with playing() as world:
        declared = manifest(2)
        for one in declared['routes']:
            one['targetLatencyMs'] = 200
        world.publish(declared)
        runner = await world.add_runner('r1', ENGINE, holds)
        await world.knows(ENGINE)
        held = [await world.connect() for _ in range(4)]
        for number, caller in enumerate(held):
            await caller.send('/draft/x', attempt=f'held{number}')
        await wait_until(lambda: len(runner.seen) == 4, 'four runs')
        async with asyncio.timeout(2):
            answer = await world.call('/draft/x', attempt='fifth')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert len(runner.seen) == 4
        for caller in held:
            caller.close()
