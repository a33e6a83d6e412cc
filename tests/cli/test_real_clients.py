"""Commands with their real clients: HTTP to the log, gRPC to processes."""

import json
from collections.abc import AsyncIterator
from io import StringIO
from typing import Any

import pytest
from grpc import aio

from bramleybend.cli.ctl import execute
from bramleybend.cli.environment import Environment
from bramleybend.exit_status import ExitStatus
from bramleybend.wire.bramleybend_pb2 import StatusReply, StatusRequest
from bramleybend.wire.bramleybend_pb2_grpc import (
    ControlServicer,
    add_ControlServicer_to_server,
)
from tests.cli.fakes import PARWAZ
from tests.utils.log_service import LogService

PUBLISH = ('publish', PARWAZ, '--base', '0', '--timeout', '8')


class Control(ControlServicer):
    """A `Control` service that implements only `Status`."""

    async def Status(self, request: StatusRequest, context: Any) -> StatusReply:
        """Return known keys, and one that only a newer release has."""
        output = {'process': 'gateway', 'vm': 'entry-1', 'terms_version': 3}
        return StatusReply(json=json.dumps({**output, 'newer': True}))


@pytest.fixture(name='log')
async def _log() -> AsyncIterator[LogService]:
    log = LogService('127.0.0.1', 0)
    await log.start()
    yield log
    await log.stop()


async def run(log_url: str, *args: str) -> tuple[ExitStatus, str, str]:
    """Run one command with the real clients."""
    out, err = StringIO(), StringIO()
    variables = {'BRAMLEYBEND_LOG_SERVICE': log_url, 'USER': 'ana'}
    env = Environment(stdout=out, stderr=err, variables=variables)
    return await execute(args, env), out.getvalue(), err.getvalue()


@pytest.mark.parametrize(
    ('faults', 'status', 'records'),
    [
        ({}, ExitStatus.OK, 1),
        ({'lose_replies': 1}, ExitStatus.OK, 1),
        ({'duplicate_appends': 1}, ExitStatus.OK, 2),
        ({'slow_ms': 300}, ExitStatus.OK, 1),
        ({'down': True}, ExitStatus.UNAVAILABLE, 0),
        ({'hang': True}, ExitStatus.UNAVAILABLE, 0),
        ({'max_record_bytes': 10}, ExitStatus.INVALID, 0),
    ],
)
async def test_a_publish_under_each_fault_of_the_log(
    log: LogService,
    faults: dict[str, Any],
    status: ExitStatus,
    records: int,
) -> None:
    """The exit code reports whether the publish is in force."""
    log.faults.update(**faults)
    found_status, out, err = await run(log.url, *PUBLISH)
    assert (found_status, len(log.records('terms'))) == (status, records)
    assert ('version 1 is accepted' in out) is (status is ExitStatus.OK)
    assert err


async def test_a_status_comes_over_grpc() -> None:
    """Unknown status keys are accepted; a closed port is unavailable."""
    server = aio.server()
    add_ControlServicer_to_server(Control(), server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    vm_args = ('--vm', f'127.0.0.1:{port}', '--gateway-port', str(port))
    status, out, _ = await run('http://127.0.0.1:1', 'status', *vm_args)
    waited, output, _ = await run('http://127.0.0.1:1', 'wait', '3', *vm_args)
    refused, _, err = await run(
        'http://127.0.0.1:1', 'explain', 'x', *vm_args, '--timeout', '1'
    )
    await server.stop(None)
    closed, _, _ = await run('http://127.0.0.1:1', 'status', *vm_args)
    assert (status, waited) == (ExitStatus.OK, ExitStatus.OK)
    assert 'entry-1' not in out
    assert 'in force on all 1 processes' in output
    assert (refused, 'no answer from' in err) == (ExitStatus.NOT_FOUND, True)
    assert closed is ExitStatus.UNAVAILABLE
