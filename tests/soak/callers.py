"""Callers that keep their connections until the process is gone."""

import asyncio
import itertools
from collections.abc import Sequence
from random import Random
from typing import Final

from bramleybend.clock import Clock
from tests.direct.cluster import RawCaller, connect
from tests.soak.ledger import Ledger, Sent, Work
from tests.soak.vms import SoakVm

PATIENCE_MS: Final = '2500'
ANSWER_S: Final = 4.0
PAUSE_S: Final = (0.01, 0.12)
WORKS: Final = (Work.READ, Work.BOOK, Work.DRAFT, Work.CHECK, Work.ADDED)
WORK_WEIGHTS: Final = (3, 3, 2, 3, 4)


class SoakCaller:
    """Sends one request after the other, each VM on a kept connection."""

    def __init__(
        self,
        number: int,
        vms: Sequence[SoakVm],
        ledger: Ledger,
        keys: Sequence[str],
        clock: Clock,
        rng: Random,
    ) -> None:
        """Use one of the keys for each request."""
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
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        finally:
            for conn in self._conns.values():
                conn.close()

    async def send(self, vm: SoakVm) -> Sent:
        """Send one request to a VM and read what comes."""
        sent = self._draw(vm)
        self._ledger.sent[sent.attempt] = sent
        conn = self._conns.pop(vm.name, None)
        try:
            async with asyncio.timeout(ANSWER_S):
                conn = conn or await connect(vm.host, vm.port)
                await self._exchange(conn, sent)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            sent.whole = False
            if conn is not None:
                conn.close()
        return sent

    async def _exchange(self, conn: RawCaller, sent: Sent) -> None:
        target = f'{sent.work}x'
        if sent.work is Work.ADDED:
            target = f'{sent.work}{sent.version}/x'
        await conn.send(
            target,
            key=sent.key,
            attempt=sent.attempt,
            X_Bramleybend_Deadline_Ms=PATIENCE_MS,
        )
        answer = await conn.answer(ANSWER_S)
        sent.answered_at = self._clock.monotonic()
        sent.status = answer.status
        sent.body = answer.body
        sent.whole = answer.is_whole
        if answer.is_whole and answer.headers.get('connection') != 'close':
            self._conns[sent.vm] = conn
            return
        conn.close()

    def _draw(self, vm: SoakVm) -> Sent:
        attempt = f'c{self._number}-{next(self._count)}'
        work = self._rng.choices(WORKS, WORK_WEIGHTS)[0]
        versions = tuple(self._ledger.versions)
        version = self._rng.choice(versions[-3:]) if versions else 0
        if work is Work.ADDED and not version:
            work = Work.READ
        if work is not Work.ADDED:
            version = 0
        now = self._clock.monotonic()
        key = self._rng.choice(self._keys)
        return Sent(attempt, work, vm.name, key, now, version)
