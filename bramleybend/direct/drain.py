"""A planned stop: finishes or answers every request that this VM has read."""

import asyncio
from collections.abc import Callable
from typing import Final

from bramleybend.clock import Clock
from bramleybend.direct.ingress import Ingress
from bramleybend.direct.request_handler import RequestHandler
from bramleybend.events import EventLog

# Requests are accepted for this long. Callers cache an answer of the directory
# for up to three times its lifetime, and until then may send requests on open
# connections.
ACCEPT_REQUESTS_S: Final = 2.6
# New connections are accepted for this long, as callers may not have asked the
# directory again.
ACCEPT_CONNECTIONS_S: Final = 1.6
DRAIN_POLL_S: Final = 0.05
# Share of the time between the last accepted request and the end of a drain in
# which requests still get slots. The rest is left for their runs.
PLACE_SHARE: Final = 0.5
ANSWER_S: Final = 0.2  # for the answers to runs that outlast a drain
# A drain ends this long before the platform kills the process.
KILL_MARGIN_S: Final = 0.5


class Drain:
    """Ends the work of a VM that other VMs already know to be leaving."""

    def __init__(
        self,
        ingress: Ingress,
        request_handler: RequestHandler,
        is_busy: Callable[[], bool],
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Drain these; `is_busy` tells whether anybody is still served."""
        self._ingress = ingress
        self._request_handler = request_handler
        self._is_busy = is_busy
        self._clock = clock
        self._events = events

    async def run(self, timeout_s: float) -> None:
        """Drain within the time after which the process is killed."""
        drain_until = self._clock.monotonic() + timeout_s - KILL_MARGIN_S
        self._events.record('stopping', in_flight=self._ingress.busy_count)
        self._ingress.is_draining = True
        await asyncio.sleep(ACCEPT_CONNECTIONS_S)
        self._ingress.stop_listening()
        await asyncio.sleep(max(ACCEPT_REQUESTS_S - ACCEPT_CONNECTIONS_S, 0))
        left_s = max(drain_until - self._clock.monotonic(), 0)
        self._request_handler.shut_down(left_s * PLACE_SHARE)
        self._ingress.close_idle()
        await self._wait_while_busy(drain_until)
        self._request_handler.end_runs()
        await self._wait_while_busy(drain_until + ANSWER_S)
        self._events.record('stopped', in_flight=self._ingress.busy_count)

    async def _wait_while_busy(self, until: float) -> None:
        while self._is_busy() and self._clock.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_S)
