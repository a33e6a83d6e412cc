"""Follows one keyed log of the platform, from the store or other VMs.

Load pattern: many VMs need the same changes within two seconds, each call to
the store costs money, and the store may reject some of the VMs. Without
sharing, the number of calls grows with the number of VMs, and a VM that the
store rejects keeps sending work to runners that have left.

Of the VMs that the store answers, the first `STORE_READERS` by rank read it.
Heartbeats tell all others how far their sender has read and when that was
confirmed as current; they fetch what they lack from the sender. A VM whose copy
was last confirmed longer than `max_age_s` ago, from any source, reads the store
itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final, Protocol

from result import Err, Ok, Result

from bramleybend.clock import Clock
from bramleybend.direct.feed_copy import FeedCopy, Page
from bramleybend.direct.heartbeat_messages import FeedStatus
from bramleybend.direct.list_age import WAKE_TOLERANCE_S
from bramleybend.direct.peer_progress import (
    BEFORE_FIRST_OFFSET,
    PeerProgress,
    PeerProgressTable,
)
from bramleybend.direct.store_read_schedule import StoreReadSchedule
from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EventLog

WAKE_S: Final = 0.1  # interval at which due reads are checked
MAX_AGE_S: Final = 1e6  # stands for a log that was never read
# Pages from this size on are logged with their source and duration: they take
# 0.1 s or more on a link of 5 Mbit/s, and nothing else shows how a late change
# was transferred. The small pages of each second are not logged.
LARGE_PAGE_BYTES: Final = 65_536


class FeedSource(Protocol):
    """A source from which logs can be read."""

    async def fetch_newest(self, name: str) -> Result[Page, Problem]:
        """Return the newest record of each key."""

    async def fetch_changes(
        self, name: str, start: int, wait_s: float
    ) -> Result[Page, Problem]:
        """Return the records from an offset on.

        If there are none, wait for up to `wait_s`.
        """


@dataclass(frozen=True)
class FeedSettings:
    """How one log is followed."""

    name: str
    poll_timeout_s: float  # long-poll timeout; 0 returns at once
    min_interval_s: float  # min interval between two reads of the store
    max_age_s: float  # age from which a VM reads the store itself
    # Limit of a read of changes from another VM; then the store is read.
    peer_timeout_s: float | None = None


class Feed:
    """Follows one log."""

    def __init__(
        self,
        settings: FeedSettings,
        store: FeedSource,
        peer_source: Callable[[str], FeedSource],
        clock: Clock,
        events: EventLog,
        rng: Random,
    ) -> None:
        """Create a feed with an empty copy of the log."""
        self.settings = settings
        self.copy = FeedCopy()
        self.confirmed_at = -inf
        self.on_page: Callable[[Page], None] = _ignore_argument
        self.on_confirmed: Callable[[float], None] = _ignore_argument
        # Called with the time at which a failed read of the store began.
        self.on_failed: Callable[[float], None] = _ignore_argument
        # Returns when this VM's last standstill ended.
        self.woke_at: Callable[[], float] = _never
        self._store = store
        self._peer_source = peer_source
        self._clock = clock
        self._events = events
        self._peers = PeerProgressTable()
        self.store_schedule = StoreReadSchedule(
            settings.name, settings.min_interval_s, self._peers, clock, rng
        )
        self._wake = asyncio.Event()

    def is_leader(self) -> bool:
        """Return whether this VM backs up the log on behalf of all VMs."""
        return self.store_schedule.ranks_among(1)

    def wake(self) -> None:
        """Check at once whether a read is due."""
        self._wake.set()

    def use_backup(self, page: Page) -> bool:
        """Apply a backup if the log was never read; return whether it was."""
        if self.copy.end is not None:
            return False
        self.on_page(page)
        return True

    def make_news(self) -> FeedStatus:
        """Return this VM's progress for a heartbeat."""
        age_s = self._clock.monotonic() - self.confirmed_at
        return FeedStatus(
            self.settings.name,
            self._next_offset(),
            min(age_s, MAX_AGE_S),
            self.store_schedule.is_store_answering,
        )

    def handle_news(
        self, vm: str, address: str, news: FeedStatus, heard_at: float
    ) -> None:
        """Handle the progress that another VM's heartbeat reports.

        `heard_at` is the monotonic time at which it was heard.
        """
        confirmed_at = heard_at - news.age_s
        self._peers.update(
            vm,
            PeerProgress(address, news.end, confirmed_at, news.can_read_store),
        )
        own_end = self._next_offset()
        if news.end > own_end:
            self._wake.set()
        elif news.end == own_end and self.copy.end is not None:
            self._confirm(confirmed_at)

    def remove_peer(self, vm: str) -> None:
        """Forget the progress of a VM that is no longer heard."""
        self._peers.remove(vm)

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            peer = self._peers.furthest_beyond(self._next_offset())
            if peer is not None and not self.store_schedule.must_read_store():
                await self._read_peer(peer)
            elif self.store_schedule.is_due(self._is_stale()):
                await self._read_store()
            else:
                await self._sleep()

    def _is_stale(self) -> bool:
        """Return whether the copy is old, or from before a standstill."""
        age_s = self._clock.monotonic() - self.confirmed_at
        if age_s > self.settings.max_age_s:
            return True
        return self.confirmed_at < self.woke_at() - WAKE_TOLERANCE_S

    def _next_offset(self) -> int:
        return BEFORE_FIRST_OFFSET if self.copy.end is None else self.copy.end

    async def _read_store(self) -> None:
        started_at = self._clock.monotonic()
        start_offset = self._next_offset()
        page = await self._race_store_and_peers()
        if page is None or self._next_offset() != start_offset:
            # A peer's page was applied meanwhile. This page starts at an older
            # offset and doesn't continue it.
            self.store_schedule.record_success(started_at)
            return
        now = self._clock.monotonic()
        self._record_store_state(page)
        if isinstance(page, Err):
            self.store_schedule.record_failure(
                has_fresh_copy=not self._is_stale()
            )
            self.on_failed(started_at)
            return
        self.store_schedule.record_success(started_at)
        self._record_large_page(page.ok_value, 'store', started_at)
        confirmed_at = _confirmed_time(
            page.ok_value, started_at, now, self.settings.poll_timeout_s
        )
        self._apply_page(page.ok_value, confirmed_at)

    async def _race_store_and_peers(self) -> Result[Page, Problem] | None:
        """Read the store; return `None` if a peer's page is applied earlier.

        A VM on a link of 5 Mbit/s takes over a second to read a large change
        from the store, and 0.1 s from a peer that has it. If a store read that
        began before any peer had the change were awaited to its end, the change
        would be late by that second.
        """
        from_store = asyncio.create_task(
            self._read(self._store, self.settings.poll_timeout_s)
        )
        from_peers = asyncio.create_task(
            self._read_peers_until_advanced(self._next_offset())
        )
        try:
            await asyncio.wait(
                (from_store, from_peers), return_when=asyncio.FIRST_COMPLETED
            )
            return from_store.result() if from_store.done() else None
        finally:
            from_store.cancel()
            from_peers.cancel()

    async def _read_peers_until_advanced(self, start_offset: int) -> None:
        """Read from peers that are ahead until a page advances the copy."""
        while self._next_offset() == start_offset:
            peer = self._peers.furthest_beyond(start_offset)
            if peer is None:
                await self._sleep()
            else:
                await self._read_peer(peer)

    async def _read_peer(self, peer: PeerProgress) -> None:
        started_at = self._clock.monotonic()
        reading = self._read(self._peer_source(peer.address), 0)
        limit_s = self.settings.peer_timeout_s
        page = await (
            reading if self.copy.end is None else _read_within(limit_s, reading)
        )
        if isinstance(page, Ok):
            self._record_large_page(page.ok_value, peer.address, started_at)
            self._apply_page(page.ok_value, peer.confirmed_at)
            return
        # The peer's next heartbeat reports its progress again. After one
        # failure this VM reads the store, since the change is known to exist:
        # with three frozen peers at a second each, it would otherwise take
        # effect here only when the copy is stale.
        peer.end = BEFORE_FIRST_OFFSET
        self.store_schedule.is_peer_page_missing = True
        self._events.record(
            'peer_feed_failed',
            feed=self.settings.name,
            peer=peer.address,
            took_s=round(self._clock.monotonic() - started_at, 3),
            why=str(page.err_value),
        )

    async def _read(
        self, source: FeedSource, wait_s: float
    ) -> Result[Page, Problem]:
        if self.copy.end is None:
            return await source.fetch_newest(self.settings.name)
        return await source.fetch_changes(
            self.settings.name, self.copy.end, wait_s
        )

    def _apply_page(self, page: Page, confirmed_at: float) -> None:
        if self.copy.end is not None and page.end < self.copy.end:
            return  # the peer has read less than this VM
        self.copy.apply(page)
        self.on_page(page)
        self._confirm(confirmed_at)

    def _confirm(self, confirmed_at: float) -> None:
        if confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.on_confirmed(confirmed_at)

    async def _sleep(self) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(WAKE_S):
                await self._wake.wait()
        except TimeoutError:
            return

    def _record_large_page(
        self, page: Page, source: str, started_at: float
    ) -> None:
        if page.size < LARGE_PAGE_BYTES:
            return
        self._events.record(
            'large_page',
            feed=self.settings.name,
            source=source,
            bytes=page.size,
            end=page.end,
            took_s=round(self._clock.monotonic() - started_at, 3),
        )

    def _record_store_state(self, page: Result[Page, Problem]) -> None:
        match page:
            case Err(problem) if self.store_schedule.is_store_answering:
                self.store_schedule.is_store_answering = False
                self._events.record(
                    'store_lost', feed=self.settings.name, why=str(problem)
                )
            case Ok() if not self.store_schedule.is_store_answering:
                self.store_schedule.is_store_answering = True
                self._events.record('store_regained', feed=self.settings.name)


async def _read_within(
    limit_s: float | None, reading: Awaitable[Result[Page, Problem]]
) -> Result[Page, Problem]:
    """Await a read from a peer, which may stand still since its news."""
    try:
        async with asyncio.timeout(limit_s):
            return await reading
    except TimeoutError:
        return Err(
            Problem(
                ErrorKind.PEER_UNAVAILABLE,
                f'no page within {limit_s} s',
                'it is read from the store',
            )
        )


def _confirmed_time(
    page: Page, started_at: float, now: float, wait_s: float
) -> float:
    """Return the latest time at which a page was certainly current.

    A long poll without records was answered at the end of its wait. If it were
    dated to its start, the copy would look older than it is by that wait, and
    VMs that hear of it would read the store themselves.
    """
    if wait_s and not page.records and now - started_at >= wait_s:
        return started_at + wait_s
    return started_at


def _never() -> float:
    return -inf


def _ignore_argument(_: object) -> None:
    """Serve as the callback until another one is set."""
