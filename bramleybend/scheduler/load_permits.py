"""Permits to load weights from the weight store, by the log's order alone."""

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
from bramleybend.state.order_rules import PERMIT_VALIDITY_S, WeightLoads


@dataclass(frozen=True)
class LoadPermit:
    """Permission to begin one load while the permit is fresh."""

    load_id: str
    requested_at: float

    def is_fresh(self, now: float) -> bool:
        """Whether a load may still begin under this permit.

        Other VMs count a load as open until a timeout, which starts when they
        read its record. A load that begins late could outlast the timeout.
        """
        return now - self.requested_at < PERMIT_VALIDITY_S


class LoadPermits:
    """The loads read from the log, and this process's ends to append."""

    def __init__(self, deps: OrderDeps) -> None:
        """Know no loads before the first `refresh`."""
        self._deps = deps
        self._loads = WeightLoads()
        self._unwritten_ends: set[str] = set()
        self._is_log_readable = False

    async def refresh(self, store: WeightStore) -> bool:
        """Read the loads to the log's tail; return whether that succeeded."""
        self._is_log_readable = await read_to_tail(
            self._deps.log,
            LOADS_STREAM,
            self._loads,
            self._apply_record,
        )
        if not self._is_log_readable:
            return False
        self._expire_loads(store)
        await self._append_ends()
        return True

    def count_available(self, store: WeightStore) -> int:
        """Return how many loads may begin now; 0 while the log can't be read.

        An engine that is drained for a load that can't begin would be out of
        service for no reason.
        """
        if not self._is_log_readable:
            return 0
        return self._loads.free_permits(store.loads_at_once)

    def list_open_loads(self, runner: str) -> list[str]:
        """Return the ids of a runner's open loads, of any issuer."""
        return [load.load_id for load in self._loads.loads_of_runner(runner)]

    async def acquire(
        self, runner: str, store: WeightStore
    ) -> LoadPermit | None:
        """Return a permit; None if no load may begin or the log is down."""
        if not self.count_available(store):
            return None
        load_id = uuid.uuid4().hex
        permit = LoadPermit(load_id, self._deps.clock.monotonic())
        begun_record = LoadBegunRecord(load_id=load_id, runner=runner)
        # Whether the append succeeded is learned by reading the stream.
        await self._deps.log.append(LOADS_STREAM, [begun_record.encode()])
        is_readable = await self.refresh(store)
        if is_readable and self._loads.is_permitted(
            load_id, store.loads_at_once
        ):
            self._deps.events.record('load_begun', runner=runner, load=load_id)
            return permit
        await self.release(load_id)
        return None

    async def release(self, load_id: str) -> None:
        """Record the end of a load; retried later if the log is down."""
        await self.release_all([load_id])

    async def release_all(self, load_ids: Iterable[str]) -> None:
        """Record the end of several loads."""
        self._unwritten_ends.update(load_ids)
        await self._append_ends()

    async def _append_ends(self) -> None:
        load_ids = sorted(self._unwritten_ends)
        if not load_ids:
            return
        records = [LoadEndedRecord(load_id=each).encode() for each in load_ids]
        # After a lost reply the ends are appended again; readers ignore a
        # second end of a load.
        reply = await self._deps.log.append(LOADS_STREAM, records)
        if reply.is_ok():
            self._unwritten_ends.difference_update(load_ids)
            for load_id in load_ids:
                self._deps.events.record('load_ended', load=load_id)

    def _apply_record(self, record: LogRecord) -> None:
        now = self._deps.clock.monotonic()
        if self._loads.apply(record.offset, record.data, now).is_err():
            self._deps.metrics.count(Metric.BAD_RECORDS, stream=LOADS_STREAM)

    def _expire_loads(self, store: WeightStore) -> None:
        now = self._deps.clock.monotonic()
        timeout_s = store.load_timeout.total_seconds()
        for load in self._loads.expire(now, timeout_s):
            self._deps.metrics.count(Metric.LOADS_EXPIRED)
            self._deps.events.record(
                'load_expired',
                runner=load.runner,
                load=load.load_id,
            )
