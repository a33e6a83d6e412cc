"""What may be told of a request whose tries met different ends."""

import asyncio
import contextlib
from types import SimpleNamespace
from typing import cast

import pytest

from bramleybend.gateway.attempt import Attempt, AttemptEnd, End
from bramleybend.gateway.hedge import faster
from bramleybend.gateway.run import RequestBody, Run
from bramleybend.gateway.slots import Slot
from bramleybend.models import ServiceKind


async def _ended(end: End) -> AttemptEnd:
    await asyncio.sleep(0)
    return AttemptEnd(end)


@pytest.mark.parametrize(
    ('first', 'second', 'told'),
    [
        (End.NOT_SENT, End.UNHEARD, End.UNHEARD),
        (End.UNHEARD, End.NOT_SENT, End.UNHEARD),
        (End.NOT_SENT, End.NOT_SENT, End.NOT_SENT),
        (End.TORN, End.WHOLE, End.WHOLE),
        (End.OVERTAKEN, End.WHOLE, End.WHOLE),
    ],
)
async def test_a_run_that_was_sent_outweighs_one_that_was_not(
    first: End,
    second: End,
    told: End,
) -> None:
    """One of two runs was refused, the other was sent and never answered.

    The caller is told `unknown`. Order: the first run's runner refuses it,
    the second's takes it and is silent. Were the first one's end told, the
    caller would hear `not_run` of a call that may have taken effect.
    """
    runs = [asyncio.create_task(_ended(end)) for end in (first, second)]
    assert (await faster(*runs)).end is told


def test_a_refused_try_does_not_undo_one_that_was_sent() -> None:
    """A second run is refused while the first one is under way.

    Its caller leaves. Were the request taken for never sent, it would be
    written down as `not_run`, and a resend would be told so.
    """
    run = Run(RequestBody('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    run.note_sent()
    run.note_sent()
    run.note_refused()
    assert run.dispatched
    run.note_refused()
    assert not run.dispatched


async def test_nothing_is_sent_for_a_run_that_was_given_up() -> None:
    """A caller leaves just as its runner accepts the connection.

    The request is told and written down as `not_run`. Order: the home gives
    it up and cancels its tasks; the connect had ended a moment before, and
    the task that would send is woken first. Its look at the run stops it.
    """
    got = bytearray()

    async def _take(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        got.extend(await reader.read())
        writer.close()

    server = await asyncio.start_server(_take, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    run = Run(RequestBody('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    run.give_up()
    slot = cast('Slot', SimpleNamespace(endpoint=f'127.0.0.1:{port}'))
    attempt = Attempt(run, slot, ServiceKind.PLAIN, 'run', 1)
    end = await attempt.proceed()
    server.close()
    await server.wait_closed()
    assert (end.end, bytes(got)) == (End.NOT_SENT, b'')
    assert not run.dispatched


@pytest.mark.parametrize('kind', list(ServiceKind))
@pytest.mark.parametrize(
    ('head', 'body', 'told'),
    [
        ('', b'{"text": "whole"}', End.WHOLE),
        ('', b'{"text": "cut', End.TORN),
        ('', b'', End.TORN),
        ('Content-Length: 0\r\n', b'', End.WHOLE),
        ('Content-Length: 5\r\n', b'plain', End.WHOLE),
    ],
    ids=['whole', 'cut', 'nothing', 'empty', 'framed'],
)
async def test_an_answer_that_ends_with_its_connection_proves_itself_whole(
    kind: ServiceKind, head: str, body: bytes, told: End
) -> None:
    """A runner that crashes and closes in order looks like one that is done."""

    async def _cut(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'{}')
        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode() + body)
        writer.close()

    server = await asyncio.start_server(_cut, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    run = Run(RequestBody('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    slot = cast('Slot', SimpleNamespace(endpoint=f'127.0.0.1:{port}'))
    attempt = Attempt(run, slot, kind, 'run', 1)
    end = await attempt.proceed()
    server.close()
    assert end.end is told
