"""What may be told of a request whose tries met different ends."""

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


async def _ended(end: EndKind) -> AttemptEnd:
    await asyncio.sleep(0)
    return AttemptEnd(end)


@pytest.mark.parametrize(
    ('first', 'second', 'told'),
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
    told: EndKind,
) -> None:
    """One of two runs was refused, the other was sent and never answered.

    The caller is told `unknown`. Order: the first run's runner refuses it,
    the second's takes it and is silent. Were the first one's end told, the
    caller would hear `not_run` of a call that may have taken effect.
    """
    runs = [asyncio.create_task(_ended(end)) for end in (first, second)]
    assert (await wait_for_best_end(*runs)).kind is told


def test_a_refused_try_does_not_undo_one_that_was_sent() -> None:
    """A second run is refused while the first one is under way.

    Its caller leaves. Were the request taken for never sent, it would be
    written down as `not_run`, and a resend would be told so.
    """
    run = Run(CallerRequest('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    run.record_send()
    run.record_send()
    run.record_refusal()
    assert run.was_dispatched
    run.record_refusal()
    assert not run.was_dispatched


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
    run = Run(CallerRequest('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    run.give_up()
    slot = cast('Slot', SimpleNamespace(endpoint=f'127.0.0.1:{port}'))
    attempt = Attempt(run, slot, ServiceKind.PLAIN, 'run', 1)
    end = await attempt.run()
    server.close()
    await server.wait_closed()
    assert (end.kind, bytes(got)) == (EndKind.NOT_SENT, b'')
    assert not run.was_dispatched


@pytest.mark.parametrize('kind', list(ServiceKind))
@pytest.mark.parametrize(
    ('head', 'body', 'told'),
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
    kind: ServiceKind, head: str, body: bytes, told: EndKind
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
    run = Run(CallerRequest('id', 'w', 's', 'p', 1, b'{}', 'f', stream=False))
    slot = cast('Slot', SimpleNamespace(endpoint=f'127.0.0.1:{port}'))
    attempt = Attempt(run, slot, kind, 'run', 1)
    end = await attempt.run()
    server.close()
    assert end.kind is told
