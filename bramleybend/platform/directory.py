"""Answers callers that ask where to connect, and the platform's own checks."""

import json
from collections.abc import Callable, Sequence
from http import HTTPStatus
from random import Random
from typing import Final

from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.responder import Responder

RESOLVE: Final = '/resolve'
READY: Final = '/readyz'
METRICS: Final = '/metrics'
# Short, so that callers soon leave a VM that stops; each answer is cheap.
LIFETIME_S: Final = 1
MOST_ADDRESSES: Final = 64


class Directory:
    """Serves both small interfaces."""

    def __init__(
        self,
        fronts: Callable[[], Sequence[str]],
        is_ready: Callable[[], bool],
        metrics: Callable[[], bytes],
        rng: Random,
    ) -> None:
        """Answer by what the process knows."""
        self._fronts = fronts
        self._is_ready = is_ready
        self._metrics = metrics
        self._rng = rng

    async def handle(self, req: RawRequest, responder: Responder) -> None:
        """Answer one call."""
        await responder.send_reply(self.answer(req.path))

    def answer(self, path: str) -> Reply:
        """Return the answer to a call of a path."""
        if path == READY:
            return self._ready()
        if path == RESOLVE:
            return self._addresses()
        if path == METRICS:
            headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
            return Reply(HTTPStatus.OK, headers, self._metrics())
        return own_reply(
            HTTPStatus.NOT_FOUND, 'call /resolve, /readyz or /metrics'
        )

    def _ready(self) -> Reply:
        if self._is_ready():
            return Reply(HTTPStatus.OK)
        return own_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'not ready')

    def _addresses(self) -> Reply:
        fronts = self._fronts()
        if not fronts:
            return own_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'no VM is ready')
        # Callers read no more than so many: the first of all in order would
        # take all callers, and the VMs of the last domain none.
        chosen = self._rng.sample(fronts, min(len(fronts), MOST_ADDRESSES))
        body = {'addresses': chosen, 'ttlS': LIFETIME_S}
        headers = [(b'Content-Type', b'application/json')]
        return Reply(HTTPStatus.OK, headers, json.dumps(body).encode())
