"""Stand-in for a plain service, which records the calls that it ran."""

import asyncio
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from random import Random

from tests.utils.expected_answers import content_hash, expected_body
from tests.utils.faults import MILLISECONDS, Faults, FaultSampler, FaultyServer
from tests.utils.http_server import (
    DropConnectionError,
    HttpRequest,
    HttpResponse,
    json_response,
)
from tests.utils.standin_program import parser, run


@dataclass
class PlainFaults(Faults):
    """Faults of a plain service.

    `die_after_effect` runs a call and drops its connection unanswered.
    """

    die_after_effect: float = 0  # count if 1 or more, else a probability


@dataclass(frozen=True)
class Call:
    """One call that was run."""

    run_id: str
    body_hash: str
    at: float = field(default_factory=time.time)


class PlainService:
    """Runs each call for `latency_ms`, up to `slots` at once."""

    def __init__(
        self,
        host: str,
        port: int,
        seed: int = 0,
        latency_ms: float = 20,
        slots: int = 64,
    ) -> None:
        """Set the address; `start` binds it."""
        self.faults = PlainFaults()
        self.server = FaultyServer(host, port, self.faults, self._handle)
        self.calls: list[Call] = []
        self.running = 0
        self._latency_s = latency_ms / MILLISECONDS
        self._slots = slots
        self._fault_sampler = FaultSampler(Random(seed))

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return self.server.http.url

    async def start(self) -> None:
        """Listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop()

    def runs_of(self) -> Counter[str]:
        """Count the runs of each body hash."""
        return Counter(call.body_hash for call in self.calls)

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/calls':
            return json_response([asdict(call) for call in self.calls])
        if req.path != '/call':
            return json_response({}, HTTPStatus.NOT_FOUND)
        if self.running >= self._slots:
            return json_response(
                {'error': 'busy'},
                HTTPStatus.TOO_MANY_REQUESTS,
                **{'X-Not-Run': '1'},
            )
        return await self._run(req)

    async def _run(self, req: HttpRequest) -> HttpResponse:
        # Recorded first, as a call whose connection breaks midway also ran.
        run_id = req.headers['x-run-id']
        self.calls.append(Call(run_id, content_hash(req.body)))
        self.running += 1
        try:
            await asyncio.sleep(self._latency_s)
        finally:
            self.running -= 1
        if self._fault_sampler.should_occur(self.faults, 'die_after_effect'):
            raise DropConnectionError
        return HttpResponse(
            body=expected_body(req.body),
            headers={'Content-Type': 'application/json'},
        )


def main() -> None:
    """Run the plain service as a program."""
    flags = parser('Stand-in plain service')
    flags.add_argument('--latency-ms', type=float, default=20)
    flags.add_argument('--slots', type=int, default=64)
    cfg = flags.parse_args()
    run(
        lambda: PlainService(
            cfg.host,
            cfg.port,
            cfg.seed,
            cfg.latency_ms,
            cfg.slots,
        ),
    )


if __name__ == '__main__':
    main()
