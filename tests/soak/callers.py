"""Callers that keep a connection to each VM until it breaks."""

import asyncio
import itertools
from collections.abc import Sequence
from random import Random
from typing import Final

from bramleybend.clock import Clock
from tests.direct.cluster import RawCaller, connect
from tests.soak.ledger import Ledger, RequestKind, SentRequest
from tests.soak.vms import SoakVm

DEADLINE_MS: Final = '2500'
ANSWER_TIMEOUT_S: Final = 4.0
PAUSE_RANGE_S: Final = (0.01, 0.12)
REQUEST_KINDS: Final = (
    RequestKind.READ,
    RequestKind.BOOK,
    RequestKind.DRAFT,
    RequestKind.CHECK,
    RequestKind.ADDED,
)
REQUEST_WEIGHTS: Final = (3, 3, 2, 3, 4)


class SoakCaller:
    """Sends requests one after another, over a kept connection per VM."""

    def __init__(
        self,
        number: int,
        vms: Sequence[SoakVm],
        ledger: Ledger,
        keys: Sequence[str],
        clock: Clock,
        rng: Random,
    ) -> None:
        """Choose one of the keys for each request."""
        self._number = number
        self._vms = vms
        self._ledger = ledger
        self._keys = keys
        self._clock = clock
        self._rng = rng
        self._conns: dict[str, RawCaller] = {}
        self._count = itertools.count()

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self.send(self._rng.choice(self._vms))
                await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))
        finally:
            for conn in self._conns.values():
                conn.close()

    async def send(self, vm: SoakVm) -> SentRequest:
        """Send one request to a VM and record its answer."""
        request = self._draw(vm)
        self._ledger.sent_requests[request.attempt] = request
        conn = self._conns.pop(vm.name, None)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                conn = conn or await connect(vm.host, vm.port)
                await self._exchange(conn, request)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            request.is_whole = False
            if conn is not None:
                conn.close()
        return request

    async def _exchange(self, conn: RawCaller, request: SentRequest) -> None:
        target = f'{request.kind}x'
        if request.kind is RequestKind.ADDED:
            target = f'{request.kind}{request.version}/x'
        await conn.send(
            target,
            key=request.key,
            attempt=request.attempt,
            X_Bramleybend_Deadline_Ms=DEADLINE_MS,
        )
        answer = await conn.answer(ANSWER_TIMEOUT_S)
        request.answered_at = self._clock.monotonic()
        request.status = answer.status
        request.body = answer.body
        request.is_whole = answer.is_whole
        if answer.is_whole and answer.headers.get('connection') != 'close':
            self._conns[request.vm] = conn
            return
        conn.close()

    def _draw(self, vm: SoakVm) -> SentRequest:
        attempt = f'c{self._number}-{next(self._count)}'
        kind = self._rng.choices(REQUEST_KINDS, REQUEST_WEIGHTS)[0]
        versions = tuple(self._ledger.accepted_at)
        version = self._rng.choice(versions[-3:]) if versions else 0
        if kind is RequestKind.ADDED and not version:
            kind = RequestKind.READ
        if kind is not RequestKind.ADDED:
            version = 0
        now = self._clock.monotonic()
        key = self._rng.choice(self._keys)
        return SentRequest(attempt, kind, vm.name, key, now, version)
