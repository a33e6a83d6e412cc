"""Follows the terms on the log and from peers.

The log's order decides which terms are in force; `TermsLog` holds that rule.
This task feeds it: from the log while that can be read, else from a peer that
has read further. So a VM cut off from the log alone still gets new terms.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from math import inf
from typing import Final

from result import Err, Ok, Result

from bramleybend.clients.log_service import (
    TERMS_STREAM,
    LogBatch,
    LogService,
)
from bramleybend.clock import Clock
from bramleybend.declarations import parse_terms
from bramleybend.errors import Problem
from bramleybend.events import EventLog
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import Terms
from bramleybend.state.terms_rules import (
    Applied,
    Ignored,
    RenewalTimer,
    Renewed,
    TermsLog,
)

READ_WAIT: Final = timedelta(seconds=1)
DOWN_PAUSE_S: Final = 0.5
# A document of 4,300 workspaces has 385 KB; a read of the log's usual 500
# records would pass the client's limit, and the log would seem down.
READ_AT_ONCE: Final = 8
# A log whose reads return at once would be asked in a tight loop.
READ_PAUSE_S: Final = 0.02


@dataclass(frozen=True)
class PeerTerms:
    """A peer's state: what it would say to a VM that asks."""

    version: int
    position: int
    document: str


@dataclass(frozen=True)
class FollowerPort:
    """What the follower needs from around it."""

    log: LogService
    fetch_from_peer: Callable[[], Awaitable[PeerTerms | None]]
    is_renewer: Callable[[], bool]


class TermsFollower:
    """Owns this VM's `TermsLog`."""

    def __init__(
        self,
        port: FollowerPort,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        """Know no terms yet."""
        self.log_ok = False
        self.terms: Terms | None = None
        self._port = port
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._log = TermsLog(self._validate)
        self._valid: tuple[str, Terms] | None = None
        self._renewal = RenewalTimer()
        self._cursor = 0
        self._tail_at = -inf
        self._peer_at = -inf
        self._changed = asyncio.Event()

    # ---- queries

    @property
    def version(self) -> int:
        """The version in force here; 0 before any."""
        return self.terms.version if self.terms else 0

    @property
    def offset(self) -> int:
        """Up to where the log was read, here or by the peer learned from."""
        return self._log.position

    @property
    def document(self) -> str:
        """The text of the terms in force."""
        return self._log.document if self.terms else ''

    @property
    def log_age_s(self) -> float:
        """Seconds since the log was last read to its tail.

        Infinite while records were missed: terms that may have been replaced
        must not be served on, however recent the last word was.
        """
        return self._age_s(self._tail_at)

    @property
    def peer_age_s(self) -> float:
        """Seconds since a peer last said that it holds the same terms."""
        return self._age_s(self._peer_at)

    async def changed(self) -> None:
        """Wait for the next version."""
        await self._changed.wait()

    def for_peer(self) -> PeerTerms | None:
        """Return what a peer may learn from here."""
        if not self._log.anchored or self.terms is None:
            return None
        return PeerTerms(
            self._log.version,
            self._log.position,
            self._log.document,
        )

    # ---- commands

    async def follow(self) -> None:
        """Read the log until cancelled; while it fails, ask peers."""
        while True:
            if not self._log.anchored or self.terms is None:
                # A peer's state spares a new VM the stream's whole history,
                # each document of which it would have to check again.
                await self.learn_from_peer()
            batch = await self._port.log.read(
                TERMS_STREAM,
                self._cursor,
                READ_AT_ONCE,
                READ_WAIT,
            )
            match batch:
                case Ok(read):
                    self._take(read)
                    await self._renew_if_due()
                    await asyncio.sleep(READ_PAUSE_S)
                case Err():
                    self._note_down()
                    await asyncio.sleep(DOWN_PAUSE_S)

    async def learn_from_peer(self) -> None:
        """Take over the state of a peer that has read further."""
        peer = await self._port.fetch_from_peer()
        if peer is None:
            return
        if self._log.learn(peer.version, peer.position, peer.document):
            self._cursor = max(self._cursor, peer.position)
            self._put_in_force('peer')
        self.heard_peer()

    def heard_peer(self) -> None:
        """Note that a peer has spoken, and so would have told of news."""
        self._peer_at = self._clock.monotonic()

    def _age_s(self, heard_at: float) -> float:
        if not self._log.anchored or self.terms is None:
            return inf
        return self._clock.monotonic() - heard_at

    def _take(self, batch: LogBatch) -> None:
        if not self.log_ok:
            self.log_ok = True
            self._events.record('log_up')
        self._log.see_first_offset(batch.first_offset)
        for record in batch.records:
            self._apply(record.offset, record.data)
            self._cursor = record.offset + 1
        # A log that was reset or a cursor learned from a peer may lie past
        # the tail; then there is nothing to catch up with.
        if self._cursor >= batch.next_offset:
            self._tail_at = self._clock.monotonic()
            self._put_in_force('log')

    def _apply(self, offset: int, text: str) -> None:
        verdict = self._log.apply(offset, text)
        match verdict:
            case Applied(version):
                self._events.record(
                    'terms_read',
                    version=version,
                    offset=offset,
                )
            case Renewed():
                self._renewal.saw_renewal(self._clock.monotonic())
            case Ignored(problem):
                self._metrics.count(Metric.BAD_RECORDS, stream=TERMS_STREAM)
                self._events.record(
                    'terms_ignored',
                    offset=offset,
                    kind=problem.kind,
                    detail=problem.detail,
                )

    def _put_in_force(self, source: str) -> None:
        if self._log.version <= self.version or not self._log.anchored:
            return
        match self._validate(self._log.document):
            case Ok(terms):
                self.terms = replace(terms, version=self._log.version)
            case Err(problem):
                # Only reachable when a peer of another release accepted
                # what this one can't read: keep the old terms and say so.
                self._events.record('terms_refused', detail=problem.detail)
                return
        self._events.record(
            'terms_in_force',
            version=self.version,
            source=source,
        )
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def _validate(self, text: str) -> Result[Terms, Problem]:
        # Each document is wanted twice in a row, to accept it and to put it
        # in force, and a large one takes a quarter of a second to read.
        if self._valid is not None and self._valid[0] == text:
            return Ok(self._valid[1])
        read = parse_terms(text, 1)
        if isinstance(read, Ok):
            self._valid = (text, read.ok_value)
        return read

    def _note_down(self) -> None:
        self._metrics.count(Metric.LOG_ERRORS, kind='read')
        if self.log_ok:
            self._events.record('log_down')
        self.log_ok = False

    async def _renew_if_due(self) -> None:
        # One VM renews, the first in rank; two that both think they are it
        # cost one more record. A lost reply is settled by reading on.
        now = self._clock.monotonic()
        if not self._renewal.due(now) or not self._port.is_renewer():
            return
        record = self._log.renewal()
        if record is not None and self._cursor == self._log.position:
            await self._port.log.append(TERMS_STREAM, (record,))
