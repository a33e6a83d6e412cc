"""Serves address resolution, the readiness check and metrics over HTTP."""

import json
from collections.abc import Callable, Sequence
from http import HTTPStatus
from random import Random
from typing import Final

from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.responder import Responder

RESOLVE_PATH: Final = '/resolve'
READY_PATH: Final = '/readyz'
METRICS_PATH: Final = '/metrics'
# How long callers may cache addresses. Short, so that they soon stop using a
# VM that shuts down; a response costs little.
ADDRESS_TTL_S: Final = 1
MAX_ADDRESSES: Final = 64


class Directory:
    """Handles requests for addresses, readiness and metrics."""

    def __init__(
        self,
        caller_endpoints: Callable[[], Sequence[str]],
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        rng: Random,
    ) -> None:
        """Respond with what these callbacks of the process return."""
        self._caller_endpoints = caller_endpoints
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._rng = rng

    async def handle(self, req: RawRequest, responder: Responder) -> None:
        """Respond to one request."""
        await responder.send_reply(self.make_reply(req.path))

    def make_reply(self, path: str) -> Reply:
        """Return the response to a request for a path."""
        if path == READY_PATH:
            return self._readiness_reply()
        if path == RESOLVE_PATH:
            return self._addresses_reply()
        if path == METRICS_PATH:
            headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
            return Reply(HTTPStatus.OK, headers, self._render_metrics())
        return own_reply(
            HTTPStatus.NOT_FOUND, 'call /resolve, /readyz or /metrics'
        )

    def _readiness_reply(self) -> Reply:
        if self._is_ready():
            return Reply(HTTPStatus.OK)
        return own_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'not ready')

    def _addresses_reply(self) -> Reply:
        caller_endpoints = self._caller_endpoints()
        if not caller_endpoints:
            return own_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'no VM is ready')
        # Callers read only so many addresses. In a fixed order, the first
        # VMs would get all callers and the last failure domain none.
        chosen = self._rng.sample(
            caller_endpoints, min(len(caller_endpoints), MAX_ADDRESSES)
        )
        body = {'addresses': chosen, 'ttlS': ADDRESS_TTL_S}
        headers = [(b'Content-Type', b'application/json')]
        return Reply(HTTPStatus.OK, headers, json.dumps(body).encode())
