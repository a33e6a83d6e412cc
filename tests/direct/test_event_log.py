"""Events that a VM logs: a late event loop, disconnects, rejections, bursts."""

import asyncio
import logging
import time
from typing import Any, Final

import pytest

from bramleybend.direct.suspension import SWEEP_EVERY_S
from bramleybend.direct.traffic import LARGE_BYTES
from bramleybend.event_loop_monitor import MIN_REPORTED_DELAY_S
from tests.direct.cluster import PLAIN, publish_token_limit, running_cluster
from tests.utils.peer_network import start_network
from tests.utils.raw_runner import ReceivedRequest, answer_at_once
from tests.utils.waiting import wait_until

POST: Final = b'POST /book/x HTTP/1.1\r\nHost: desk.example\r\n'


def _events(caplog: pytest.LogCaptureFixture, name: str) -> list[Any]:
    lines = [each.msg for each in caplog.records if isinstance(each.msg, dict)]
    return [line for line in lines if line['event'] == name]


def _block_event_loop(seconds: float) -> None:
    time.sleep(seconds)


async def test_an_entry_vm_logs_that_its_loop_was_late(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    async with running_cluster():
        await asyncio.sleep(SWEEP_EVERY_S / 2)
        _block_event_loop(SWEEP_EVERY_S + 2 * MIN_REPORTED_DELAY_S)
        await asyncio.sleep(2 * SWEEP_EVERY_S)
    assert (
        _events(caplog, 'loop_late')[0]['late_ms']
        >= MIN_REPORTED_DELAY_S * 1000
    )


async def test_a_caller_that_leaves_is_told_with_what_became_of_its_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    released = asyncio.Event()

    async def behave(seen: ReceivedRequest) -> None:
        await released.wait()
        await answer_at_once(seen)

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN, behave)
        await cluster.wait_for_runners(PLAIN)
        callers = [await cluster.connect() for _ in range(5)]
        for number, caller in enumerate(callers):
            await caller.send('/read/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == 4, 'four runs')
        for caller in callers:
            caller.close()
        await wait_until(
            lambda: len(_events(caplog, 'caller_left')) == 5, 'five lines'
        )
        left = cluster.vms[0].entry.meters.counters['callers_left']
        assert left == {(PLAIN, 'placed'): 4, (PLAIN, 'queued'): 1}
        released.set()


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'no request\r\n\r\n', 400),
        (b'%bX-Big: %b' % (POST, b'x' * 100_000), 431),
        (
            b'%bContent-Length: 9000000\r\n\r\n%b' % (POST, b'x' * 9_000_000),
            413,
        ),
    ],
    ids=['no request', 'a head too long', 'a body too long'],
)
async def test_a_request_that_cannot_be_read_is_logged_and_counted(
    caplog: pytest.LogCaptureFixture, sent: bytes, status: int
) -> None:
    """A request that is rejected before it is read is logged and counted."""
    caplog.set_level(logging.INFO)
    async with running_cluster() as cluster:
        caller = await cluster.connect()
        caller.writer.write(sent)
        answer = await caller.answer(2)
        assert answer.status == status
        (denied_event,) = _events(caplog, 'denied')
        assert denied_event['status'] == status
        assert denied_event['why']
        denied = cluster.vms[0].entry.meters.counters['denied']
        assert denied == {(str(status),): 1}


def test_a_vm_logs_when_its_messages_would_fill_a_thin_link(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    start_network(9)
    assert not _events(caplog, 'peer_burst')
    start_network(84)
    bursts = _events(caplog, 'peer_burst')
    assert bursts
    assert all(line['bytes'] >= LARGE_BYTES for line in bursts)


async def test_what_a_request_was_charged_and_refunded_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Otherwise a log can't tell why a workspace ran more than its limit."""
    caplog.set_level(logging.INFO)
    async with running_cluster() as cluster:
        await publish_token_limit(cluster)
        await cluster.call('/read/x', X_Bramleybend_Deadline_Ms='300')
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await cluster.call('/read/x')
    (refunded,) = _events(caplog, 'refunded')
    assert (refunded['workspace'], refunded['units']) == ('school', 100)
    (placed,) = _events(caplog, 'placed')
    assert placed['charged'] == 100
