"""Callers that disconnect, are slow, or send invalid requests."""

import asyncio

import pytest

from tests.direct.cluster import (
    ENGINE,
    HOST,
    KEY,
    PLAIN,
    Cluster,
    manifest,
    route,
    running_cluster,
)
from tests.utils.raw_runner import ReceivedRequest, answer_at_once, chunk, event
from tests.utils.waiting import wait_until

ANSWER_S = 5.0


async def hangs(seen: ReceivedRequest) -> None:
    """Accept the request and send nothing until the caller disconnects."""
    await seen.closed.wait()


async def streams_on(seen: ReceivedRequest) -> None:
    """Stream many events."""
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
    """The runner's connection closes within 0.3 s of the caller's.

    The caller disconnects before the first byte of an answer or within a
    stream; the closed connection tells the runner to abort.
    """
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', service, behave)  # type: ignore[arg-type]
        await cluster.wait_for_runners(service)
        caller = await cluster.connect()
        await caller.send(target)
        await wait_until(lambda: bool(runner.seen), 'the run')
        await asyncio.sleep(0.05)
        caller.close()
        await asyncio.wait_for(runner.seen[0].closed.wait(), 0.3)


async def test_a_caller_that_leaves_the_queue_is_never_run() -> None:
    """A queued request whose caller disconnects reaches no runner.

    Four requests hold all slots and a fifth waits when its caller disconnects.
    Then the slots are released.
    """
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', ENGINE, hangs)
        await cluster.wait_for_runners(ENGINE)
        callers = [await cluster.connect() for _ in range(5)]
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
    """A non-idempotent request at a runner runs to its end.

    If it were cancelled, the booking could be half done. Its answer is read so
    that the connection can be reused.
    """
    done = asyncio.Event()

    async def books(seen: ReceivedRequest) -> None:
        await asyncio.sleep(0.3)
        seen.writer.write(seen.answer())
        done.set()

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN, books)
        await cluster.wait_for_runners(PLAIN)
        caller = await cluster.connect()
        await caller.send('/book/x')
        await wait_until(lambda: bool(runner.seen), 'the run')
        caller.close()
        await asyncio.wait_for(done.wait(), 1)
        assert not runner.seen[0].closed.is_set()


async def test_half_a_request_is_answered_when_its_time_is_up() -> None:
    """The caller gets 408 and a closed connection; no runner is involved."""
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN)
        caller = await cluster.connect()
        caller.writer.write(b'POST /book/x HTTP/1.1\r\nHost: ')
        answer = await caller.answer(2)
        assert answer.status == 408
        assert answer.headers['connection'] == 'close'
        assert not runner.seen
        caller.close()


async def test_bytes_that_are_no_request_are_answered_with_400() -> None:
    """The caller gets 400 and a closed connection."""
    async with running_cluster() as cluster:
        caller = await cluster.connect()
        caller.writer.write(b'\x16\x03\x01 nonsense\r\n\r\n')
        assert (await caller.answer(2)).status == 400
        caller.close()


async def test_a_body_over_the_limit_is_refused() -> None:
    """The caller gets 413; the manifest sets the limit."""
    async with running_cluster() as cluster:
        answer = await cluster.call('/book/x', body=b'x' * 100_001)
        assert answer.status == 413


async def test_a_request_hidden_in_a_body_is_never_run() -> None:
    """Request smuggling: a hidden request in a body is not run.

    A request has both a content length and chunked framing. A parser that uses
    the length would take the rest of the chunks for another request. The runner
    gets one request, and the connection closes after its answer.
    """
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        hidden = b'POST /book/hidden HTTP/1.1\r\nHost: desk.example\r\n\r\n'
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(hidden), hidden)
        caller = await cluster.connect()
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
    """Pipelined requests are each answered once, in order."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        caller = await cluster.connect()
        for number in range(3):
            await caller.send('/read/x', attempt=f'a{number}')
        for number in range(3):
            answer = await caller.answer()
            assert answer.headers['x-bramleybend-attempt-id'] == f'a{number}'
        caller.close()


async def test_a_request_is_answered_when_its_routes_time_is_up() -> None:
    """The caller gets 504 at the route's timeout, even if it would wait longer.

    The request is at a silent runner. It may have run, so the status must not
    mean "not run".
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN, hangs)
        await cluster.wait_for_runners(PLAIN)
        short = route('/book/', 'non_idempotent', PLAIN, timeoutMs=300)
        cluster.publish(manifest(2, routes=[short]))
        await _in_force(cluster, 2)
        async with asyncio.timeout(0.8):
            answer = await cluster.call(
                '/book/x', X_Bramleybend_Deadline_Ms='9000'
            )
        assert answer.status == 504


async def test_a_workspace_beyond_its_allotment_is_told_when_to_return() -> (
    None
):
    """The caller gets 429 with the time until the bucket has refilled.

    A burst of 1,000 tokens admits two requests of 600, the second 200 beyond
    the burst. A third waits until the bucket holds 50 again, at 100 a second.
    """
    tenant = {
        'name': 'school',
        'apiKeys': [KEY],
        'ratePerS': 100,
        'burst': 1000,
        'unit': 'tokens',
        'plainTokens': 600,
    }
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        cluster.publish(manifest(2, tenants=[tenant]))
        await _in_force(cluster, 2)
        assert (await cluster.call('/read/x')).status == 200
        assert (await cluster.call('/read/x')).status == 200
        refused = await cluster.call('/read/x')
        assert refused.status == 429
        assert 2 < float(refused.headers['retry-after']) <= 2.5


async def test_a_vm_that_starts_again_lets_in_no_burst_by_itself() -> None:
    """A VM that restarts alone assumes that workspaces have spent their bursts.

    Otherwise a workspace would get a second burst from each restart.
    """
    tenant = {
        'name': 'school',
        'apiKeys': [KEY],
        'ratePerS': 1,
        'burst': 1000,
        'unit': 'tokens',
        'plainTokens': 100,
    }
    async with running_cluster(first_start=False) as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        cluster.publish(manifest(2, tenants=[tenant]))
        await _in_force(cluster, 2)
        refused = await cluster.call('/read/x')
        assert refused.status == 429
        assert float(refused.headers['retry-after']) >= 1


async def test_idle_runners_serve_a_workspace_beyond_its_allotment() -> None:
    """Requests beyond the allotment run only while runners are idle.

    A workspace has used up its burst, and the contract tolerates more. While
    the only runner is idle, further requests are admitted. Once its slots are
    taken, they get 429, since they would take slots from others.
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

    async def behave(seen: ReceivedRequest) -> None:
        if gate.is_set():
            await asyncio.sleep(1)
        await answer_at_once(seen)

    async with running_cluster(allotment_slack=4000) as cluster:
        runner = await cluster.add_runner('r1', PLAIN, behave)
        await cluster.wait_for_runners(PLAIN)
        cluster.publish(manifest(2, tenants=[tenant]))
        await _in_force(cluster, 2)
        for _ in range(3):
            assert (await cluster.call('/read/x')).status == 200
        gate.set()
        holding = [
            asyncio.create_task(cluster.call('/read/x')) for _ in range(3)
        ]
        await wait_until(lambda: len(runner.seen) == 6, 'three slots taken')
        assert (await cluster.call('/read/x')).status == 429
        assert [(await call).status for call in holding] == [200] * 3


async def _in_force(cluster: Cluster, version: int) -> None:
    catalog = cluster.vms[0].entry.catalog
    await wait_until(
        lambda: (
            catalog.manifest is not None and catalog.manifest.version == version
        ),
        f'version {version}',
    )


async def test_a_stream_that_can_not_start_is_refused_before_its_caller_leaves() -> (
    None
):
    """The caller gets 503 with a retry time while it still waits.

    Four streams hold all slots. Callers give up on a stream that is silent for
    two seconds, or for four times the objective, which is before the route's
    timeout. A request that was queued until that timeout would start after its
    caller has left.
    """

    async def holds(seen: ReceivedRequest) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        await seen.closed.wait()

    async with running_cluster() as cluster:
        declared = manifest(2)
        for one in declared['routes']:
            one['targetLatencyMs'] = 200
        cluster.publish(declared)
        runner = await cluster.add_runner('r1', ENGINE, holds)
        await cluster.wait_for_runners(ENGINE)
        holding = [await cluster.connect() for _ in range(4)]
        for number, caller in enumerate(holding):
            await caller.send('/draft/x', attempt=f'held{number}')
        await wait_until(lambda: len(runner.seen) == 4, 'four runs')
        async with asyncio.timeout(2):
            answer = await cluster.call('/draft/x', attempt='fifth')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert len(runner.seen) == 4
        for caller in holding:
            caller.close()


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/read/x', 'none', 401), ('/none/x', KEY, 404), ('/read/x', KEY, 503)],
)
async def test_a_head_request_that_is_refused_is_answered(
    path: str, key: str, status: int
) -> None:
    """An answer of the VM itself to HEAD must not end as a reset."""
    async with running_cluster() as cluster:
        caller = await cluster.connect()
        for _ in range(2):  # the connection stays open
            await caller.send(path, method='HEAD', key=key, body=b'')
            async with asyncio.timeout(ANSWER_S):
                head = await caller.reader.readuntil(b'\r\n\r\n')
            assert int(head.split()[1]) == status
            assert b'Content-Length: ' in head
        caller.close()
