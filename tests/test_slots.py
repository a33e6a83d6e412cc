"""How a slot is given back to an owner that is slow or gone."""

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
    """A stream that its owner ends some time after the run's end is told."""

    ends_after_s: float
    status: grpc.StatusCode = grpc.StatusCode.OK
    told: list[Ended] = field(default_factory=list)
    read_by_owner: list[Ended] = field(default_factory=list)
    cancelled: bool = False
    _ended: asyncio.Event = field(default_factory=asyncio.Event)

    async def write(self, message: HoldRequest) -> None:
        if message.HasField('ended'):
            self.told.append(message.ended)
            self._ended.set()

    async def read(self) -> object:
        await self._ended.wait()
        await asyncio.sleep(self.ends_after_s)
        if self.status is grpc.StatusCode.OK and not self.cancelled:
            self.read_by_owner.extend(self.told)
        return grpc.aio.EOF

    async def code(self) -> grpc.StatusCode:
        return self.status

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class _Owners:
    """Opens the stream of whoever owns the shard by now."""

    next_call: _Call

    async def open_at_owner(
        self, ask: AskMessage, first: HoldRequest, deadline: float
    ) -> HoldStream | None:
        assert first.HasField('adopt')
        return _opened(self.next_call)


def _opened(call: _Call) -> HoldStream:
    return cast(
        'HoldStream',
        SimpleNamespace(call=call, owner=SimpleNamespace(incarnation='a')),
    )


async def _end_slot(call: _Call, next_call: _Call, ended: Ended) -> None:
    granted = Granted(runner='engine-1', endpoint='127.0.0.1:1')
    owners = _Owners(next_call)
    slot = Slot(owners, AskMessage(), granted, _opened(call))
    await asyncio.sleep(0)  # the slot begins to listen to its owner
    await slot.release(ended)


async def test_a_crash_is_told_to_an_owner_that_is_slow_to_read() -> None:
    """Guards against a crash that is counted by nobody."""
    call = _Call(SLOW_S)
    await _end_slot(call, _Call(0), CRASHED)
    assert call.read_by_owner == [CRASHED]


async def test_a_crash_is_told_to_the_next_owner_if_the_first_is_lost() -> None:
    """Guards against a crash that dies with the owner that was told."""
    next_call = _Call(0)
    lost = _Call(0, grpc.StatusCode.UNAVAILABLE)
    await _end_slot(lost, next_call, CRASHED)
    assert next_call.read_by_owner == [CRASHED]


@pytest.mark.parametrize('outcome', ['done', 'unheard'])
async def test_other_ends_do_not_wait_for_a_slow_owner(outcome: str) -> None:
    """Guards against streams that stay open at an owner that froze."""
    call = _Call(SLOW_S)
    await _end_slot(call, _Call(0), Ended(outcome=outcome))
    assert call.cancelled
    assert not call.read_by_owner
