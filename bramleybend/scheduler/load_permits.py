"""Permits to load from the weight store, from the log's order alone."""

import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from bramleybend.clients.log_service import LogRecord
from bramleybend.metrics import Metric
from bramleybend.models import WeightStore
from bramleybend.scheduler.order_deps import OrderDeps, read_to_tail
from bramleybend.state.order_records import (
    LOADS_STREAM,
    LoadBegunRecord,
    LoadEndedRecord,
)
from bramleybend.state.order_rules import PERMIT_USE_S, WeightLoads


@dataclass(frozen=True)
class LoadPermit:
    """One load may begin, soon."""

    load_id: str
    requested_at: float

    def is_fresh(self, now: float) -> bool:
        """Whether it may still be used.

        Others count a load from when they read it, which is after it was
        asked for. One that begins late would outlive their patience.
        """
        return now - self.requested_at < PERMIT_USE_S


class LoadPermits:
    """What this process has read of all loads, and its own ends to write."""

    def __init__(self, deps: OrderDeps) -> None:
        """Know of no load."""
        self._deps = deps
        self._loads = WeightLoads()
        self._unwritten_ends: set[str] = set()
        self._is_log_readable = False

    async def refresh(self, store: WeightStore) -> bool:
        """Read to the tail; whether the log let us."""
        self._is_log_readable = await read_to_tail(
            self._deps.log,
            LOADS_STREAM,
            self._loads,
            self._apply,
        )
        if not self._is_log_readable:
            return False
        self._expire(store)
        await self._append_ends()
        return True

    def count_available(self, store: WeightStore) -> int:
        """Return how many loads might begin now; none with the log down.

        An engine that is drained for a load that can't begin serves nobody
        for nothing.
        """
        if not self._is_log_readable:
            return 0
        return self._loads.room(store.loads_at_once)

    def list_open_loads(self, runner: str) -> list[str]:
        """Return the ids of a runner's loads, whoever began them."""
        return [load.load_id for load in self._loads.of_runner(runner)]

    async def acquire(
        self, runner: str, store: WeightStore
    ) -> LoadPermit | None:
        """Ask for a permit; nothing if others were first or the log is down."""
        if not self.count_available(store):
            return None
        load_id = uuid.uuid4().hex
        permit = LoadPermit(load_id, self._deps.clock.monotonic())
        begun = LoadBegunRecord(load_id=load_id, runner=runner)
        # Whatever became of the append, the stream tells.
        await self._deps.log.append(LOADS_STREAM, [begun.encode()])
        readable = await self.refresh(store)
        if readable and self._loads.is_permitted(load_id, store.loads_at_once):
            self._deps.events.record('load_begun', runner=runner, load=load_id)
            return permit
        await self.release(load_id)
        return None

    async def release(self, load_id: str) -> None:
        """Say that a load is over; written later if the log is down."""
        await self.release_all([load_id])

    async def release_all(self, load_ids: Iterable[str]) -> None:
        """Say that several loads are over."""
        self._unwritten_ends.update(load_ids)
        await self._append_ends()

    async def _append_ends(self) -> None:
        ending = sorted(self._unwritten_ends)
        if not ending:
            return
        records = [LoadEndedRecord(load_id=each).encode() for each in ending]
        # After a lost reply they are written again; a second end is harmless.
        reply = await self._deps.log.append(LOADS_STREAM, records)
        if reply.is_ok():
            self._unwritten_ends.difference_update(ending)
            for load_id in ending:
                self._deps.events.record('load_ended', load=load_id)

    def _apply(self, record: LogRecord) -> None:
        now = self._deps.clock.monotonic()
        if self._loads.apply(record.offset, record.data, now).is_err():
            self._deps.metrics.count(Metric.BAD_RECORDS, stream=LOADS_STREAM)

    def _expire(self, store: WeightStore) -> None:
        now = self._deps.clock.monotonic()
        timeout_s = store.load_timeout.total_seconds()
        for load in self._loads.expire(now, timeout_s):
            self._deps.metrics.count(Metric.LOADS_EXPIRED)
            self._deps.events.record(
                'load_expired',
                runner=load.runner,
                load=load.load_id,
            )
