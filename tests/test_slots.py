"""Releasing a slot when its owner is slow or lost."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

import grpc
import pytest

from bramleybend.gateway.hold_stream import HoldStream
from bramleybend.gateway.slot import Slot
from bramleybend.wire.bramleybend_pb2 import (
    AskMessage,
    Ended,
    Granted,
    HoldRequest,
)

SLOW_S = 1.5
CRASHED = Ended(outcome='unheard', runner_crashed=True)


@dataclass
class _Call:
    """A stream that its owner ends some time after the run's end is sent."""

    ends_after_s: float
    status: grpc.StatusCode = grpc.StatusCode.OK
    sent: list[Ended] = field(default_factory=list)
    read_by_owner: list[Ended] = field(default_factory=list)
    cancelled: bool = False
    _ended: asyncio.Event = field(default_factory=asyncio.Event)

    async def write(self, message: HoldRequest) -> None:
        if message.HasField('ended'):
            self.sent.append(message.ended)
            self._ended.set()

    async def read(self) -> object:
        await self._ended.wait()
        await asyncio.sleep(self.ends_after_s)
        if self.status is grpc.StatusCode.OK and not self.cancelled:
            self.read_by_owner.extend(self.sent)
        return grpc.aio.EOF

    async def code(self) -> grpc.StatusCode:
        return self.status

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class _Owners:
    """Opens a stream with the shard's next owner."""

    next_call: _Call

    async def open_at_owner(
        self, ask: AskMessage, first_message: HoldRequest, deadline: float
    ) -> HoldStream | None:
        assert first_message.HasField('adopt')
        return _make_stream(self.next_call)


def _make_stream(call: _Call) -> HoldStream:
    return cast(
        'HoldStream',
        SimpleNamespace(call=call, owner=SimpleNamespace(incarnation='a')),
    )


async def _end_slot(call: _Call, next_call: _Call, ended: Ended) -> None:
    granted = Granted(runner='engine-1', endpoint='127.0.0.1:1')
    owners = _Owners(next_call)
    slot = Slot(owners, AskMessage(), granted, _make_stream(call))
    await asyncio.sleep(0)  # the slot starts to read its owner's replies
    await slot.release(ended)


async def test_a_crash_is_told_to_an_owner_that_is_slow_to_read() -> None:
    """Guards against a crash report that the owner never reads."""
    call = _Call(SLOW_S)
    await _end_slot(call, _Call(0), CRASHED)
    assert call.read_by_owner == [CRASHED]


async def test_a_crash_is_told_to_the_next_owner_if_the_first_is_lost() -> None:
    """Guards against a crash report that is lost with the previous owner."""
    next_call = _Call(0)
    lost = _Call(0, grpc.StatusCode.UNAVAILABLE)
    await _end_slot(lost, next_call, CRASHED)
    assert next_call.read_by_owner == [CRASHED]


@pytest.mark.parametrize('outcome', ['done', 'unheard'])
async def test_other_ends_do_not_wait_for_a_slow_owner(outcome: str) -> None:
    """Guards against streams that stay open with a frozen owner."""
    call = _Call(SLOW_S)
    await _end_slot(call, _Call(0), Ended(outcome=outcome))
    assert call.cancelled
    assert not call.read_by_owner
