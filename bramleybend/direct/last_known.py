"""What was last read of the platform's logs, kept for VMs that start.

Load pattern: all VMs lose power while one of the logs is away.
Without it: a VM that starts knows nothing and has nobody to ask, so no
request is served until the log is back, though all runners live.

One VM writes each log's newest records to a log of our own whenever they say
something new. A VM that is not told what it needs within `RECALL_AFTER_S` of
its start reads them there. A runner that has left since says itself that it
is not the one meant; a manifest that was only recalled denies nothing, as it
counts as unconfirmed.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Ok, Result

from bramleybend.direct.book import Book
from bramleybend.direct.feed import Feed
from bramleybend.direct.feed_copy import Page
from bramleybend.errors import Problem
from bramleybend.events import EventLog

# The store answers in 4 ms; a slow one, in 60 times that, is waited for.
LOAD_AFTER_S: Final = 0.15
LOAD_RETRY_S: Final = 1.0
# Changes come in bursts (a release, a storm of manifests); one write tells of
# all that came within this time. A VM that starts from an older list misses
# what changed in it.
SAVE_EVERY_S: Final = 1.0


class PageStore(Protocol):
    """Where pages are kept, by the name of their log."""

    async def save(self, name: str, page: Page) -> Result[None, Problem]:
        """Keep a log's newest records in place of those kept before."""

    async def load(self, name: str) -> Result[Page | None, Problem]:
        """Return what was kept of a log."""


@dataclass
class BackedUpLog:
    """One log, and how to tell that it says something new."""

    feed: Feed
    version: Callable[[], object]  # equal while there is nothing new
    saved_version: object = None


class LogBackup:
    """Keeps and recalls what was last known."""

    def __init__(
        self,
        logs: Sequence[BackedUpLog],
        keeper: PageStore,
        book: Book,
        events: EventLog,
    ) -> None:
        """Watch the book for changes."""
        self._logs = logs
        self._keeper = keeper
        self._book = book
        self._events = events

    async def run(self) -> None:
        """Recall what is missing, then keep what changes, until cancelled."""
        await self._recall_until_complete()
        while True:
            await asyncio.sleep(SAVE_EVERY_S)
            for log in self._logs:
                await self._keep(log)

    async def _recall_until_complete(self) -> None:
        pause_s = LOAD_AFTER_S
        while not await self._book.wait_until_complete(pause_s):
            for log in self._logs:
                if log.feed.copy.end is None:
                    await self._recall(log.feed)
            pause_s = LOAD_RETRY_S

    async def _recall(self, feed: Feed) -> None:
        match await self._keeper.load(feed.terms.name):
            case Ok(Page() as page):
                used = feed.use_backup(page)
                self._note(
                    'recalled',
                    feed,
                    records=str(len(page.records)),
                    used=str(used),
                )
            case Ok(_):
                self._note('nothing_to_recall', feed)
            case Err(problem):
                self._note('recall_failed', feed, why=str(problem))

    async def _keep(self, log: BackedUpLog) -> None:
        mark = log.version()
        page = log.feed.copy.newest()
        if (
            page is None
            or mark == log.saved_version
            or not log.feed.is_leader()
        ):
            return
        match await self._keeper.save(log.feed.terms.name, page):
            case Ok():
                log.saved_version = mark
            case Err(problem):
                # Said again in a second, as the mark still differs.
                self._note('keep_failed', log.feed, why=str(problem))

    def _note(self, event: str, feed: Feed, **inputs: str) -> None:
        self._events.record(event, feed=feed.terms.name, **inputs)
