"""What operators may ask of a serving program, over gRPC."""

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


class Process(Protocol):
    """A serving program, as operators see it."""

    def status(self) -> dict[str, object]:
        """Return the fields of docs/operators/CTL.md."""

    def drain(self) -> None:
        """Begin a planned stop, as SIGTERM does."""


class ControlService(ControlServicer):
    """Answers `bramleybend-ctl`."""

    def __init__(self, process: Process, events: EventLog) -> None:
        """Speak for one process."""
        self._process = process
        self._events = events

    async def Status(
        self,
        request: StatusRequest,
        context: Context,
    ) -> StatusReply:
        """Say how the process stands."""
        status = self._process.status()
        return StatusReply(json=json.dumps(status, default=str))

    async def Explain(
        self,
        request: ExplainRequest,
        context: Context,
    ) -> ExplainReply:
        """Return the kept events of one request."""
        return ExplainReply(events=self._events.of_request(request.request_id))

    async def Drain(
        self,
        request: DrainRequest,
        context: Context,
    ) -> DrainReply:
        """Begin a planned stop."""
        self._process.drain()
        return DrainReply()
