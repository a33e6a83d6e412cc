"""Asks shard owners for slots and holds them.

One stream a request: while it is open the slot is held, so a gateway that
dies gives its slots back without a message. When an owner dies instead, the
runs go on and are registered with the next owner, which would otherwise
think its runners idle.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Final, TypeAlias

import grpc
from result import Err, Ok, Result

from bramleybend.clock import Clock
from bramleybend.decisions.ownership import owners_of
from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EventLog
from bramleybend.state.member import Member
from bramleybend.wire.bramleybend_pb2 import (
    Adopt,
    AskMessage,
    Ended,
    FirstToken,
    Granted,
    HoldReply,
    HoldRequest,
    Refused,
)
from bramleybend.wire.bramleybend_pb2_grpc import OwnerStub
from bramleybend.wire.channels import Channels
from bramleybend.wire.headers import Headers

# An owner answers `queued` at once. One that does not is frozen or cut off;
# waiting longer would spend the caller's deadline on it.
ACK_TIMEOUT_S: Final = 0.8
AVOID_S: Final = 3.0
OUT_OF_TIME_RETRY_S: Final = 1.0
ADOPT_RETRY_S: Final = 0.3
LAST_CALL_TIMEOUT_S: Final = 1.0
UNKNOWN_YET: Final = -1  # engines tell what was cached at the end

Hold: TypeAlias = grpc.aio.StreamStreamCall[HoldRequest, HoldReply]
Members: TypeAlias = Callable[[], Sequence[Member]]


@dataclass(frozen=True)
class OwnerPort:
    """What is needed to speak to owners."""

    channels: Channels
    port: int
    members: Members
    headers: Headers


@dataclass(frozen=True)
class Opened:
    """A stream that its owner has answered."""

    call: Hold
    owner: Member


class Slot:
    """A granted slot; held until `end`, through the loss of its owner."""

    def __init__(
        self,
        asker: 'SlotAsker',
        ask: AskMessage,
        granted: Granted,
        opened: Opened,
    ) -> None:
        """Take over the stream on which the grant came."""
        self.runner = granted.runner
        self.endpoint = granted.endpoint
        self.owner = opened.owner.incarnation
        self.service = ask.service
        self.shard = ask.shard
        self.preempted = asyncio.Event()
        self._asker = asker
        self._ask = ask
        self._call = opened.call
        self._ending = False
        self._watch = asyncio.create_task(self._watch_owner())

    async def first_token(self, prompt_tokens: int) -> None:
        """Tell the owner that the prefill is over."""
        await self._send(
            HoldRequest(
                first_token=FirstToken(
                    prompt_tokens=prompt_tokens,
                    cached_tokens=UNKNOWN_YET,
                ),
            ),
        )

    async def end(self, ended: Ended) -> None:
        """Give the slot back with what was learned from the run."""
        self._ending = True
        await self._send(HoldRequest(ended=ended))
        # The owner ends the stream once it has read this. One that is gone
        # or frozen does not, and then the closed stream gives the slot back.
        await asyncio.wait((self._watch,), timeout=LAST_CALL_TIMEOUT_S)
        self._watch.cancel()
        self._call.cancel()

    async def _send(self, message: HoldRequest) -> None:
        with suppress(
            grpc.aio.AioRpcError,
            asyncio.InvalidStateError,
            TimeoutError,
        ):
            async with asyncio.timeout(LAST_CALL_TIMEOUT_S):
                await self._call.write(message)

    async def _watch_owner(self) -> None:
        while not self._ending:
            reply = await _read(self._call)
            if reply is None and not self._ending:
                await self._adopt()
            elif reply is not None and reply.HasField('preempted'):
                self.preempted.set()

    async def _adopt(self) -> None:
        """Register the run with whoever owns the shard now."""
        adopt = Adopt(ask=self._ask, runner=self.runner)
        while True:
            await asyncio.sleep(ADOPT_RETRY_S)
            opened = await self._asker.open(
                self._ask,
                HoldRequest(adopt=adopt),
            )
            if opened is not None:
                self._call = opened.call
                return


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
            opened = await self.open(ask, HoldRequest(ask=ask))
            if opened is None:
                return Err(_no_owner(ask))
            reply = await self._decided(opened.call, deadline)
            if reply is None:
                continue
            self._port.headers.observe(reply.header)
            if reply.HasField('granted'):
                return Ok(Slot(self, ask, reply.granted, opened))
            return Err(reply.refused)
        return Err(_out_of_time())

    async def open(
        self,
        ask: AskMessage,
        first: HoldRequest,
    ) -> Opened | None:
        """Open a stream with the owner that answers first in rank."""
        for owner in self.ranked(ask.service, ask.shard):
            call = await self._opened(owner, first)
            if call is not None:
                return Opened(call, owner)
            self._events.record(
                'owner_unreachable',
                ask.request_id,
                owner=owner.vm,
            )
            self._note_unreachable(owner)
        return None

    def owner_of(self, service: str, shard: int) -> str:
        """Return the incarnation that the present view makes the owner."""
        ranked = owners_of(service, shard, self._port.members())
        return ranked[0].incarnation if ranked else ''

    def ranked(self, service: str, shard: int) -> list[Member]:
        """Return owners in rank order, those just found dead last."""
        now = self._clock.monotonic()
        ranked = owners_of(service, shard, self._port.members())
        return sorted(
            ranked,
            key=lambda owner: self._avoid.get(owner.incarnation, 0) > now,
        )

    def _note_unreachable(self, owner: Member) -> None:
        now = self._clock.monotonic()
        self._avoid = {
            incarnation: until
            for incarnation, until in self._avoid.items()
            if until > now
        }
        self._avoid[owner.incarnation] = now + AVOID_S

    async def _opened(self, owner: Member, first: HoldRequest) -> Hold | None:
        endpoint = f'{owner.address}:{self._port.port}'
        stub = OwnerStub(self._port.channels.get(endpoint))
        call: Hold = stub.Hold()
        first.header.CopyFrom(self._port.headers.make())
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                await call.write(first)
                reply = await _read(call)
        except (TimeoutError, grpc.aio.AioRpcError):
            reply = None
        if reply is None:
            call.cancel()
            return None
        return call

    async def _decided(self, call: Hold, deadline: float) -> HoldReply | None:
        left_s = max(deadline - self._clock.monotonic(), 0)
        reply = None
        try:
            async with asyncio.timeout(left_s):
                reply = await _read(call)
        except TimeoutError:
            return None
        finally:
            # A grant that crosses with our giving up must not stay taken:
            # the cancelled stream gives it back.
            if reply is None or not reply.HasField('granted'):
                call.cancel()
        return reply


async def _read(call: Hold) -> HoldReply | None:
    try:
        reply = await call.read()
    except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
        return None
    return reply if isinstance(reply, HoldReply) else None


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
