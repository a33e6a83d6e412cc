"""Client of shard owners: asks for a slot and waits for the decision."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

from result import Err, Ok, Result

from bramleybend.clock import Clock
from bramleybend.decisions.ownership import rank_owners
from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EventLog
from bramleybend.gateway.hold_stream import (
    HoldCall,
    HoldStream,
    read_reply,
    send_and_read_reply,
)
from bramleybend.gateway.slot import Slot
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

# An owner replies `queued` at once, unless it is frozen or unreachable. For
# the highest tier, which any VM may grant, the next VM in rank is asked then.
ACK_TIMEOUT_S: Final = 0.8
AVOID_UNREACHABLE_S: Final = 3.0
OWNER_CHECK_INTERVAL_S: Final = 0.2
REOPEN_DELAY_S: Final = 0.1
DEADLINE_RETRY_AFTER_S: Final = 1.0

ListMembers: TypeAlias = Callable[[], Sequence[Member]]
ReplyRead: TypeAlias = Coroutine[Any, Any, HoldReply | None]


@dataclass(frozen=True)
class OwnerRpc:
    """How to reach owners: members, channels and message headers."""

    channels: Channels
    port: int
    members: ListMembers
    headers: Headers


class SlotClient:
    """Acquires slots from the owners of shards."""

    def __init__(
        self,
        rpc: OwnerRpc,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Start with every owner presumed reachable."""
        self._rpc = rpc
        self._clock = clock
        self._events = events
        self._avoided_until: dict[str, float] = {}

    async def acquire(
        self,
        ask: AskMessage,
        deadline: float,
    ) -> Result[Slot, Refused | Problem]:
        """Wait for a slot until `deadline` on the monotonic clock.

        `Refused` is the owner's decision, or means that the deadline passed;
        a `Problem` means that no owner could be reached.
        """
        while self._clock.monotonic() < deadline:
            stream = await self._open(ask, deadline)
            if stream is None:
                return Err(self._open_failure(ask, deadline))
            reply = await self._wait_for_decision(ask, stream, deadline)
            if reply is not None:
                return self._make_result(ask, stream, reply)
        return Err(_deadline_refusal())

    async def open_at_owner(
        self,
        ask: AskMessage,
        first_message: HoldRequest,
        deadline: float,
    ) -> HoldStream | None:
        """Open a stream with the shard's owner; None after the deadline.

        Below the highest tier only the owner's grants are valid. A slow or
        paused owner is therefore waited for until it replies or the view of
        the members names a new owner.
        """
        started_at = self._clock.monotonic()
        unreachable_incarnation = ''
        while self._clock.monotonic() < deadline:
            owner = self.find_owner(ask.service, ask.shard)
            if owner is not None:
                stream = await self._open_stream(
                    ask, first_message, owner, deadline
                )
                if stream is not None:
                    return stream
                if owner.incarnation != unreachable_incarnation:
                    self._record_unreachable(ask, owner)
                unreachable_incarnation = owner.incarnation
            await asyncio.sleep(REOPEN_DELAY_S)
            if first_message.HasField('ask'):
                waited_s = self._clock.monotonic() - started_at
                first_message.ask.timeout_s = max(ask.timeout_s - waited_s, 0)
        return None

    def find_owner(self, service: str, shard: int) -> Member | None:
        """Return the shard's owner according to the current member view."""
        ranked = rank_owners(service, shard, self._rpc.members())
        return ranked[0] if ranked else None

    def owner_incarnation(self, service: str, shard: int) -> str:
        """Return the current owner's incarnation; empty without an owner."""
        owner = self.find_owner(service, shard)
        return owner.incarnation if owner else ''

    async def _open(
        self, ask: AskMessage, deadline: float
    ) -> HoldStream | None:
        first_message = HoldRequest(ask=ask)
        if ask.tier == min(Tier):
            return await self._open_at_any(ask, first_message)
        if self.find_owner(ask.service, ask.shard) is None:
            return None
        return await self.open_at_owner(ask, first_message, deadline)

    async def _open_stream(
        self,
        ask: AskMessage,
        first_message: HoldRequest,
        owner: Member,
        deadline: float,
    ) -> HoldStream | None:
        call = self._start_call(owner)
        reading = send_and_read_reply(call, self._with_header(first_message))
        reply = None
        try:
            reply = await self._read_while_owner(reading, ask, owner, deadline)
        finally:
            if reply is None:
                call.cancel()
        return None if reply is None else HoldStream(call, owner)

    def _open_failure(
        self, ask: AskMessage, deadline: float
    ) -> Refused | Problem:
        in_time = self._clock.monotonic() < deadline
        return _no_owner_problem(ask) if in_time else _deadline_refusal()

    async def _open_at_any(
        self,
        ask: AskMessage,
        first_message: HoldRequest,
    ) -> HoldStream | None:
        """Open a stream with the first VM in rank order that replies."""
        for owner in self._rank_owners(ask.service, ask.shard):
            call = self._start_call(owner)
            if await self._send_and_await_ack(call, first_message):
                return HoldStream(call, owner)
            self._record_unreachable(ask, owner)
            self._avoid_owner(owner)
        return None

    def _rank_owners(self, service: str, shard: int) -> list[Member]:
        """Return members by rank; those that just failed to reply come last."""
        now = self._clock.monotonic()
        ranked = rank_owners(service, shard, self._rpc.members())
        return sorted(
            ranked,
            key=lambda owner: (
                self._avoided_until.get(owner.incarnation, 0) > now
            ),
        )

    def _avoid_owner(self, owner: Member) -> None:
        now = self._clock.monotonic()
        self._avoided_until = {
            incarnation: until
            for incarnation, until in self._avoided_until.items()
            if until > now
        }
        self._avoided_until[owner.incarnation] = now + AVOID_UNREACHABLE_S

    def _start_call(self, owner: Member) -> HoldCall:
        endpoint = f'{owner.address}:{self._rpc.port}'
        stub = OwnerStub(self._rpc.channels.get(endpoint))
        call: HoldCall = stub.Hold()
        return call

    def _with_header(self, first_message: HoldRequest) -> HoldRequest:
        first_message.header.CopyFrom(self._rpc.headers.make())
        return first_message

    async def _send_and_await_ack(
        self, call: HoldCall, first_message: HoldRequest
    ) -> bool:
        reading = send_and_read_reply(call, self._with_header(first_message))
        reply = None
        try:
            reply = await within(ACK_TIMEOUT_S, reading)
        except TimeoutError:
            return False
        finally:
            if reply is None:
                call.cancel()
        return reply is not None

    async def _wait_for_decision(
        self,
        ask: AskMessage,
        stream: HoldStream,
        deadline: float,
    ) -> HoldReply | None:
        """Wait for the owner's decision; None if it is late or invalid.

        It is invalid if the sender lost the shard or its stream broke.
        """
        reading = read_reply(stream.call)
        reply = None
        try:
            if ask.tier == min(Tier):
                reply = await self._read_until(reading, deadline)
            else:
                reply = await self._read_while_owner(
                    reading, ask, stream.owner, deadline
                )
        finally:
            # The owner may send a grant just as the gateway stops waiting.
            # Cancelling the stream frees that slot.
            if reply is None or not reply.HasField('granted'):
                stream.call.cancel()
        return reply

    def _make_result(
        self,
        ask: AskMessage,
        stream: HoldStream,
        reply: HoldReply,
    ) -> Result[Slot, Refused | Problem]:
        self._rpc.headers.observe(reply.header)
        if reply.HasField('granted'):
            return Ok(Slot(self, ask, reply.granted, stream))
        return Err(reply.refused)

    async def _read_until(
        self,
        reading: ReplyRead,
        deadline: float,
    ) -> HoldReply | None:
        left_s = max(deadline - self._clock.monotonic(), 0)
        try:
            async with asyncio.timeout(left_s):
                return await reading
        except TimeoutError:
            return None

    async def _read_while_owner(
        self,
        reading: ReplyRead,
        ask: AskMessage,
        owner: Member,
        deadline: float,
    ) -> HoldReply | None:
        """Wait for a reply while the sender is still the shard's owner."""
        task = asyncio.create_task(reading)
        try:
            while not task.done() and self._is_owner(ask, owner):
                left_s = deadline - self._clock.monotonic()
                if left_s <= 0:
                    break
                wait_s = min(left_s, OWNER_CHECK_INTERVAL_S)
                await asyncio.wait((task,), timeout=wait_s)
            return task.result() if task.done() else None
        finally:
            task.cancel()

    def _is_owner(self, ask: AskMessage, member: Member) -> bool:
        return (
            self.owner_incarnation(ask.service, ask.shard) == member.incarnation
        )

    def _record_unreachable(self, ask: AskMessage, owner: Member) -> None:
        self._events.record(
            'owner_unreachable',
            ask.request_id,
            owner=owner.vm,
        )


def _no_owner_problem(ask: AskMessage) -> Problem:
    return Problem(
        ErrorKind.PEER_UNAVAILABLE,
        f'no owner of {ask.service} shard {ask.shard} can be reached',
        'send it again after Retry-After',
    )


def _deadline_refusal() -> Refused:
    # A request whose deadline passes in a queue is shed, so the tier floor
    # must allow it first, as with a refusal by the owner.
    return Refused(
        reason='no slot came free before the deadline',
        retry_after_s=DEADLINE_RETRY_AFTER_S,
        shed=True,
    )
