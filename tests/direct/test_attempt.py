"""One try at a runner."""

import asyncio
import socket
from dataclasses import replace
from random import Random
from typing import Any, cast
from unittest.mock import Mock

from bramleybend.clients.channel import Channel, Outgoing
from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.clock import SystemClock
from bramleybend.direct.answer_memory import AnswerMemory
from bramleybend.direct.attempt import Attempt, Failure, RunStatus
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.events import EventLog
from bramleybend.platform.headers import make_header_codec

OPENING_S = 0.1
RUNNER = RunnerEntry('r1', 1, 'app', '127.0.0.1', 80, 'a', 4, RunnerState.READY)


class SlowChannels:
    """Opens a connection after a while; notes what became of it."""

    def __init__(self) -> None:
        """Start with none."""
        self.kept = False
        self.memory = AnswerMemory(0)

    async def take(self, runner: RunnerEntry) -> Channel:
        """Return a connection that is not written to."""
        await asyncio.sleep(OPENING_S)
        return cast(Channel, Mock(usable=True))

    def drop(self, runner: RunnerEntry, channel: Channel) -> None:
        """Take a connection back."""
        self.kept = True


def unused() -> Outgoing:
    """Fail: a request that is not sent is not made."""
    raise AssertionError('the request was made')


async def test_nothing_is_sent_once_the_connection_opens_too_late() -> None:
    """A runner gets no request whose caller's time ended meanwhile."""
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
    outcome = await attempt.send(unused, send_by)
    assert isinstance(outcome, Failure)
    assert outcome.run_status is RunStatus.NOT_RUN
    assert not attempt.sent
    attempt.drop_connection()
    assert channels.kept


async def test_a_connection_that_its_runner_has_closed_is_not_used() -> None:
    """A booking isn't told that it may have run where nothing was sent."""
    clock = SystemClock()
    channels = RunnerChannels(clock, MessageBounds(), AnswerMemory(0))
    limits = RunnerLimits(clock, cast(EventLog, cast(Any, None)), Random(1))
    with socket.create_server(('127.0.0.1', 0)) as listener:
        runner = replace(RUNNER, port=listener.getsockname()[1])
        channel = await channels.acquire(runner)
        closing, _ = listener.accept()
        channels.drop(runner, channel)
        closing.close()
        attempt = Attempt(channels, make_header_codec(), limits, runner, 'a1')
        begun = asyncio.create_task(
            attempt.send(request, clock.monotonic() + OPENING_S)
        )
        await asyncio.sleep(OPENING_S)
        conn, _ = listener.accept()
        conn.settimeout(1)
        assert conn.recv(4) == b'POST'
        begun.cancel()
        attempt.drop_connection()
        conn.close()


def request() -> Outgoing:
    """Return a booking."""
    return Outgoing(b'POST', b'/book/x', [(b'Host', b'h')], b'{}')
