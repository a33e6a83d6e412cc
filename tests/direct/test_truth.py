"""What callers are told is true, and what may run once runs once."""

import asyncio

import pytest

from tests.direct.world import ENGINE, PLAIN, World, playing
from tests.utils.raw_runner import (
    Behaviour,
    Seen,
    answers,
    chunk,
    event,
    streams,
)

NOT_RUN = (
    b'HTTP/1.1 503 X\r\nX-Bramleybend-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


async def refuses(seen: Seen) -> None:
    """Turn the request away, unrun."""
    seen.writer.write(NOT_RUN)


async def misdirected(seen: Seen) -> None:
    """Say that another runner was meant."""
    seen.writer.write(b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n')


async def drops(seen: Seen) -> None:
    """Run the request and lose the answer."""
    seen.writer.transport.abort()


async def fails(seen: Seen) -> None:
    """Answer that the run failed."""
    seen.writer.write(seen.answer('500 Internal Server Error', b'bad'))


async def unproven(seen: Seen) -> None:
    """Answer well, but without a proof."""
    seen.writer.write(
        f'HTTP/1.1 200 OK\r\nX-Bramleybend-Attempt-Id: {seen.attempt}\r\n'
        'Content-Length: 2\r\n\r\nok'.encode()
    )


async def torn(seen: Seen) -> None:
    """End in the middle of the body."""
    seen.writer.write(seen.answer(body=b'x' * 100)[:-50])
    await seen.writer.drain()
    seen.writer.close()


async def no_http(seen: Seen) -> None:
    """Write what is no answer."""
    seen.writer.write(b'\x00\x01garbage\r\n\r\n')


async def two(world: World, service: str, first: Behaviour) -> None:
    """Add a runner that misbehaves and one that doesn't."""
    await world.add_runner('bad', service, first)
    await world.add_runner('good', service, answers)
    await world.knows(service, 2)


def runs(world: World) -> int:
    """Count the requests that reached any runner."""
    return sum(len(runner.seen) for runner in world.runners.values())


@pytest.mark.parametrize('behave', [drops, torn, no_http, unproven])
async def test_a_booking_whose_answer_is_lost_runs_no_second_time(
    behave: Behaviour,
) -> None:
    """The caller sees 502, which promises nothing.

    The runner took the booking; its answer broke off or bears no proof. It
    may have run, so it goes to no other runner, and no status that means
    "not run" is sent.
    """
    async with playing() as world:
        await world.add_runner('bad', PLAIN, behave)
        await world.knows(PLAIN)
        assert (await world.call('/book/x')).status == 502
        assert runs(world) == 1


@pytest.mark.parametrize('behave', [refuses, misdirected])
async def test_a_booking_that_did_not_run_goes_to_another_runner(
    behave: Behaviour,
) -> None:
    """The caller sees its answer.

    The first runner says that it has not run the booking, so another one may.
    """
    async with playing() as world:
        await two(world, PLAIN, behave)
        for number in range(4):
            answer = await world.call('/book/x', attempt=f'a{number}')
            assert answer.status == 200


@pytest.mark.parametrize('behave', [drops, torn, no_http, unproven, fails])
async def test_a_lookup_goes_on_to_another_runner(behave: Behaviour) -> None:
    """The caller sees the answer of the second runner.

    A lookup may run twice, so a lost, torn or failed answer is asked for
    again elsewhere, never at the runner that failed it.
    """
    async with playing() as world:
        await two(world, PLAIN, behave)
        for number in range(4):
            answer = await world.call('/read/x', attempt=f'a{number}')
            assert (answer.status, answer.body) == (200, b'done')


async def test_the_only_runner_gets_a_failed_lookup_once_more() -> None:
    """The caller sees the answer, not the failure.

    All other runners have left. The one that stays fails a lookup by chance;
    there is no other to send it to, and it may run twice.
    """
    failed: list[Seen] = []

    async def fails_first(seen: Seen) -> None:
        await (answers(seen) if failed else fails(seen))
        failed.append(seen)

    async with playing() as world:
        await world.add_runner('only', PLAIN, fails_first)
        await world.knows(PLAIN)
        assert (await world.call('/read/x')).status == 200
        assert runs(world) == 2


async def test_a_failure_is_passed_on_as_its_runner_gave_it() -> None:
    """Status, body and proof of a failure are the runner's own."""
    async with playing() as world:
        await world.add_runner('bad', PLAIN, fails)
        await world.knows(PLAIN)
        answer = await world.call('/book/x')
        assert (answer.status, answer.body) == (500, b'bad')
        assert answer.headers['x-bramleybend-response-stamp'] == 's1'


async def test_a_failed_stream_is_passed_on_and_counted_as_failed() -> None:
    """The caller sees the runner's 500, and so do the meters.

    A stream's runner answers 500 in place of a stream. Counted as served, it
    would also make its runner look fast.
    """
    async with playing() as world:
        await world.add_runner('bad', ENGINE, fails)
        await world.knows(ENGINE)
        answer = await world.call('/draft/x')
        assert (answer.status, answer.body) == (500, b'bad')
        counted = world.vms[0].entry.meters.counters['answers']
        assert [labels[2] for labels in counted] == ['500']


async def test_a_refusal_says_not_run_only_where_nothing_ran() -> None:
    """The caller sees 503 with a time to return after refusals alone.

    Every runner turned the booking away and said so, so the refusal is true.
    """
    async with playing() as world:
        await world.add_runner('full', PLAIN, refuses)
        await world.knows(PLAIN)
        answer = await world.call('/book/x')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_a_late_answer_never_reaches_another_caller() -> None:
    """Each caller sees its own answer.

    A runner answers one request twice. The second answer stands on the kept
    connection where the next caller's answer is expected, or comes just
    after that caller's request was sent. The echoed id tells them apart.
    """

    async def twice(seen: Seen) -> None:
        seen.writer.write(seen.answer(body=f'for {seen.attempt}'.encode()))
        if seen.attempt == 'a0':
            await seen.writer.drain()
            extra = seen.answer(body=b'extra')
            asyncio.get_running_loop().call_later(
                0.05, seen.writer.write, extra
            )

    async with playing() as world:
        await world.add_runner('r1', PLAIN, twice)
        await world.knows(PLAIN)
        for number in range(3):
            answer = await world.call('/book/x', attempt=f'a{number}')
            assert answer.body == f'for a{number}'.encode()
            await asyncio.sleep(0.03)


async def test_an_answer_of_an_earlier_request_is_passed_over() -> None:
    """The caller sees its own answer, and the booking runs once.

    The runner's late answer to an earlier request comes first, then ours.
    """

    async def late_first(seen: Seen) -> None:
        late = seen.answer(body=b'of another', attempt='older')
        seen.writer.write(late + seen.answer(body=b'ours'))

    async with playing() as world:
        await world.add_runner('r1', PLAIN, late_first)
        await world.knows(PLAIN)
        answer = await world.call('/book/x', body=b'12345')
        assert (answer.status, answer.body) == (200, b'ours')
        assert runs(world) == 1


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    """The caller sees it whole if the runner closed, and 502 at a reset."""

    async def closes(seen: Seen) -> None:
        head = seen.answer().replace(b'Content-Length: 4\r\n', b'')
        seen.writer.write(head)
        await seen.writer.drain()
        if seen.attempt == 'reset':
            seen.writer.transport.abort()
        else:
            seen.writer.close()

    async with playing() as world:
        await world.add_runner('r1', PLAIN, closes)
        await world.knows(PLAIN)
        assert (await world.call('/book/x')).body == b'done'
        answer = await world.call('/book/x', attempt='reset')
        assert answer.status == 502


async def breaks_off(seen: Seen) -> None:
    """Stop in the middle of the second event."""
    if seen.headers.get('last-event-id'):
        await streams(seen)
        return
    seen.writer.write(seen.stream_head() + chunk(event(1) + event(2)[:9]))
    await seen.writer.drain()
    seen.writer.transport.abort()


async def test_a_resumable_stream_goes_on_at_another_runner() -> None:
    """The caller sees every event once, in order, in one whole answer.

    The first runner dies within its second event. The other one is told the
    last whole event and goes on after it.
    """
    async with playing() as world:
        await world.add_runner('r1', ENGINE, breaks_off)
        await world.add_runner('r2', ENGINE, breaks_off)
        await world.knows(ENGINE, 2)
        answer = await world.call('/check/x')
        assert answer.whole
        assert answer.body == event(1) + event(2) + event(3)


async def test_a_resumed_stream_repeats_nothing() -> None:
    """The caller sees every event once though the second runner starts over.

    The first runner breaks off after an event; the other one ignores where
    the stream stood and sends it all.
    """

    async def starts_over(seen: Seen) -> None:
        if not seen.headers.get('last-event-id'):
            await breaks_off(seen)
            return
        whole = b''.join(chunk(event(number)) for number in (1, 2, 3))
        seen.writer.write(seen.stream_head() + whole + chunk(b''))

    async with playing() as world:
        await world.add_runner('r1', ENGINE, starts_over)
        await world.add_runner('r2', ENGINE, starts_over)
        await world.knows(ENGINE, 2)
        answer = await world.call('/check/x')
        assert answer.body == event(1) + event(2) + event(3)


async def test_a_stream_that_may_run_once_ends_torn() -> None:
    """The caller sees whole events and then an end that is none.

    The runner dies within the second event; nothing may run again, and the
    answer that was begun must not look complete.
    """
    async with playing() as world:
        names = ('r1', 'r2')
        runners = [
            await world.add_runner(name, ENGINE, breaks_off) for name in names
        ]
        await world.knows(ENGINE, len(names))
        answer = await world.call('/draft/x')
        assert not answer.whole
        assert answer.body == event(1)
        assert sum(len(runner.seen) for runner in runners) == 1


async def test_a_stream_without_an_event_is_answered_as_a_failure() -> None:
    """The caller sees 502, not the head of a stream that never was."""

    async def head_only(seen: Seen) -> None:
        seen.writer.write(seen.stream_head())
        await seen.writer.drain()
        seen.writer.transport.abort()

    async with playing() as world:
        await world.add_runner('r1', ENGINE, head_only)
        await world.knows(ENGINE)
        assert (await world.call('/draft/x')).status == 502
