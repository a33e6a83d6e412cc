"""Backup of the records of content that crashes runners.

Failure: all VMs are killed, and with them their records. Content that was
refused runs again and crashes as many runners as the first time.

One VM writes the records to the platform when they change, at most once in
`SAVE_EVERY_S`, and a bounded number of them, however much content crashes
runners. A VM that starts reads them before it serves callers. If the store
doesn't answer in time, it serves without them and reads them later; other VMs'
heartbeats tell it of refused content.
"""

import asyncio
from collections.abc import Callable, Sequence
from math import inf
from typing import Final, Protocol

from result import Err, Ok, Result

from bramleybend.clock import Clock
from bramleybend.direct.containment import Containment, SavedCrashes
from bramleybend.errors import Problem
from bramleybend.events import EventLog

LOAD_WAIT_S: Final = 0.3  # of a start
LOAD_RETRY_S: Final = 1.0
CHECK_EVERY_S: Final = 0.1
SAVE_EVERY_S: Final = 1.0


class CrashStore(Protocol):
    """A store of crash records that outlives the VMs."""

    async def save(
        self, records: Sequence[SavedCrashes]
    ) -> Result[None, Problem]:
        """Save records in place of the saved ones."""

    async def load(self) -> Result[Sequence[SavedCrashes], Problem]:
        """Return the saved records."""


class QuarantineBackup:
    """Saves this VM's crash records for all VMs; loads them at a start."""

    def __init__(
        self,
        containment: Containment,
        store: CrashStore,
        is_leader: Callable[[], bool],
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create a backup; `is_leader` tells whether this VM writes it."""
        self._containment = containment
        self._store = store
        self._is_leader = is_leader
        self._clock = clock
        self._events = events
        self._is_loaded = False
        self._saved: object = ()
        self._saved_at = -inf

    async def prepare(self) -> None:
        """Load the records unless that takes too long."""
        try:
            async with asyncio.timeout(LOAD_WAIT_S):
                await self._load()
        except TimeoutError:
            self._record_failure('quarantine_unread', 'no answer in time')

    async def run(self) -> None:
        """Load what is not loaded yet, then save changes until cancelled."""
        while not self._is_loaded:
            await asyncio.sleep(LOAD_RETRY_S)
            await self._load()
        while True:
            await asyncio.sleep(CHECK_EVERY_S)
            await self._save_if_due()

    async def _load(self) -> None:
        match await self._store.load():
            case Ok(records):
                self._containment.recall(records)
                self._is_loaded = True
                self._saved = _identity(records)
                if records:
                    count = len(records)
                    self._events.record('quarantine_recalled', records=count)
            case Err(problem):
                self._record_failure('quarantine_unread', str(problem))

    async def _save_if_due(self) -> None:
        now = self._clock.monotonic()
        if now - self._saved_at < SAVE_EVERY_S or not self._is_leader():
            return
        records = self._containment.records_to_save()
        if _identity(records) == self._saved:
            return
        self._saved_at = now
        match await self._store.save(records):
            case Ok():
                self._saved = _identity(records)
            case Err(problem):
                # The next round retries, as the saved records still differ.
                self._record_failure('quarantine_unsaved', str(problem))

    def _record_failure(self, event: str, why: str) -> None:
        self._events.record(event, why=why)


def _identity(records: Sequence[SavedCrashes]) -> object:
    """Return a value that is equal unless a record has changed."""
    return tuple(
        (one.fingerprint, one.generation, *one.runners, one.refused)
        for one in records
    )
