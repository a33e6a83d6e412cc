"""Fault injection for the stand-ins, set by tests at run time."""

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
    """The faults that all stand-ins have; subclasses add further ones."""

    down: bool = False  # all calls are answered with 503
    hang: bool = False  # calls wait until this is cleared
    slow_ms: float = 0
    refuse_connections_s: float = 0  # reset to 0 once it has started

    def update(self, **changes: Any) -> None:
        """Set the given faults and leave the others unchanged."""
        known = {field.name for field in fields(self)}
        unknown = set(changes) - known
        if unknown:
            raise ValueError(f'unknown faults {unknown}; use {sorted(known)}')
        for name, value in changes.items():
            setattr(self, name, value)


class FaultSampler:
    """Decides whether a fault occurs.

    The value of a fault is a count if it is 1 or more, else a probability.
    """

    def __init__(self, rng: Random) -> None:
        """Draw from `rng`, so that the same seed repeats the faults."""
        self._rng = rng

    def should_occur(self, faults: Faults, name: str) -> bool:
        """Return whether the fault occurs now; this decrements a count."""
        count_or_probability = float(getattr(faults, name))
        if count_or_probability >= 1:
            setattr(faults, name, count_or_probability - 1)
            return True
        return (
            count_or_probability > 0
            and self._rng.random() < count_or_probability
        )


class FaultyServer:
    """An HTTP server whose faults are set through `POST /faults`."""

    def __init__(
        self,
        host: str,
        port: int,
        faults: Faults,
        handler: Handler,
    ) -> None:
        """Serve `handler`, subject to `faults`."""
        self.http = HttpServer(host, port, self._handle)
        self._faults = faults
        self._handler = handler
        self._refusal_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        await self.http.start()

    async def stop(self) -> None:
        """Stop listening; an ongoing `refuse_for` is cancelled."""
        if self._refusal_task is not None:
            self._refusal_task.cancel()
        await self.http.stop()

    def refuse_for(self, seconds: float) -> None:
        """Close all connections and refuse new ones for some seconds."""
        self._refusal_task = asyncio.create_task(self.http.refuse_for(seconds))

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/faults':
            return self._set_faults(req)
        if req.path not in CONTROL_PATHS:
            await self._apply_delays()
            if self._faults.down:
                return json_response(
                    {'error': 'down'},
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    **{'X-Not-Run': '1'},
                )
        return await self._handler(req)

    async def _apply_delays(self) -> None:
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
