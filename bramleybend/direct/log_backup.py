"""Backups of the platform's logs, for VMs that start while a log is down.

Load pattern: all VMs lose power while one of the platform's logs is down.
Without a backup, a VM that starts has no configuration and no peer to ask, so
no request is served until the log is back, although all runners are up.

For each log, one VM writes the newest records to a log of the system's own
whenever they change. A VM that is not complete within `LOAD_AFTER_S` of its
start loads them from there. They may be outdated: a runner that has been
replaced since refuses the requests that are meant for its predecessor, and a
manifest from a backup counts as unconfirmed, so no request is denied because of
it.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Ok, Result

from bramleybend.direct.catalog import Catalog
from bramleybend.direct.feed import Feed
from bramleybend.direct.feed_copy import Page
from bramleybend.errors import Problem
from bramleybend.events import EventLog

# The store answers in 4 ms. One that is 60 times as slow still answers before
# the backup arrives, since the backup is read from the same store.
LOAD_AFTER_S: Final = 0.15
LOAD_RETRY_S: Final = 1.0
# Changes come in bursts, such as a release or many manifests in a row; one
# write covers all changes within this interval. A VM that starts from an older
# backup misses the changes since.
SAVE_EVERY_S: Final = 1.0


class PageStore(Protocol):
    """A store of pages, by log name."""

    async def save(self, name: str, page: Page) -> Result[None, Problem]:
        """Save a log's newest records in place of the saved ones."""

    async def load(self, name: str) -> Result[Page | None, Problem]:
        """Return the saved records of a log, if any."""


@dataclass
class BackedUpLog:
    """A log that is backed up, and how changes to it are detected."""

    feed: Feed
    version: Callable[[], object]  # equal as long as nothing has changed
    saved_version: object = None


class LogBackup:
    """Saves the logs' newest records, and loads them at a start."""

    def __init__(
        self,
        logs: Sequence[BackedUpLog],
        page_store: PageStore,
        catalog: Catalog,
        events: EventLog,
    ) -> None:
        """Create a backup of logs; `catalog` tells when a start is complete."""
        self._logs = logs
        self._page_store = page_store
        self._catalog = catalog
        self._events = events

    async def run(self) -> None:
        """Load missing logs at the start, then save changes until cancelled."""
        await self._load_until_complete()
        while True:
            await asyncio.sleep(SAVE_EVERY_S)
            for log in self._logs:
                await self._save(log)

    async def _load_until_complete(self) -> None:
        pause_s = LOAD_AFTER_S
        while not await self._catalog.wait_until_complete(pause_s):
            for log in self._logs:
                if log.feed.copy.end is None:
                    await self._load(log.feed)
            pause_s = LOAD_RETRY_S

    async def _load(self, feed: Feed) -> None:
        match await self._page_store.load(feed.settings.name):
            case Ok(Page() as page):
                used = feed.use_backup(page)
                self._record_event(
                    'recalled',
                    feed,
                    records=str(len(page.records)),
                    used=str(used),
                )
            case Ok(_):
                self._record_event('nothing_to_recall', feed)
            case Err(problem):
                self._record_event('recall_failed', feed, why=str(problem))

    async def _save(self, log: BackedUpLog) -> None:
        version = log.version()
        page = log.feed.copy.newest()
        if (
            page is None
            or version == log.saved_version
            or not log.feed.is_leader()
        ):
            return
        match await self._page_store.save(log.feed.settings.name, page):
            case Ok():
                log.saved_version = version
            case Err(problem):
                # The next round retries, because the saved version still
                # differs.
                self._record_event('keep_failed', log.feed, why=str(problem))

    def _record_event(self, event: str, feed: Feed, **inputs: str) -> None:
        self._events.record(event, feed=feed.settings.name, **inputs)
