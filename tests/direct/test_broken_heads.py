"""Runners that stop in the middle of their answer's head."""

import pytest

from tests.direct.cluster import ENGINE, PLAIN, Cluster, running_cluster
from tests.utils.path_cuts import PathState
from tests.utils.raw_runner import Behaviour, ReceivedRequest

BODY = b'id: 1\ndata: whole\n\n'
STEP_BYTES = 9  # between two cuts
FRAMINGS = ('length', 'chunked', 'connection')


def head_of(seen: ReceivedRequest, framing: str, newline: str) -> bytes:
    """Return a complete head; its last header is the framing."""
    lines = [
        'HTTP/1.1 200 OK',
        f'X-Bramleybend-Attempt-Id: {seen.attempt}',
        'X-Bramleybend-Response-Stamp: s1',
        'Content-Type: text/event-stream',
    ]
    if framing == 'length':
        lines.append(f'Content-Length: {len(BODY)}')
    elif framing == 'chunked':
        lines.append('Transfer-Encoding: chunked')
    return newline.join([*lines, '', '']).encode()


def stop_in_head(
    framing: str, cut: int, before: bytes, newline: str, *, is_reset: bool
) -> Behaviour:
    """Send a head up to a cut, then end the connection."""

    async def behave(seen: ReceivedRequest) -> None:
        head = head_of(seen, framing, newline)
        part = head[: min(cut, len(head) - 1)]
        seen.writer.write(before)
        for start in range(0, len(part), STEP_BYTES):
            seen.writer.write(part[start : start + STEP_BYTES])
            await seen.writer.drain()
        if is_reset:
            seen.writer.transport.abort()
        else:
            seen.writer.close()

    return behave


async def assert_none_is_whole(
    cluster: Cluster, before: bytes = b'', newline: str = '\r\n'
) -> None:
    """Cut heads at many places; no caller may get a whole success."""
    for framing in FRAMINGS:
        for number, cut in enumerate(range(0, 190, STEP_BYTES)):
            for runner in cluster.runners.values():
                runner.behave = stop_in_head(
                    framing, cut, before, newline, is_reset=bool(number % 2)
                )
            for path in ('/book/x', '/draft/x'):
                attempt = f'{framing}-{cut}-{path[1]}'
                answer = await cluster.call(
                    path, attempt=attempt, body=attempt.encode()
                )
                assert answer.status == 502


@pytest.mark.parametrize(
    ('before', 'newline'),
    [
        (b'', '\r\n'),
        (b'', '\n'),
        (b'HTTP/1.1 100 Continue\r\n\r\n', '\r\n'),
        (b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n', '\r\n'),
    ],
)
async def test_an_answer_with_half_a_head_is_not_whole(
    before: bytes, newline: str
) -> None:
    """A head without its end must not become an empty answer."""
    async with running_cluster() as cluster:
        await add_runners(cluster)
        await assert_none_is_whole(cluster, before, newline)


async def test_half_a_head_through_a_tunnel_is_not_whole() -> None:
    """The end of a tunnel must not look like the end of an answer."""
    async with running_cluster(vms=2) as cluster:
        await add_runners(cluster)
        cluster.paths.set_state(0, PathState.REFUSED)
        await assert_none_is_whole(cluster)


async def add_runners(cluster: Cluster) -> None:
    """Add a runner of each service."""
    await cluster.add_runner('p1', PLAIN)
    await cluster.add_runner('e1', ENGINE)
    await cluster.wait_for_runners(PLAIN)
    await cluster.wait_for_runners(ENGINE)
