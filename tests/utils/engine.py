"""HTTP stand-in for a model engine."""

import asyncio
import os
import time
from collections import Counter, deque
from collections.abc import AsyncGenerator
from dataclasses import dataclass, fields
from http import HTTPStatus
from random import Random
from typing import Any, Final

from tests.utils.engine_batch import Batch, Run, RunState
from tests.utils.engine_cache import CacheFeed, PrefixCache
from tests.utils.engine_weights import Weights
from tests.utils.expected_answers import expected_text
from tests.utils.faults import MILLISECONDS, Faults, FaultSampler, FaultyServer
from tests.utils.http_server import (
    DropConnectionError,
    HttpRequest,
    HttpResponse,
    json_response,
)
from tests.utils.standin_program import parser, run

POISON: Final = 'POISON'
LOAD_SAMPLE_S: Final = 0.05
LOAD_SAMPLES: Final = 400
MAX_STREAM_CUTS: Final = 2  # per run; more look like a dead engine


@dataclass
class EngineFaults(Faults):
    """Faults of an engine; the run of a cut stream continues."""

    slowdown: float = 1  # factor by which steps take longer
    cut_streams: float = 0  # count if 1 or more, else a probability
    lose_order_replies: float = 0  # accepted, but the connection breaks
    unloadable: str = ''  # version or adapter that fails to load


@dataclass(frozen=True)
class EngineConfig:
    """Capacity, lags and model of an engine; each field is also a flag."""

    slots: int = 8
    prefill_tps: float = 20_000
    decode_tps: float = 60
    cache_blocks: int = 2000
    max_waiting: int = 64
    load_lag_s: float = 0.5
    cache_lag_s: float = 0.5
    cache_drop: float = 0.1
    checks_fence: bool = False
    poison_exits: bool = False  # else it drops all runs and restarts
    restart_s: float = 0.5
    model: str = 'model-a'
    version: str = '1'
    load_s: float = 0.3


class Engine:
    """Runs requests in order of arrival, without priorities."""

    def __init__(
        self,
        host: str,
        port: int,
        seed: int = 0,
        cfg: EngineConfig | None = None,
    ) -> None:
        """Set the address; `start` binds it."""
        self.cfg = cfg or EngineConfig()
        self.faults = EngineFaults()
        self.server = FaultyServer(host, port, self.faults, self._handle)
        self.admitted: list[Run] = []  # kept over crashes, for test checks
        self.orders: list[dict[str, Any]] = []
        self.refused_orders: list[dict[str, Any]] = []
        self.weights = Weights(
            self.cfg.model,
            self.cfg.version,
            self.cfg.load_s,
        )
        rng = Random(seed)
        self._fault_sampler = FaultSampler(rng)
        self._feed = CacheFeed(rng, self.cfg.cache_lag_s, self.cfg.cache_drop)
        self.cache = PrefixCache(self.cfg.cache_blocks, self._feed)
        self.batch = Batch(
            self.cfg.slots,
            self.cfg.prefill_tps,
            self.cfg.decode_tps,
            self.cache,
        )
        self._known: dict[str, Run] = {}
        self._fence = 0
        self._load_samples: deque[tuple[float, int, int]] = deque(
            maxlen=LOAD_SAMPLES
        )
        self._load_samples.append((time.monotonic(), 0, 0))
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return self.server.http.url

    async def start(self) -> None:
        """Listen and start the batch and the load sampling."""
        await self.server.start()
        self._tasks = [
            asyncio.create_task(self.batch.run_forever(self._on_start)),
            asyncio.create_task(self._sample_load()),
        ]

    async def stop(self) -> None:
        """Stop the batch, the load sampling and the server."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.weights.stop()
        await self.server.stop()

    def crash(self) -> None:
        """Drop all runs, known run ids and the cache, then restart.

        The engine refuses connections for `restart_s`.
        """
        self.batch.crash()
        self._known.clear()
        self.cache.clear()
        self.server.refuse_for(self.cfg.restart_s)

    def runs_of(self) -> Counter[str]:
        """Count the admitted runs of each prompt hash."""
        return Counter(admitted.prompt_hash for admitted in self.admitted)

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        parts = req.path.strip('/').split('/')
        match (req.method, parts):
            case ('POST', ['v1', 'completions']):
                return await self._complete(req)
            case ('GET', ['v1', 'runs', run_id, 'events']):
                start = int(req.query.get('from', '0'))
                return self._resume(run_id, start)
            case ('POST', ['v1', 'runs', run_id, 'cancel']):
                return self._cancel(run_id)
            case ('POST', ['v1', 'orders']):
                return self._accept_order(req.json())
            case ('GET', _):
                return self._handle_get(req)
        return json_response({}, HTTPStatus.NOT_FOUND)

    def _handle_get(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/v1/load':
            return json_response(self._lagged_load())
        if req.path == '/v1/state':
            return json_response(self.weights.state())
        if req.path == '/v1/cache-events':
            start = int(req.query.get('from', '0'))
            return json_response(self._feed.read(start))
        if req.path == '/runs':
            return json_response(self._runs())
        return json_response({}, HTTPStatus.NOT_FOUND)

    async def _complete(self, req: HttpRequest) -> HttpResponse:
        body = req.json()
        run_id = req.headers['x-run-id']
        if run_id in self._known:
            return json_response(
                {'error': 'run id seen already'},
                HTTPStatus.CONFLICT,
            )
        if self.weights.loading:
            return json_response(
                {'error': 'loading'},
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
        if len(self.batch.waiting) >= self.cfg.max_waiting:
            return json_response(
                {'error': 'too many waiting'},
                HTTPStatus.TOO_MANY_REQUESTS,
            )
        admitted = Run(run_id, body['prompt'], int(body['max_tokens']))
        self._known[run_id] = admitted
        self.admitted.append(admitted)
        self.batch.add(admitted)
        if body.get('stream'):
            return self._stream(admitted, 0)
        return await self._respond_when_done(admitted)

    async def _respond_when_done(self, admitted: Run) -> HttpResponse:
        await admitted.wait_until_ended()
        if admitted.state is not RunState.DONE:
            raise DropConnectionError
        text = expected_text(admitted.prompt, admitted.max_tokens)
        return json_response({'text': text, 'usage': admitted.usage()})

    def _resume(self, run_id: str, start: int) -> HttpResponse:
        if run_id not in self._known:
            return json_response({}, HTTPStatus.NOT_FOUND)
        return self._stream(self._known[run_id], start)

    def _stream(self, admitted: Run, start: int) -> HttpResponse:
        return HttpResponse(
            headers={'Content-Type': 'text/event-stream'},
            stream=self._events(admitted, start),
        )

    async def _events(
        self, admitted: Run, start: int
    ) -> AsyncGenerator[bytes, None]:
        is_cut = (
            admitted.cuts < MAX_STREAM_CUTS
            and self._fault_sampler.should_occur(
                self.faults,
                'cut_streams',
            )
        )
        admitted.cuts += is_cut
        cut_at = start + (admitted.max_tokens - start) // 2
        index = start
        async for event in admitted.stream(start):
            if is_cut and index >= cut_at:
                raise DropConnectionError
            yield f'data: {event}\n\n'.encode()
            index += 1
        if admitted.state is RunState.CRASHED:
            raise DropConnectionError

    def _cancel(self, run_id: str) -> HttpResponse:
        known = self._known.get(run_id)
        if known is None:
            return json_response({}, HTTPStatus.NOT_FOUND)
        if known.is_live:
            self.batch.remove(known)
            known.finish(RunState.CANCELLED)
        return json_response({'state': known.state})

    def _accept_order(self, order: dict[str, Any]) -> HttpResponse:
        fence = int(order['fence'])
        if self.cfg.checks_fence and fence < self._fence:
            self.refused_orders.append(order)
            return json_response({'fence': self._fence}, HTTPStatus.CONFLICT)
        self._fence = max(self._fence, fence)
        self.orders.append(order)
        self.weights.execute_order(order, self.faults.unloadable)
        if self._fault_sampler.should_occur(self.faults, 'lose_order_replies'):
            raise DropConnectionError
        return json_response({'fence': self._fence})

    def _on_start(self, started: Run) -> None:
        self.batch.slowdown = self.faults.slowdown
        if POISON not in started.prompt:
            return
        if self.cfg.poison_exits:
            os._exit(1)
        self.crash()

    async def _sample_load(self) -> None:
        while True:
            await asyncio.sleep(LOAD_SAMPLE_S)
            self.batch.slowdown = self.faults.slowdown
            self._load_samples.append(
                (
                    time.monotonic(),
                    len(self.batch.running),
                    len(self.batch.waiting),
                ),
            )

    def _lagged_load(self) -> dict[str, int]:
        now = time.monotonic()
        visible = [
            load
            for load in self._load_samples
            if now - load[0] >= self.cfg.load_lag_s
        ]
        at, running, waiting = visible[-1] if visible else self._load_samples[0]
        return {
            'running': running,
            'waiting': waiting,
            'slots': self.cfg.slots,
            'age_ms': int((now - at) * MILLISECONDS),
        }

    def _runs(self) -> list[dict[str, object]]:
        times = Counter(admitted.run_id for admitted in self.admitted)
        return [
            {
                'run_id': admitted.run_id,
                'times': times[admitted.run_id],
                'outcome': admitted.state,
                'prompt_hash': admitted.prompt_hash,
            }
            for admitted in self.admitted
        ]


def main() -> None:
    """Run the engine as a program; each field of its config is a flag."""
    flags = parser('Stand-in engine')
    for option in fields(EngineConfig):
        name = f'--{option.name.replace("_", "-")}'
        if isinstance(option.default, bool):
            flags.add_argument(name, action='store_true')
        else:
            flags.add_argument(
                name,
                type=type(option.default),
                default=option.default,
            )
    args = vars(flags.parse_args())
    host, port, seed = (args.pop(name) for name in ('host', 'port', 'seed'))
    run(lambda: Engine(host, port, seed, EngineConfig(**args)))


if __name__ == '__main__':
    main()
