"""Callers get true answers, and non-idempotent requests run at most once."""

import asyncio

import pytest

from tests.direct.cluster import ENGINE, PLAIN, Cluster, running_cluster
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


async def refuses_unrun(seen: Seen) -> None:
    """Refuse the request without running it."""
    seen.writer.write(NOT_RUN)


async def answers_misdirected(seen: Seen) -> None:
    """Answer 421: another runner was meant."""
    seen.writer.write(b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n')


async def drops_connection(seen: Seen) -> None:
    """Run the request and drop the connection."""
    seen.writer.transport.abort()


async def fails(seen: Seen) -> None:
    """Answer that the run failed."""
    seen.writer.write(seen.answer('500 Internal Server Error', b'bad'))


async def unproven(seen: Seen) -> None:
    """Answer 200, but without a proof."""
    seen.writer.write(
        f'HTTP/1.1 200 OK\r\nX-Bramleybend-Attempt-Id: {seen.attempt}\r\n'
        'Content-Length: 2\r\n\r\nok'.encode()
    )


async def truncates_body(seen: Seen) -> None:
    """Close the connection in the middle of the body."""
    seen.writer.write(seen.answer(body=b'x' * 100)[:-50])
    await seen.writer.drain()
    seen.writer.close()


async def sends_garbage(seen: Seen) -> None:
    """Send bytes that are not HTTP."""
    seen.writer.write(b'\x00\x01garbage\r\n\r\n')


async def add_bad_and_good(
    cluster: Cluster, service: str, first: Behaviour
) -> None:
    """Add a runner that misbehaves and one that doesn't."""
    await cluster.add_runner('bad', service, first)
    await cluster.add_runner('good', service, answers)
    await cluster.wait_for_runners(service, 2)


def count_runs(cluster: Cluster) -> int:
    """Return the number of requests that reached any runner."""
    return sum(len(runner.seen) for runner in cluster.runners.values())


@pytest.mark.parametrize(
    'behave', [drops_connection, truncates_body, sends_garbage, unproven]
)
async def test_a_booking_whose_answer_is_lost_runs_no_second_time(
    behave: Behaviour,
) -> None:
    """The caller gets 502, which leaves open whether the booking ran.

    The runner received the booking, and its answer is incomplete or carries no
    proof. The booking may have run, so it goes to no other runner, and no
    status that means "not run" is sent.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('bad', PLAIN, behave)
        await cluster.wait_for_runners(PLAIN)
        assert (await cluster.call('/book/x')).status == 502
        assert count_runs(cluster) == 1


@pytest.mark.parametrize('behave', [refuses_unrun, answers_misdirected])
async def test_a_booking_that_did_not_run_goes_to_another_runner(
    behave: Behaviour,
) -> None:
    """A runner that states that it has not run a booking allows a retry."""
    async with running_cluster() as cluster:
        await add_bad_and_good(cluster, PLAIN, behave)
        for number in range(4):
            answer = await cluster.call('/book/x', attempt=f'a{number}')
            assert answer.status == 200


@pytest.mark.parametrize(
    'behave', [drops_connection, truncates_body, sends_garbage, unproven, fails]
)
async def test_a_lookup_goes_on_to_another_runner(behave: Behaviour) -> None:
    """An idempotent request is retried at another runner.

    A lost, incomplete or failed answer is requested again elsewhere, never from
    the runner that failed.
    """
    async with running_cluster() as cluster:
        await add_bad_and_good(cluster, PLAIN, behave)
        for number in range(4):
            answer = await cluster.call('/read/x', attempt=f'a{number}')
            assert (answer.status, answer.body) == (200, b'done')


async def test_the_only_runner_gets_a_failed_lookup_once_more() -> None:
    """An idempotent request is retried at the only runner there is.

    The other runners have left, and the one that remains fails by chance.
    """
    failed: list[Seen] = []

    async def fails_first(seen: Seen) -> None:
        await (answers(seen) if failed else fails(seen))
        failed.append(seen)

    async with running_cluster() as cluster:
        await cluster.add_runner('only', PLAIN, fails_first)
        await cluster.wait_for_runners(PLAIN)
        assert (await cluster.call('/read/x')).status == 200
        assert count_runs(cluster) == 2


async def test_a_failure_is_passed_on_as_its_runner_gave_it() -> None:
    """Status, body and proof of a failure are the runner's own."""
    async with running_cluster() as cluster:
        await cluster.add_runner('bad', PLAIN, fails)
        await cluster.wait_for_runners(PLAIN)
        answer = await cluster.call('/book/x')
        assert (answer.status, answer.body) == (500, b'bad')
        assert answer.headers['x-bramleybend-response-stamp'] == 's1'


async def test_a_failed_stream_is_passed_on_and_counted_as_failed() -> None:
    """A runner's 500 in place of a stream is relayed and counted as failed.

    If it counted as served, its runner would also look fast.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('bad', ENGINE, fails)
        await cluster.wait_for_runners(ENGINE)
        answer = await cluster.call('/draft/x')
        assert (answer.status, answer.body) == (500, b'bad')
        counted = cluster.vms[0].entry.meters.counters['answers']
        assert [labels[2] for labels in counted] == ['500']


async def test_a_refusal_says_not_run_only_where_nothing_ran() -> None:
    """The caller gets 503 with a retry time if all runners refused.

    Each runner stated that it did not run the booking, so "not run" is true.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('full', PLAIN, refuses_unrun)
        await cluster.wait_for_runners(PLAIN)
        answer = await cluster.call('/book/x')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_a_late_answer_never_reaches_another_caller() -> None:
    """A duplicate answer doesn't reach the next caller of a connection.

    A runner answers one request twice. The second answer arrives on the reused
    connection where the next caller's answer is expected, or just after that
    caller's request was sent. The echoed id identifies it.
    """

    async def answers_twice(seen: Seen) -> None:
        seen.writer.write(seen.answer(body=f'for {seen.attempt}'.encode()))
        if seen.attempt == 'a0':
            await seen.writer.drain()
            extra = seen.answer(body=b'extra')
            asyncio.get_running_loop().call_later(
                0.05, seen.writer.write, extra
            )

    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN, answers_twice)
        await cluster.wait_for_runners(PLAIN)
        for number in range(3):
            answer = await cluster.call('/book/x', attempt=f'a{number}')
            assert answer.body == f'for a{number}'.encode()
            await asyncio.sleep(0.03)


async def test_an_answer_of_an_earlier_request_is_passed_over() -> None:
    """A late answer to an earlier request is skipped; the booking runs once."""

    async def late_first(seen: Seen) -> None:
        late = seen.answer(body=b'of another', attempt='older')
        seen.writer.write(late + seen.answer(body=b'ours'))

    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN, late_first)
        await cluster.wait_for_runners(PLAIN)
        answer = await cluster.call('/book/x', body=b'12345')
        assert (answer.status, answer.body) == (200, b'ours')
        assert count_runs(cluster) == 1


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    """The caller gets the whole answer after a close, and 502 after a reset."""

    async def closes(seen: Seen) -> None:
        head = seen.answer().replace(b'Content-Length: 4\r\n', b'')
        seen.writer.write(head)
        await seen.writer.drain()
        if seen.attempt == 'reset':
            seen.writer.transport.abort()
        else:
            seen.writer.close()

    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN, closes)
        await cluster.wait_for_runners(PLAIN)
        assert (await cluster.call('/book/x')).body == b'done'
        answer = await cluster.call('/book/x', attempt='reset')
        assert answer.status == 502


async def breaks_off(seen: Seen) -> None:
    """Drop the connection in the middle of the second event."""
    if seen.headers.get('last-event-id'):
        await streams(seen)
        return
    seen.writer.write(seen.stream_head() + chunk(event(1) + event(2)[:9]))
    await seen.writer.drain()
    seen.writer.transport.abort()


async def test_a_resumable_stream_goes_on_at_another_runner() -> None:
    """The caller gets each event once, in order, in one complete answer.

    The first runner crashes within its second event. The other one gets the id
    of the last complete event and continues after it.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', ENGINE, breaks_off)
        await cluster.add_runner('r2', ENGINE, breaks_off)
        await cluster.wait_for_runners(ENGINE, 2)
        answer = await cluster.call('/check/x')
        assert answer.is_whole
        assert answer.body == event(1) + event(2) + event(3)


async def test_a_resumed_stream_repeats_nothing() -> None:
    """The caller gets each event once even if the second runner starts over.

    The first runner fails after an event; the other one ignores the id of the
    last event and sends all of them.
    """

    async def starts_over(seen: Seen) -> None:
        if not seen.headers.get('last-event-id'):
            await breaks_off(seen)
            return
        whole = b''.join(chunk(event(number)) for number in (1, 2, 3))
        seen.writer.write(seen.stream_head() + whole + chunk(b''))

    async with running_cluster() as cluster:
        await cluster.add_runner('r1', ENGINE, starts_over)
        await cluster.add_runner('r2', ENGINE, starts_over)
        await cluster.wait_for_runners(ENGINE, 2)
        answer = await cluster.call('/check/x')
        assert answer.body == event(1) + event(2) + event(3)


async def test_a_stream_that_may_run_once_ends_incomplete() -> None:
    """The caller gets complete events and then a truncated stream.

    The runner crashes within the second event. Nothing may run again, and the
    answer that was begun must not look complete.
    """
    async with running_cluster() as cluster:
        names = ('r1', 'r2')
        runners = [
            await cluster.add_runner(name, ENGINE, breaks_off) for name in names
        ]
        await cluster.wait_for_runners(ENGINE, len(names))
        answer = await cluster.call('/draft/x')
        assert not answer.is_whole
        assert answer.body == event(1)
        assert sum(len(runner.seen) for runner in runners) == 1


async def test_a_stream_without_an_event_is_answered_as_a_failure() -> None:
    """The caller gets 502 instead of the head of a stream without events."""

    async def head_only(seen: Seen) -> None:
        seen.writer.write(seen.stream_head())
        await seen.writer.drain()
        seen.writer.transport.abort()

    async with running_cluster() as cluster:
        await cluster.add_runner('r1', ENGINE, head_only)
        await cluster.wait_for_runners(ENGINE)
        assert (await cluster.call('/draft/x')).status == 502
