"""Bad input from callers to the gateway's HTTP interface.

The caller gets an answer that names the error and the remedy. The gateway
rejects the input before it stores anything, closes the connection where it
must, and continues to serve other callers.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
import pytest_asyncio

from bramleybend.answers import Outcome
from tests.utils.cluster import Cluster, Layout
from tests.utils.http_client import Reply, call
from tests.utils.scenario import LARGE_SCHOOL

pytestmark = [
    pytest.mark.xdist_group('bad_input'),
    pytest.mark.asyncio(loop_scope='module'),
]
LIMIT_S = 10
LONG_HEADER = b''.join((b'GET / HTTP/1.1\r\nHost: a\r\nX: ', b'a' * 20_000))
LARGE_BODY = b''.join(
    (
        b'POST /v1/requests HTTP/1.1\r\nHost: a\r\n',
        b'Content-Length: 5000000\r\n\r\n',
        b'a' * 5_000_000,
    )
)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def gateway(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[str]:
    """Start one entry VM and return its `ip:port`."""
    run_dir: Path = tmp_path_factory.mktemp('bad-input')
    async with Cluster(Layout(vms=1), run_dir) as cluster:
        await cluster.ready()
        yield cluster.vms[0].endpoint


async def _get_ticket(gateway: str) -> str:
    reply = await call('GET', f'http://{gateway}/v1/address')
    return str(json.loads(reply.body)['ticket'])


async def _send_bytes(gateway: str, sent: bytes) -> bytes:
    """Send the bytes unchanged and return the whole response."""
    host, _, port = gateway.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    async with asyncio.timeout(LIMIT_S):
        received = await reader.read()
    writer.close()
    return received


async def _send_request(gateway: str, **changed: str | None) -> Reply:
    """Send a valid request with some headers changed, or omitted if None."""
    deadline = datetime.now(UTC) + timedelta(seconds=LIMIT_S)
    headers = {
        'Bramleybend-Request-Id': f'{await _get_ticket(gateway)}/one',
        'Bramleybend-Workspace': LARGE_SCHOOL,
        'Bramleybend-Service': 'booking-app',
        'Bramleybend-Profile': 'availability',
        'Bramleybend-Deadline': deadline.isoformat(),
    }
    for name, text in changed.items():
        header = f'Bramleybend-{name.replace("_", "-").title()}'
        headers.pop(header)
        if text is not None:
            headers[header] = text
    return await call(
        'POST',
        f'http://{gateway}/v1/requests',
        headers,
        b'{}',
    )


@pytest.mark.parametrize(
    ('changed', 'status', 'expected_text'),
    [
        ({'workspace': 'nobody'}, 404, 'nobody'),
        ({'service': 'nothing'}, 404, 'nothing'),
        ({'profile': 'no-such'}, 404, 'no-such'),
        ({'profile': 'debrief'}, 400, 'briefing-llm'),
        ({'request_id': None}, 400, 'bramleybend-request-id'),
        ({'request_id': 'no-ticket'}, 400, 'own part'),
        ({'request_id': 'x/one'}, 400, 'ticket'),
        ({'deadline': 'tomorrow'}, 400, 'tomorrow'),
        ({'deadline': '2020-01-01T00:00:00Z'}, 400, 'passed'),
    ],
)
async def test_a_wrong_header_is_named_with_its_remedy(
    gateway: str,
    changed: dict[str, str | None],
    status: int,
    expected_text: str,
) -> None:
    """The outcome is `rejected`, with the reason and the remedy."""
    reply = await _send_request(gateway, **changed)
    answer = json.loads(reply.body)
    assert reply.status == status
    assert answer['outcome'] == Outcome.REJECTED
    assert expected_text in answer['reason']
    assert answer['remedy']


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GARBAGE\r\n\r\n', b'400'),
        (LONG_HEADER, b'431'),
        (LARGE_BODY, b'413'),
        (
            b'GET /nowhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
            b'404',
        ),
    ],
)
async def test_bytes_that_are_no_request_get_an_answer(
    gateway: str,
    sent: bytes,
    status: bytes,
) -> None:
    """Malformed, oversized and unknown requests get their HTTP status."""
    received = await _send_bytes(gateway, sent)
    assert received.split()[1] == status, received[:200]
    assert b'"remedy"' in received


async def test_the_gateway_goes_on_after_a_half_sent_request(
    gateway: str,
) -> None:
    """A caller disconnects within its body; the next caller is served."""
    host, _, port = gateway.partition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'POST /v1/requests HTTP/1.1\r\nHost: a\r\n')
    writer.write(b'Content-Length: 100\r\n\r\nhalf')
    await writer.drain()
    writer.close()
    reply = await _send_request(gateway)
    assert reply.headers['bramleybend-outcome'] == Outcome.DONE


async def test_an_id_sent_with_another_body_is_refused(gateway: str) -> None:
    """Guards against returning the answer to another request."""
    ticket = await _get_ticket(gateway)
    first = await _send_request(gateway, request_id=f'{ticket}/two')
    assert first.status == 200
    deadline = datetime.now(UTC) + timedelta(seconds=LIMIT_S)
    second = await call(
        'POST',
        f'http://{gateway}/v1/requests',
        {
            'Bramleybend-Request-Id': f'{ticket}/two',
            'Bramleybend-Workspace': LARGE_SCHOOL,
            'Bramleybend-Service': 'booking-app',
            'Bramleybend-Profile': 'availability',
            'Bramleybend-Deadline': deadline.isoformat(),
        },
        b'{"other": 1}',
    )
    assert json.loads(second.body)['outcome'] == Outcome.REJECTED


async def test_a_resend_after_the_deadline_gets_the_answer(
    gateway: str,
) -> None:
    """A resend after the deadline must get the answer of the run.

    The request ran before. An answer `rejected` would mean that nothing ran,
    and the caller would run the request again under a new id.
    """
    request_id = f'{await _get_ticket(gateway)}/three'
    first = await _send_request(gateway, request_id=request_id)
    again = await _send_request(
        gateway,
        request_id=request_id,
        deadline='2020-01-01T00:00:00Z',
    )
    assert first.headers['bramleybend-outcome'] == Outcome.DONE
    assert (again.status, again.body) == (first.status, first.body)
