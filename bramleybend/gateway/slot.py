"""A granted slot that a gateway holds for one run.

Each request has a stream to the shard's owner, and the slot is held while the
stream is open. If the gateway dies, its streams close and the owner frees the
slots. If the owner dies, the runs continue and the gateway registers them with
the new owner, which would otherwise take the runners for idle.
"""

import asyncio
from contextlib import suppress
from math import inf
from typing import Final, Protocol

import grpc

from bramleybend.gateway.hold_stream import HoldStream, read_reply
from bramleybend.wire.bramleybend_pb2 import (
    Adopt,
    AskMessage,
    Ended,
    FirstToken,
    Granted,
    HoldRequest,
)

ADOPT_RETRY_S: Final = 0.3
OWNER_TIMEOUT_S: Final = 1.0
CRASH_REPORT_TIMEOUT_S: Final = 10.0
CACHED_TOKENS_UNKNOWN: Final = -1  # engines report cached tokens at the end


class OwnerStreams(Protocol):
    """Opens streams with the owners of shards."""

    async def open_at_owner(
        self,
        ask: AskMessage,
        first_message: HoldRequest,
        deadline: float,
    ) -> HoldStream | None:
        """Open a stream with the owner; None once the deadline passed."""


class Slot:
    """A granted slot; held until `release`, also across a change of owner."""

    def __init__(
        self,
        owners: OwnerStreams,
        ask: AskMessage,
        granted: Granted,
        stream: HoldStream,
    ) -> None:
        """Take over the stream on which the grant came."""
        self.runner = granted.runner
        self.endpoint = granted.endpoint
        self.owner_incarnation = stream.owner.incarnation
        self.service = ask.service
        self.shard = ask.shard
        self.preempted = asyncio.Event()
        self._owner_streams = owners
        self._ask = ask
        self._call = stream.call
        self._is_ending = False
        self._reply_task = asyncio.create_task(self._read_replies())

    async def report_first_token(self, prompt_tokens: int) -> None:
        """Report to the owner that the prefill has ended."""
        await self._send(
            HoldRequest(
                first_token=FirstToken(
                    prompt_tokens=prompt_tokens,
                    cached_tokens=CACHED_TOKENS_UNKNOWN,
                ),
            ),
        )

    async def release(self, ended: Ended) -> None:
        """Release the slot and report how the run ended.

        If the owner missed a crash, report it to the present owner.
        """
        self._is_ending = True
        if not await self._report_end(ended) and ended.runner_crashed:
            await self._report_crash_to_new_owner(ended)

    async def _report_end(self, ended: Ended) -> bool:
        """Send the run's end; return whether the owner has read it."""
        call = self._call
        await self._send(HoldRequest(ended=ended))
        # The owner ends the stream when it has read the message. If it is dead
        # or frozen, closing the stream frees the slot, but the report is
        # lost. A crash report is therefore waited for longer, and repeated to
        # the present owner if the first one missed it.
        is_crash_report = ended.runner_crashed
        wait_s = CRASH_REPORT_TIMEOUT_S if is_crash_report else OWNER_TIMEOUT_S
        done, _ = await asyncio.wait((self._reply_task,), timeout=wait_s)
        self._reply_task.cancel()
        self._call.cancel()
        if not done or call is not self._call:
            return False
        return await call.code() is grpc.StatusCode.OK

    async def _report_crash_to_new_owner(self, ended: Ended) -> None:
        """Report to the present owner a crash that the previous one missed."""
        adopt = HoldRequest(adopt=Adopt(ask=self._ask, runner=self.runner))
        with suppress(TimeoutError):
            async with asyncio.timeout(CRASH_REPORT_TIMEOUT_S):
                stream = await self._owner_streams.open_at_owner(
                    self._ask, adopt, inf
                )
                if stream is None:
                    return
                self._call = stream.call
                await self._send(HoldRequest(ended=ended))
                await read_reply(self._call)
        self._call.cancel()

    async def _send(self, message: HoldRequest) -> None:
        with suppress(
            grpc.aio.AioRpcError,
            asyncio.InvalidStateError,
            TimeoutError,
        ):
            async with asyncio.timeout(OWNER_TIMEOUT_S):
                await self._call.write(message)

    async def _read_replies(self) -> None:
        while not self._is_ending:
            reply = await read_reply(self._call)
            if reply is None and not self._is_ending:
                await self._register_with_owner()
            elif reply is not None and reply.HasField('preempted'):
                self.preempted.set()

    async def _register_with_owner(self) -> None:
        """Register the run with the shard's present owner, until that succeeds.

        It is not registered with any other VM, as the owner would not see it.
        """
        adopt = HoldRequest(adopt=Adopt(ask=self._ask, runner=self.runner))
        stream = None
        while stream is None:
            await asyncio.sleep(ADOPT_RETRY_S)
            stream = await self._owner_streams.open_at_owner(
                self._ask, adopt, inf
            )
        self._call = stream.call
