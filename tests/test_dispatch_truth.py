"""The outcome of a request whose attempts ended in different ways."""

import asyncio
import contextlib
from types import SimpleNamespace
from typing import cast

import pytest

from bramleybend.gateway.attempt import Attempt, AttemptEnd, EndKind
from bramleybend.gateway.hedge import wait_for_best_end
from bramleybend.gateway.run import CallerRequest, Run
from bramleybend.gateway.slot import Slot
from bramleybend.models import ServiceKind


async def _make_end(end: EndKind) -> AttemptEnd:
    await asyncio.sleep(0)
    return AttemptEnd(end)


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        (EndKind.NOT_SENT, EndKind.UNHEARD, EndKind.UNHEARD),
        (EndKind.UNHEARD, EndKind.NOT_SENT, EndKind.UNHEARD),
        (EndKind.NOT_SENT, EndKind.NOT_SENT, EndKind.NOT_SENT),
        (EndKind.TORN, EndKind.WHOLE, EndKind.WHOLE),
        (EndKind.OVERTAKEN, EndKind.WHOLE, EndKind.WHOLE),
    ],
)
async def test_a_run_that_was_sent_outweighs_one_that_was_not(
    first: EndKind,
    second: EndKind,
    expected: EndKind,
) -> None:
    """Guards against `not_run` for a request that may have run.

    One of two concurrent runs is refused by its runner; the other is sent and
    never answered. The second end counts, and the caller is told `unknown`.
    """
    runs = [asyncio.create_task(_make_end(end)) for end in (first, second)]
    assert (await wait_for_best_end(*runs)).kind is expected


def test_a_refused_try_does_not_undo_one_that_was_sent() -> None:
    """Guards against recording `not_run` for a request that is running.

    A second run is refused while the first is in progress, and then the
    caller leaves. A resend would be told the recorded `not_run`.
    """
    run = Run(CallerRequest('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    run.record_send()
    run.record_send()
    run.record_refusal()
    assert run.was_dispatched
    run.record_refusal()
    assert not run.was_dispatched


async def test_nothing_is_sent_for_a_run_that_was_given_up() -> None:
    """Guards against sending a request that was recorded as `not_run`.

    The caller leaves just as its runner accepts the connection. The home
    gives up the run and cancels its tasks, but the attempt's task, whose
    connection opened a moment before, runs first. It must check the run.
    """
    received = bytearray()

    async def _receive(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        received.extend(await reader.read())
        writer.close()

    server = await asyncio.start_server(_receive, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    run = Run(CallerRequest('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    run.give_up()
    slot = cast('Slot', SimpleNamespace(endpoint=f'127.0.0.1:{port}'))
    attempt = Attempt(run, slot, ServiceKind.PLAIN, 'run', 1)
    end = await attempt.run()
    server.close()
    await server.wait_closed()
    assert (end.kind, bytes(received)) == (EndKind.NOT_SENT, b'')
    assert not run.was_dispatched


@pytest.mark.parametrize('kind', list(ServiceKind))
@pytest.mark.parametrize(
    ('head', 'body', 'expected'),
    [
        ('', b'{"text": "whole"}', EndKind.WHOLE),
        ('', b'{"text": "cut', EndKind.TORN),
        ('', b'', EndKind.TORN),
        ('Content-Length: 0\r\n', b'', EndKind.WHOLE),
        ('Content-Length: 5\r\n', b'plain', EndKind.WHOLE),
    ],
    ids=['whole', 'cut', 'nothing', 'empty', 'framed'],
)
async def test_an_answer_that_ends_with_its_connection_proves_itself_whole(
    kind: ServiceKind, head: str, body: bytes, expected: EndKind
) -> None:
    """Guards against taking a crash for an end: it may close cleanly, too."""

    async def _answer_and_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'{}')
        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode() + body)
        writer.close()

    server = await asyncio.start_server(_answer_and_close, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    run = Run(CallerRequest('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    slot = cast('Slot', SimpleNamespace(endpoint=f'127.0.0.1:{port}'))
    attempt = Attempt(run, slot, kind, 'run', 1)
    end = await attempt.run()
    server.close()
    assert end.kind is expected
