"""Asks the owners of shards for slots."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

from result import Err, Ok, Result

from bramleybend.clock import Clock
from bramleybend.decisions.ownership import owners_of
from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EventLog
from bramleybend.gateway.hold_stream import (
    Hold,
    Opened,
    first_reply,
    read_reply,
)
from bramleybend.gateway.slots import Slot
from bramleybend.models import Tier
from bramleybend.patience import within
from bramleybend.state.member import Member
from bramleybend.wire.bramleybend_pb2 import (
    AskMessage,
    HoldReply,
    HoldRequest,
    Refused,
)
from bramleybend.wire.bramleybend_pb2_grpc import OwnerStub
from bramleybend.wire.channels import Channels
from bramleybend.wire.headers import Headers

# An owner answers `queued` at once. One that does not is frozen or cut off;
# the highest tier, which any VM may grant, then goes to the next in rank.
ACK_TIMEOUT_S: Final = 0.8
AVOID_S: Final = 3.0
OWNER_CHECK_S: Final = 0.2
REOPEN_PAUSE_S: Final = 0.1
OUT_OF_TIME_RETRY_S: Final = 1.0

Members: TypeAlias = Callable[[], Sequence[Member]]
Reading: TypeAlias = Coroutine[Any, Any, HoldReply | None]


@dataclass(frozen=True)
class OwnerPort:
    """What is needed to speak to owners."""

    channels: Channels
    port: int
    members: Members
    headers: Headers


class SlotAsker:
    """Finds a shard's owner and waits there for a slot."""

    def __init__(
        self,
        port: OwnerPort,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Know no owner as unreachable yet."""
        self._port = port
        self._clock = clock
        self._events = events
        self._avoid: dict[str, float] = {}

    async def acquire(
        self,
        ask: AskMessage,
        deadline: float,
    ) -> Result[Slot, Refused | Problem]:
        """Wait for a slot until `deadline` on the monotonic clock.

        A `Refused` is the owner's word; a `Problem` means that no owner
        could be reached.
        """
        while self._clock.monotonic() < deadline:
            opened = await self._open(ask, deadline)
            if opened is None:
                return Err(self._unopened(ask, deadline))
            reply = await self._decided(ask, opened, deadline)
            if reply is not None:
                return self._decision(ask, opened, reply)
        return Err(_out_of_time())

    async def open_at_owner(
        self,
        ask: AskMessage,
        first: HoldRequest,
        deadline: float,
    ) -> Opened | None:
        """Open a stream with the shard's owner, also one that is paused.

        Below the highest tier no other VM's grant counts, so a slow owner is
        waited for until it answers or the members have replaced it.
        """
        began = self._clock.monotonic()
        silent = ''
        while self._clock.monotonic() < deadline:
            owner = self.owner(ask.service, ask.shard)
            if owner is not None:
                opened = await self._open_stream(ask, first, owner, deadline)
                if opened is not None:
                    return opened
                if owner.incarnation != silent:
                    self._note_silent(ask, owner)
                silent = owner.incarnation
            await asyncio.sleep(REOPEN_PAUSE_S)
            if first.HasField('ask'):
                waited_s = self._clock.monotonic() - began
                first.ask.timeout_s = max(ask.timeout_s - waited_s, 0)
        return None

    def owner(self, service: str, shard: int) -> Member | None:
        """Return the member that the present view makes the owner."""
        ranked = owners_of(service, shard, self._port.members())
        return ranked[0] if ranked else None

    def owner_of(self, service: str, shard: int) -> str:
        """Return the incarnation of the present owner; empty without one."""
        owner = self.owner(service, shard)
        return owner.incarnation if owner else ''

    async def _open(self, ask: AskMessage, deadline: float) -> Opened | None:
        first = HoldRequest(ask=ask)
        if ask.tier == min(Tier):
            return await self._open_at_any(ask, first)
        if self.owner(ask.service, ask.shard) is None:
            return None
        return await self.open_at_owner(ask, first, deadline)

    async def _open_stream(
        self,
        ask: AskMessage,
        first: HoldRequest,
        owner: Member,
        deadline: float,
    ) -> Opened | None:
        call = self._call(owner)
        reading = first_reply(call, self._with_header(first))
        reply = None
        try:
            reply = await self._while_owner(reading, ask, owner, deadline)
        finally:
            if reply is None:
                call.cancel()
        return None if reply is None else Opened(call, owner)

    def _unopened(self, ask: AskMessage, deadline: float) -> Refused | Problem:
        in_time = self._clock.monotonic() < deadline
        return _no_owner(ask) if in_time else _out_of_time()

    async def _open_at_any(
        self,
        ask: AskMessage,
        first: HoldRequest,
    ) -> Opened | None:
        """Open a stream with the VM that answers first in rank."""
        for owner in self._ranked(ask.service, ask.shard):
            call = self._call(owner)
            if await self._acknowledged(call, first):
                return Opened(call, owner)
            self._note_silent(ask, owner)
            self._avoid_for_now(owner)
        return None

    def _ranked(self, service: str, shard: int) -> list[Member]:
        """Return owners in rank order, those just found dead last."""
        now = self._clock.monotonic()
        ranked = owners_of(service, shard, self._port.members())
        return sorted(
            ranked,
            key=lambda owner: self._avoid.get(owner.incarnation, 0) > now,
        )

    def _avoid_for_now(self, owner: Member) -> None:
        now = self._clock.monotonic()
        self._avoid = {
            incarnation: until
            for incarnation, until in self._avoid.items()
            if until > now
        }
        self._avoid[owner.incarnation] = now + AVOID_S

    def _call(self, owner: Member) -> Hold:
        endpoint = f'{owner.address}:{self._port.port}'
        stub = OwnerStub(self._port.channels.get(endpoint))
        call: Hold = stub.Hold()
        return call

    def _with_header(self, first: HoldRequest) -> HoldRequest:
        first.header.CopyFrom(self._port.headers.make())
        return first

    async def _acknowledged(self, call: Hold, first: HoldRequest) -> bool:
        reading = first_reply(call, self._with_header(first))
        reply = None
        try:
            reply = await within(ACK_TIMEOUT_S, reading)
        except TimeoutError:
            return False
        finally:
            if reply is None:
                call.cancel()
        return reply is not None

    async def _decided(
        self,
        ask: AskMessage,
        opened: Opened,
        deadline: float,
    ) -> HoldReply | None:
        """Wait for the owner's decision; None if it no longer counts."""
        reading = read_reply(opened.call)
        reply = None
        try:
            if ask.tier == min(Tier):
                reply = await self._until(reading, deadline)
            else:
                reply = await self._while_owner(
                    reading, ask, opened.owner, deadline
                )
        finally:
            # A grant that crosses with our giving up must not stay taken:
            # the cancelled stream gives it back.
            if reply is None or not reply.HasField('granted'):
                opened.call.cancel()
        return reply

    def _decision(
        self,
        ask: AskMessage,
        opened: Opened,
        reply: HoldReply,
    ) -> Result[Slot, Refused | Problem]:
        self._port.headers.observe(reply.header)
        if reply.HasField('granted'):
            return Ok(Slot(self, ask, reply.granted, opened))
        return Err(reply.refused)

    async def _until(
        self,
        reading: Reading,
        deadline: float,
    ) -> HoldReply | None:
        left_s = max(deadline - self._clock.monotonic(), 0)
        try:
            async with asyncio.timeout(left_s):
                return await reading
        except TimeoutError:
            return None

    async def _while_owner(
        self,
        reading: Reading,
        ask: AskMessage,
        owner: Member,
        deadline: float,
    ) -> HoldReply | None:
        """Wait for a reply while its sender is the shard's owner."""
        task = asyncio.create_task(reading)
        try:
            while not task.done() and self._is_owner(ask, owner):
                left_s = deadline - self._clock.monotonic()
                if left_s <= 0:
                    break
                wait_s = min(left_s, OWNER_CHECK_S)
                await asyncio.wait((task,), timeout=wait_s)
            return task.result() if task.done() else None
        finally:
            task.cancel()

    def _is_owner(self, ask: AskMessage, member: Member) -> bool:
        return self.owner_of(ask.service, ask.shard) == member.incarnation

    def _note_silent(self, ask: AskMessage, owner: Member) -> None:
        self._events.record(
            'owner_unreachable',
            ask.request_id,
            owner=owner.vm,
        )


def _no_owner(ask: AskMessage) -> Problem:
    return Problem(
        ErrorKind.PEER_UNAVAILABLE,
        f'no owner of {ask.service} shard {ask.shard} can be reached',
        'send it again after Retry-After',
    )


def _out_of_time() -> Refused:
    # A deadline that runs out in a queue is a request shed, so it is no more
    # final than an owner's refusal: the tier floor is asked for first.
    return Refused(
        reason='no slot came free before the deadline',
        retry_after_s=OUT_OF_TIME_RETRY_S,
        shed=True,
    )
