"""What an operator asks of one process: status, explain, drain."""

import json
import math
from collections.abc import Awaitable
from typing import Annotated, Any, Final, Protocol, TypeVar

from grpc import StatusCode, aio
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)
from result import Err, Ok, Result

from bramleybend.cli.constants import CALL_TIMEOUT_S
from bramleybend.errors import ErrorKind, Problem
from bramleybend.wire.bramleybend_pb2 import (
    DrainRequest,
    ExplainRequest,
    StatusRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import ControlStub
from bramleybend.wire.channels import CHANNEL_OPTIONS

Reply = TypeVar('Reply')
REFUSED: Final = 'Connection refused'


def _known(age: float | None) -> float | None:
    """Read an endless age as none; JSON has no word for it."""
    return age if age is not None and math.isfinite(age) else None


Age = Annotated[float | None, AfterValidator(_known)]


class ShardStatus(BaseModel):
    """One shard as a process sees it."""

    service: str
    shard: int
    owner: str = ''
    running: int = 0
    waiting: int = 0
    limit: int = 0


class ProcessStatus(BaseModel):
    """What one process says of itself; docs/operators/CTL.md explains it.

    Unknown keys are let through, so that a newer process can say more.
    """

    model_config = ConfigDict(extra='allow')

    process: str = ''
    vm: str = ''
    incarnation: str = ''
    domain: str = ''
    terms_version: int = 0
    terms_age_s: Age = None
    log_ok: bool | None = None
    list_ok: bool | None = None
    draining: bool = False
    members: list[Any] = Field(default_factory=list)
    shards: list[ShardStatus] = Field(default_factory=list)
    runners: list[Any] = Field(default_factory=list)
    queues: dict[str, int] = Field(default_factory=dict)
    in_flight: int = 0


class ControlClient(Protocol):
    """Talks to one process."""

    async def status(self) -> Result[ProcessStatus, Problem]:
        """Return what the process says of itself."""

    async def explain(self, request_id: str) -> Result[list[str], Problem]:
        """Return the event lines that the process kept of a request."""

    async def drain(self) -> Result[None, Problem]:
        """Tell the process to take nothing new."""


class GrpcControl:
    """Calls `Control` by gRPC, with a channel for each call."""

    def __init__(self, endpoint: str) -> None:
        """Name the process by `ip:port`."""
        self._endpoint = endpoint

    async def status(self) -> Result[ProcessStatus, Problem]:
        """Return what the process says of itself."""
        async with self._channel() as channel:
            call = ControlStub(channel).Status(
                StatusRequest(),
                timeout=CALL_TIMEOUT_S,
            )
            reply = await self._ask(call)
        return reply.and_then(lambda said: self._parse(said.json))

    async def explain(self, request_id: str) -> Result[list[str], Problem]:
        """Return the event lines that the process kept of a request."""
        async with self._channel() as channel:
            call = ControlStub(channel).Explain(
                ExplainRequest(request_id=request_id),
                timeout=CALL_TIMEOUT_S,
            )
            reply = await self._ask(call)
        return reply.map(lambda said: list(said.events))

    async def drain(self) -> Result[None, Problem]:
        """Tell the process to take nothing new."""
        async with self._channel() as channel:
            call = ControlStub(channel).Drain(
                DrainRequest(),
                timeout=CALL_TIMEOUT_S,
            )
            reply = await self._ask(call)
        return reply.map(lambda _: None)

    def _channel(self) -> aio.Channel:
        return aio.insecure_channel(self._endpoint, options=CHANNEL_OPTIONS)

    async def _ask(self, call: Awaitable[Reply]) -> Result[Reply, Problem]:
        try:
            return Ok(await call)
        except aio.AioRpcError as exc:
            return Err(self._problem(exc))

    def _problem(self, exc: aio.AioRpcError) -> Problem:
        if exc.code() is StatusCode.DEADLINE_EXCEEDED:
            return Problem(
                ErrorKind.TIMEOUT,
                f'{self._endpoint} gave no answer in {CALL_TIMEOUT_S:g} s',
                'it may be busy or frozen; try again',
            )
        if exc.code() is StatusCode.UNAVAILABLE:
            return self._unreachable(exc.details() or '')
        return Problem(
            ErrorKind.PEER_VERSION,
            f'{self._endpoint} refused: {exc.details()}',
            'use the bramleybend-ctl of the release on that VM',
        )

    def _unreachable(self, details: str) -> Problem:
        # Only a closed port proves that the process has ended; without a
        # route to it, it may be at work. gRPC tells the two apart in words
        # alone; should they change, a drain waits too long, never too short.
        if REFUSED in details:
            return Problem(
                ErrorKind.PEER_UNAVAILABLE,
                f'nothing listens at {self._endpoint}',
                'see whether the process runs and the port is right',
            )
        return Problem(
            ErrorKind.TIMEOUT,
            f'{self._endpoint} cannot be reached',
            'see whether the network leads there; the process may be at work',
        )

    def _parse(self, text: str) -> Result[ProcessStatus, Problem]:
        try:
            return Ok(ProcessStatus.model_validate(json.loads(text)))
        except (ValidationError, ValueError):
            return Err(
                Problem(
                    ErrorKind.PEER_VERSION,
                    f'{self._endpoint} sent a status that cannot be read',
                    'use the bramleybend-ctl of the release on that VM',
                ),
            )


def make_control(endpoint: str) -> ControlClient:
    """Return a client of the process at `ip:port`."""
    return GrpcControl(endpoint)
