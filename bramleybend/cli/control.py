"""Client of a process's `Control` service: status, explain, drain."""

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
REFUSED_TEXT: Final = 'Connection refused'


def _finite_or_none(age: float | None) -> float | None:
    """Map an infinite age to `None`, because JSON can't represent it."""
    return age if age is not None and math.isfinite(age) else None


Age = Annotated[float | None, AfterValidator(_finite_or_none)]


class ShardStatus(BaseModel):
    """The state of one shard as reported by one process."""

    service: str
    shard: int
    owner: str = ''
    running: int = 0
    waiting: int = 0
    limit: int = 0


class ProcessStatus(BaseModel):
    """The status that a process reports; see docs/operators/CTL.md.

    Unknown keys are accepted, so that newer processes can report more.
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
    """Interface to the `Control` service of one process."""

    async def status(self) -> Result[ProcessStatus, Problem]:
        """Return the status of the process."""

    async def explain(self, request_id: str) -> Result[list[str], Problem]:
        """Return the event lines of a request that the process still keeps."""

    async def drain(self) -> Result[None, Problem]:
        """Start a graceful shutdown of the process."""


class GrpcControl:
    """Calls the `Control` service by gRPC, with a new channel for each call."""

    def __init__(self, endpoint: str) -> None:
        """Set the address of the process, `ip:port`."""
        self._endpoint = endpoint

    async def status(self) -> Result[ProcessStatus, Problem]:
        """Return the status of the process."""
        async with self._channel() as channel:
            call = ControlStub(channel).Status(
                StatusRequest(),
                timeout=CALL_TIMEOUT_S,
            )
            reply = await self._call(call)
        return reply.and_then(lambda message: self._parse_status(message.json))

    async def explain(self, request_id: str) -> Result[list[str], Problem]:
        """Return the event lines of a request that the process still keeps."""
        async with self._channel() as channel:
            call = ControlStub(channel).Explain(
                ExplainRequest(request_id=request_id),
                timeout=CALL_TIMEOUT_S,
            )
            reply = await self._call(call)
        return reply.map(lambda message: list(message.events))

    async def drain(self) -> Result[None, Problem]:
        """Start a graceful shutdown of the process."""
        async with self._channel() as channel:
            call = ControlStub(channel).Drain(
                DrainRequest(),
                timeout=CALL_TIMEOUT_S,
            )
            reply = await self._call(call)
        return reply.map(lambda _: None)

    def _channel(self) -> aio.Channel:
        return aio.insecure_channel(self._endpoint, options=CHANNEL_OPTIONS)

    async def _call(self, call: Awaitable[Reply]) -> Result[Reply, Problem]:
        try:
            return Ok(await call)
        except aio.AioRpcError as exc:
            return Err(self._make_problem(exc))

    def _make_problem(self, exc: aio.AioRpcError) -> Problem:
        if exc.code() is StatusCode.DEADLINE_EXCEEDED:
            return Problem(
                ErrorKind.TIMEOUT,
                f'{self._endpoint} gave no answer in {CALL_TIMEOUT_S:g} s',
                'it may be busy or frozen; try again',
            )
        if exc.code() is StatusCode.UNAVAILABLE:
            return self._make_unreachable_problem(exc.details() or '')
        return Problem(
            ErrorKind.PEER_VERSION,
            f'{self._endpoint} refused: {exc.details()}',
            'use the bramleybend-ctl of the release on that VM',
        )

    def _make_unreachable_problem(self, details: str) -> Problem:
        # Only a refused connection proves that the process has ended; a
        # process without a route to it may still be running. gRPC
        # distinguishes the two only by the text of the error. If that text
        # changes, a drain waits too long, but never ends too early.
        if REFUSED_TEXT in details:
            return Problem(
                ErrorKind.PEER_UNAVAILABLE,
                f'nothing listens at {self._endpoint}',
                'check that the process runs and that the port is right',
            )
        return Problem(
            ErrorKind.TIMEOUT,
            f'{self._endpoint} cannot be reached',
            'check the network; the process may still be running',
        )

    def _parse_status(self, text: str) -> Result[ProcessStatus, Problem]:
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
    """Return a gRPC client of the process at `ip:port`."""
    return GrpcControl(endpoint)
