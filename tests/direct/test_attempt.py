"""One attempt at a runner."""

import asyncio
import socket
from dataclasses import replace
from random import Random
from typing import Any, cast
from unittest.mock import Mock

from bramleybend.clients.channel import Channel, OutgoingRequest
from bramleybend.clock import SystemClock
from bramleybend.direct.attempt import Attempt, Failure, RunStatus
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.message_memory import MessageMemory
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.events import EventLog
from bramleybend.platform.platform_dialect import make_header_codec
from tests.utils.runner_channels import make_channels

OPENING_S = 0.1
RUNNER = RunnerEntry('r1', 1, 'app', '127.0.0.1', 80, 'a', 4, RunnerState.READY)


class SlowChannels:
    """Opens connections slowly and records whether they were returned."""

    def __init__(self) -> None:
        """Start without connections."""
        self.was_returned = False
        self.memory = MessageMemory(0)

    async def acquire(self, runner: RunnerEntry) -> Channel:
        """Return a connection after a delay."""
        await asyncio.sleep(OPENING_S)
        return cast(Channel, Mock(is_usable=True))

    def drop(self, runner: RunnerEntry, channel: Channel) -> None:
        """Record that a connection was returned."""
        self.was_returned = True


def fail_if_built() -> OutgoingRequest:
    """Fail the test: a request that is not sent must not be built."""
    raise AssertionError('the request was made')


async def test_nothing_is_sent_once_the_connection_opens_too_late() -> None:
    """A request whose time ran out while connecting is not sent."""
    clock = SystemClock()
    channels = SlowChannels()
    attempt = Attempt(
        cast(RunnerChannels, channels),
        make_header_codec(),
        RunnerLimits(clock, cast(EventLog, cast(Any, None)), Random(1)),
        RUNNER,
        'a1',
    )
    send_by = clock.monotonic() + OPENING_S / 2
    outcome = await attempt.send(fail_if_built, send_by)
    assert isinstance(outcome, Failure)
    assert outcome.run_status is RunStatus.NOT_RUN
    assert not attempt.is_sent
    attempt.drop_connection()
    assert channels.was_returned


async def test_a_connection_that_its_runner_has_closed_is_not_used() -> None:
    """If nothing could be sent, a booking must not count as possibly run.

    The attempt opens another connection instead.
    """
    clock = SystemClock()
    channels = make_channels()
    limits = RunnerLimits(clock, cast(EventLog, cast(Any, None)), Random(1))
    with socket.create_server(('127.0.0.1', 0)) as listener:
        runner = replace(RUNNER, port=listener.getsockname()[1])
        channel = await channels.acquire(runner)
        closed_conn, _ = listener.accept()
        channels.drop(runner, channel)
        closed_conn.close()
        attempt = Attempt(channels, make_header_codec(), limits, runner, 'a1')
        sending = asyncio.create_task(
            attempt.send(request, clock.monotonic() + OPENING_S)
        )
        await asyncio.sleep(OPENING_S)
        conn, _ = listener.accept()
        conn.settimeout(1)
        assert conn.recv(4) == b'POST'
        sending.cancel()
        attempt.drop_connection()
        conn.close()


def request() -> OutgoingRequest:
    """Return a booking."""
    return OutgoingRequest(b'POST', b'/book/x', [(b'Host', b'h')], b'{}')
