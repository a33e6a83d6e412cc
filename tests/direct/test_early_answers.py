"""Runners that answer a long upload before they have read it."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import cast

import pytest

from bramleybend.clients.h11_protocol import reset_transport
from tests.direct.cluster import (
    ENGINE,
    PLAIN,
    Cluster,
    manifest,
    running_cluster,
)
from tests.utils.path_cuts import PathState
from tests.utils.raw_runner import RawRunner, ReceivedRequest, event
from tests.utils.waiting import wait_until

BODY_BYTES = (50_000, 300_000, 2_000_000, 12_000_000)
RESET_AFTER_S = (0, 0.02)
HEAD = (
    'HTTP/1.1 200 OK\r\nX-Bramleybend-Attempt-Id: {attempt}\r\n'
    'X-Bramleybend-Response-Stamp: s1\r\n{type}\r\n'
)
EVENT_STREAM = 'Content-Type: text/event-stream\r\n'


@dataclass
class HeadReader(RawRunner):
    """A runner that reads the head, answers a part and resets.

    It closes its side of the connection first, which ends an answer without a
    length. With `reads_all`, it reads the request and resets nothing.
    """

    reset_after_s: float = 0
    reads_all: bool = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        fields = dict(re.findall(r'(?i)([\w-]+): (.*)\r\n', head.lower()))
        if self.reads_all:
            await reader.readexactly(int(fields['content-length']))
        is_stream = '/draft/' in head
        text = HEAD.format(
            attempt=fields['x-bramleybend-attempt-id'],
            type=EVENT_STREAM if is_stream else '',
        )
        part = event(1) if is_stream else b'a part of it'
        writer.write(text.encode() + part)
        await writer.drain()
        writer.write_eof()
        if not self.reads_all:
            await asyncio.sleep(self.reset_after_s)
            reset_transport(cast(asyncio.Transport, writer.transport))
        writer.close()


@asynccontextmanager
async def cluster_with(
    runner: HeadReader, service: str, *, through_tunnel: bool
) -> AsyncIterator[Cluster]:
    """Run two VMs, the first of which may have lost its paths to runners."""
    async with running_cluster(vms=2) as cluster:
        limits = {**manifest()['limits'], 'maxBodyBytes': 16_000_000}
        cluster.publish(manifest(2, limits=limits))
        runner.host = cluster.paths._runner_host  # noqa: SLF001
        await runner.start()
        cluster.runners[runner.name] = runner
        cluster.store.put('keyed.servers', runner.name, runner.entry(service))
        await cluster.wait_for_runners(service)
        await wait_until(
            lambda: all(
                vm.entry.catalog.manifest_version() == 2 for vm in cluster.vms
            ),
            'the limits',
        )
        if through_tunnel:
            cluster.paths.set_state(0, PathState.REFUSED)
        yield cluster


@pytest.mark.parametrize('through_tunnel', [False, True])
@pytest.mark.parametrize('reset_after_s', RESET_AFTER_S)
@pytest.mark.parametrize('size', BODY_BYTES)
@pytest.mark.parametrize('path', ['/book/x', '/read/x', '/draft/x'])
async def test_a_part_before_a_reset_is_no_whole_answer(
    path: str, size: int, reset_after_s: float, through_tunnel: bool
) -> None:
    """A part must not pass for a whole answer because its connection ended."""
    runner = HeadReader('', 'r1', reset_after_s=reset_after_s)
    service = ENGINE if path == '/draft/x' else PLAIN
    async with cluster_with(
        runner, service, through_tunnel=through_tunnel
    ) as cluster:
        answer = await cluster.call(path, body=bytes(size))
        assert not (answer.status == 200 and answer.is_whole)


@pytest.mark.parametrize('through_tunnel', [False, True])
async def test_an_unframed_answer_to_an_upload_that_was_read_is_whole(
    through_tunnel: bool,
) -> None:
    """An answer without a length still ends with its connection."""
    runner = HeadReader('', 'r1', reads_all=True)
    async with cluster_with(
        runner, PLAIN, through_tunnel=through_tunnel
    ) as cluster:
        answer = await cluster.call('/book/x', body=bytes(2_000_000))
        assert (answer.status, answer.body) == (200, b'a part of it')
        assert answer.is_whole


@pytest.mark.parametrize(
    'status', ['000 OK', '099 OK', '101 X', '600 OK', '999 OK']
)
@pytest.mark.parametrize('path', ['/book/x', '/read/x', '/draft/x'])
async def test_an_invalid_status_is_no_answer(path: str, status: str) -> None:
    """A caller must not get a status outside the classes of HTTP."""

    async def answer_oddly(seen: ReceivedRequest) -> None:
        seen.writer.write(seen.answer(status))

    service = ENGINE if path == '/draft/x' else PLAIN
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', service, answer_oddly)
        await cluster.wait_for_runners(service)
        answer = await cluster.call(path)
        assert answer.status in {502, 503, 504}
