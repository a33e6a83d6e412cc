"""The gRPC service through which operators query and drain a process."""

import json
from typing import Protocol

from bramleybend.events import EventLog
from bramleybend.wire.bramleybend_pb2 import (
    DrainReply,
    DrainRequest,
    ExplainReply,
    ExplainRequest,
    StatusReply,
    StatusRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import ControlServicer
from bramleybend.wire.protocol_check import Context


class ControllableProcess(Protocol):
    """The operations of a serving process that operators may call."""

    def status(self) -> dict[str, object]:
        """Return the status fields that docs/operators/CTL.md lists."""

    def drain(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""


class ControlService(ControlServicer):
    """Implements the `Control` service that `bramleybend-ctl` calls."""

    def __init__(self, process: ControllableProcess, events: EventLog) -> None:
        """Serve the status and the kept events of one process."""
        self._process = process
        self._events = events

    async def Status(
        self,
        request: StatusRequest,
        context: Context,
    ) -> StatusReply:
        """Return the status of the process as JSON."""
        status = self._process.status()
        return StatusReply(json=json.dumps(status, default=str))

    async def Explain(
        self,
        request: ExplainRequest,
        context: Context,
    ) -> ExplainReply:
        """Return the recent events of one request that are still in memory."""
        return ExplainReply(
            events=self._events.lines_of_request(request.request_id)
        )

    async def Drain(
        self,
        request: DrainRequest,
        context: Context,
    ) -> DrainReply:
        """Start a graceful shutdown."""
        self._process.drain()
        return DrainReply()
