"""Faults that a test sets on a stand-in while it runs."""

import asyncio
from dataclasses import dataclass, fields
from http import HTTPStatus
from random import Random
from typing import Any, Final

from tests.utils.http_server import (
    DropConnectionError,
    Handler,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)

MILLISECONDS: Final = 1000
CONTROL_PATHS: Final = ('/faults', '/stats', '/runs', '/calls')


@dataclass
class Faults:
    """Faults every stand-in knows; those of one kind add their own."""

    down: bool = False  # every call gets 503
    hang: bool = False  # calls get no answer until this is cleared
    slow_ms: float = 0
    refuse_connections_s: float = 0  # once, for this long

    def update(self, **changes: Any) -> None:
        """Set some of the faults; the others stay as they are."""
        known = {field.name for field in fields(self)}
        unknown = set(changes) - known
        if unknown:
            raise ValueError(f'unknown faults {unknown}; use {sorted(known)}')
        for name, value in changes.items():
            setattr(self, name, value)


class Chance:
    """A fault that strikes: a count if 1 or more, else a probability."""

    def __init__(self, rng: Random) -> None:
        """Draw from `rng`, so that a seed gives the same faults again."""
        self._rng = rng

    def strikes(self, faults: Faults, name: str) -> bool:
        """Say whether the fault strikes now; a count goes down by one."""
        amount = float(getattr(faults, name))
        if amount >= 1:
            setattr(faults, name, amount - 1)
            return True
        return amount > 0 and self._rng.random() < amount


class FaultyServer:
    """An HTTP server whose faults are set through `POST /faults`."""

    def __init__(
        self,
        host: str,
        port: int,
        faults: Faults,
        handler: Handler,
    ) -> None:
        """Serve `handler` behind `faults`."""
        self.http = HttpServer(host, port, self._handle)
        self._faults = faults
        self._handler = handler
        self._refusal: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        await self.http.start()

    async def stop(self) -> None:
        """Stop, also a refusal under way."""
        if self._refusal is not None:
            self._refusal.cancel()
        await self.http.stop()

    def refuse_for(self, seconds: float) -> None:
        """Drop all connections and refuse new ones for a while."""
        self._refusal = asyncio.create_task(self.http.refuse_for(seconds))

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/faults':
            return self._set_faults(req)
        if req.path not in CONTROL_PATHS:
            await self._delay()
            if self._faults.down:
                return json_response(
                    {'error': 'down'},
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    **{'X-Not-Run': '1'},
                )
        return await self._handler(req)

    async def _delay(self) -> None:
        while self._faults.hang:
            await asyncio.sleep(0.02)
        if self._faults.slow_ms:
            await asyncio.sleep(self._faults.slow_ms / MILLISECONDS)

    def _set_faults(self, req: HttpRequest) -> HttpResponse:
        self._faults.update(**req.json())
        seconds = self._faults.refuse_connections_s
        if seconds:
            self._faults.refuse_connections_s = 0
            self.refuse_for(seconds)
            raise DropConnectionError
        return json_response(vars(self._faults))
