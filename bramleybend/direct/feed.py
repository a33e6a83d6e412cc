"""Follows one keyed log of the platform, by own reads or through other VMs.

Load pattern: many VMs want the same news within two seconds, every call to
the store is paid for, and the store may turn some VMs away.
Without it: the calls grow with the VMs, and a VM that is turned away goes on
sending work to runners that have left.

The `READERS` VMs that rank first among those the store answers read it; all
others hear from every heartbeat how far the sender has read and how old that
is, and fetch what they lack from the sender. A VM whose news grows older than
`stale_s`, by whatever it hears, reads the store itself.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final, Protocol

from result import Err, Ok, Result

from bramleybend.clock import Clock
from bramleybend.direct.beat_messages import FeedNews
from bramleybend.direct.feed_copy import FeedCopy, Page
from bramleybend.direct.feed_peers import (
    BEFORE_FIRST_OFFSET,
    PeerProgress,
    PeerProgressTable,
)
from bramleybend.direct.feed_turns import StoreReadSchedule
from bramleybend.errors import Problem
from bramleybend.events import EventLog

WAKE_S: Final = 0.1  # between two looks at who reads and how old it is
MAX_AGE_S: Final = 1e6  # stands for never
# A page from this size on takes a thin link's time: 0.1 s of 5 Mbit/s. It is
# logged with its source and time, as how a late change travelled is told by
# nothing else; the small pages of each second are not.
LARGE_PAGE_BYTES: Final = 65_536


class FeedSource(Protocol):
    """Where a log can be read."""

    async def newest(self, name: str) -> Result[Page, Problem]:
        """Return the newest record of each key."""

    async def changes(
        self, name: str, start: int, wait_s: float
    ) -> Result[Page, Problem]:
        """Return what came at or after an offset, waiting for it a while."""


@dataclass(frozen=True)
class FeedSettings:
    """How one log is followed."""

    name: str
    wait_s: float  # of a read that waits for news; 0: it returns at once
    every_s: float  # least time between two reads
    stale_s: float  # news older than this is read by whoever holds it


class Feed:
    """One log, followed."""

    def __init__(
        self,
        settings: FeedSettings,
        store: FeedSource,
        peer_source: Callable[[str], FeedSource],
        clock: Clock,
        events: EventLog,
        rng: Random,
    ) -> None:
        """Know nothing yet."""
        self.terms = settings
        self.copy = FeedCopy()
        self.confirmed_at = -inf
        self.on_page: Callable[[Page], None] = _ignore
        self.on_confirmed: Callable[[float], None] = _ignore
        self._store = store
        self._peer_source = peer_source
        self._clock = clock
        self._events = events
        self._peers = PeerProgressTable()
        self.store_schedule = StoreReadSchedule(
            settings.name, settings.every_s, self._peers, clock, rng
        )
        self._wake = asyncio.Event()

    def is_leader(self) -> bool:
        """Tell whether this VM writes for all what was read of the log."""
        return self.store_schedule.ranks_among(1)

    def wake(self) -> None:
        """Look at once at how old the news is."""
        self._wake.set()

    def use_backup(self, page: Page) -> bool:
        """Use older news until the log is read; tells whether it is used."""
        if self.copy.end is not None:
            return False
        self.on_page(page)
        return True

    def make_news(self) -> FeedNews:
        """Tell how far this VM has read."""
        age_s = self._clock.monotonic() - self.confirmed_at
        return FeedNews(
            self.terms.name,
            self._end(),
            min(age_s, MAX_AGE_S),
            self.store_schedule.is_store_answering,
        )

    def handle_news(self, vm: str, address: str, news: FeedNews) -> None:
        """Hear how far another VM has read."""
        at = self._clock.monotonic() - news.age_s
        self._peers.update(vm, PeerProgress(address, news.end, at, news.reads))
        own_end = self._end()
        if news.end > own_end:
            self._wake.set()
        elif news.end == own_end:
            self._confirm(at)

    def remove_peer(self, vm: str) -> None:
        """Drop a VM that is silent."""
        self._peers.remove(vm)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            ahead = self._peers.furthest_beyond(self._end())
            if ahead is not None and not self.store_schedule.must_read_store():
                await self._read_peer(ahead)
            elif self.store_schedule.is_due(self._is_stale()):
                await self._read_store()
            else:
                await self._sleep()

    def _is_stale(self) -> bool:
        age_s = self._clock.monotonic() - self.confirmed_at
        return age_s > self.terms.stale_s

    def _end(self) -> int:
        return BEFORE_FIRST_OFFSET if self.copy.end is None else self.copy.end

    async def _read_store(self) -> None:
        started = self._clock.monotonic()
        begun_at = self._end()
        page = await self._read_with_peers()
        if page is None or self._end() != begun_at:
            # A VM gave it meanwhile; a page from before that doesn't fit.
            self.store_schedule.record_success(started)
            return
        now = self._clock.monotonic()
        self._note(page)
        if isinstance(page, Err):
            self.store_schedule.record_failure(is_fresh=not self._is_stale())
            return
        self.store_schedule.record_success(started)
        self._note_large(page.ok_value, 'store', started)
        sure_at = _sure_at(page.ok_value, started, now, self.terms.wait_s)
        self._took(page.ok_value, sure_at)

    async def _read_with_peers(self) -> Result[Page, Problem] | None:
        """Read the store; nothing, if a VM gives the same before.

        A large change takes a VM on 5 Mbit/s over a second from the store,
        and 0.1 s from a VM that has it. Waited for to its end, a read that
        began while nobody else had the change made it late by that.
        """
        reading = asyncio.create_task(
            self._read(self._store, self.terms.wait_s)
        )
        helping = asyncio.create_task(self._until_given(self._end()))
        try:
            await asyncio.wait(
                (reading, helping), return_when=asyncio.FIRST_COMPLETED
            )
            return reading.result() if reading.done() else None
        finally:
            reading.cancel()
            helping.cancel()

    async def _until_given(self, begun_at: int) -> None:
        """Ask VMs that have read further, until one has given what it has."""
        while self._end() == begun_at:
            ahead = self._peers.furthest_beyond(begun_at)
            if ahead is None:
                await self._sleep()
            else:
                await self._read_peer(ahead)

    async def _read_peer(self, peer: PeerProgress) -> None:
        started = self._clock.monotonic()
        page = await self._read(self._peer_source(peer.address), 0)
        if isinstance(page, Ok):
            self._note_large(page.ok_value, peer.address, started)
            self._took(page.ok_value, peer.confirmed_at)
            return
        # It says again what it has with its next heartbeat. What is known to
        # be there is not waited for: three frozen VMs, a second each, and a
        # change is in force on this VM only when its news is stale. So one
        # failure is enough to ask the store.
        peer.end = BEFORE_FIRST_OFFSET
        self.store_schedule.is_peer_page_missing = True
        self._events.record(
            'peer_feed_failed',
            feed=self.terms.name,
            peer=peer.address,
            took_s=round(self._clock.monotonic() - started, 3),
            why=str(page.err_value),
        )

    async def _read(
        self, source: FeedSource, wait_s: float
    ) -> Result[Page, Problem]:
        if self.copy.end is None:
            return await source.newest(self.terms.name)
        return await source.changes(self.terms.name, self.copy.end, wait_s)

    def _took(self, page: Page, at: float) -> None:
        if self.copy.end is not None and page.end < self.copy.end:
            return  # a VM that is behind answered
        self.copy.apply(page)
        self.on_page(page)
        self._confirm(at)

    def _confirm(self, at: float) -> None:
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.on_confirmed(at)

    async def _sleep(self) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(WAKE_S):
                await self._wake.wait()
        except TimeoutError:
            return

    def _note_large(self, page: Page, source: str, started: float) -> None:
        if page.size < LARGE_PAGE_BYTES:
            return
        self._events.record(
            'large_page',
            feed=self.terms.name,
            source=source,
            bytes=page.size,
            end=page.end,
            took_s=round(self._clock.monotonic() - started, 3),
        )

    def _note(self, page: Result[Page, Problem]) -> None:
        match page:
            case Err(problem) if self.store_schedule.is_store_answering:
                self.store_schedule.is_store_answering = False
                self._events.record(
                    'store_lost', feed=self.terms.name, why=str(problem)
                )
            case Ok() if not self.store_schedule.is_store_answering:
                self.store_schedule.is_store_answering = True
                self._events.record('store_regained', feed=self.terms.name)


def _sure_at(page: Page, started: float, now: float, wait_s: float) -> float:
    """Return when there was surely nothing newer than a page.

    A read that waited in vain was answered at the end of its wait. Counted
    from its begin, news looks twice as old as it is, and VMs that hear it read
    the store for themselves.
    """
    if wait_s and not page.records and now - started >= wait_s:
        return started + wait_s
    return started


def _ignore(_: object) -> None:
    """Do nothing until a listener is set."""
