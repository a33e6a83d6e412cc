"""Task that follows the published terms on the log and at peers.

The order of the log decides which terms are in force, by the rules of
`TermsState`. The task applies the log's records while the log can be read, and
else adopts the state of a peer that has read further. A VM that has lost only
its connection to the log therefore still gets new terms.
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
    TermsState,
)

LONG_POLL_TIMEOUT: Final = timedelta(seconds=1)
RETRY_DELAY_S: Final = 0.5
# A document with 4,300 workspaces has 385 KB, so a read of the log's usual 500
# records would exceed the client's limit and count as a failure of the log.
MAX_RECORDS_PER_READ: Final = 8
# Avoids a busy loop if the log's reads return at once.
READ_INTERVAL_S: Final = 0.02


@dataclass(frozen=True)
class PeerTerms:
    """The terms state of a VM, as it is sent to a peer."""

    version: int
    next_offset: int
    document: str


@dataclass(frozen=True)
class FollowerDeps:
    """Dependencies of the follower."""

    log: LogService
    fetch_from_peer: Callable[[], Awaitable[PeerTerms | None]]
    is_renewer: Callable[[], bool]


class TermsFollower:
    """Keeps this VM's `TermsState` up to date."""

    def __init__(
        self,
        deps: FollowerDeps,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start without terms."""
        self.log_ok = False
        self.terms: Terms | None = None
        self._deps = deps
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._state = TermsState(self._validate)
        self._last_parsed: tuple[str, Terms] | None = None
        self._renewal_timer = RenewalTimer()
        self._next_offset = 0
        self._tail_read_at = -inf
        self._peer_heard_at = -inf
        self._changed = asyncio.Event()

    # ---- queries

    @property
    def version(self) -> int:
        """The version in force on this VM; 0 before the first."""
        return self.terms.version if self.terms else 0

    @property
    def next_offset(self) -> int:
        """The next offset to read, by this VM or a peer it adopted from."""
        return self._state.next_offset

    @property
    def document(self) -> str:
        """The text of the terms in force."""
        return self._state.document if self.terms else ''

    @property
    def log_age_s(self) -> float:
        """Seconds since the log was last read to its tail.

        Infinite after a gap: requests must not be served under terms that may
        have been replaced, however recent the last read was.
        """
        return self._age_s(self._tail_read_at)

    @property
    def peer_age_s(self) -> float:
        """Seconds since a peer last reported that it holds the same terms."""
        return self._age_s(self._peer_heard_at)

    async def wait_for_change(self) -> None:
        """Wait until a new version is in force."""
        await self._changed.wait()

    def state_for_peer(self) -> PeerTerms | None:
        """Return the state for a peer; None after a gap or without terms."""
        if not self._state.is_gapless or self.terms is None:
            return None
        return PeerTerms(
            self._state.version,
            self._state.next_offset,
            self._state.document,
        )

    # ---- commands

    async def follow(self) -> None:
        """Read the log until cancelled; without terms, ask a peer too."""
        while True:
            if not self._state.is_gapless or self.terms is None:
                # With a peer's state a new VM doesn't have to read the
                # whole stream and validate each document in it.
                await self.adopt_from_peer()
            batch = await self._deps.log.read(
                TERMS_STREAM,
                self._next_offset,
                MAX_RECORDS_PER_READ,
                LONG_POLL_TIMEOUT,
            )
            match batch:
                case Ok(read):
                    self._apply_batch(read)
                    await self._renew_if_due()
                    await asyncio.sleep(READ_INTERVAL_S)
                case Err():
                    self._record_read_failure()
                    await asyncio.sleep(RETRY_DELAY_S)

    async def adopt_from_peer(self) -> None:
        """Adopt the state of a peer that has read further."""
        peer = await self._deps.fetch_from_peer()
        if peer is None:
            return
        if self._state.adopt_peer_state(
            peer.version, peer.next_offset, peer.document
        ):
            self._next_offset = max(self._next_offset, peer.next_offset)
            self._activate_terms('peer')
        self.record_peer_contact()

    def record_peer_contact(self) -> None:
        """Record contact with a peer, which would have reported newer terms."""
        self._peer_heard_at = self._clock.monotonic()

    def _age_s(self, heard_at: float) -> float:
        if not self._state.is_gapless or self.terms is None:
            return inf
        return self._clock.monotonic() - heard_at

    def _apply_batch(self, batch: LogBatch) -> None:
        if not self.log_ok:
            self.log_ok = True
            self._events.record('log_up')
        self._state.advance_first_offset(batch.first_offset)
        for record in batch.records:
            self._apply_record(record.offset, record.data)
            self._next_offset = record.offset + 1
        # After a reset of the log, or with an offset from a peer, the next
        # offset may be past the tail; then there is nothing left to read.
        if self._next_offset >= batch.next_offset:
            self._tail_read_at = self._clock.monotonic()
            self._activate_terms('log')

    def _apply_record(self, offset: int, text: str) -> None:
        verdict = self._state.apply(offset, text)
        match verdict:
            case Applied(version):
                self._events.record(
                    'terms_read',
                    version=version,
                    offset=offset,
                )
            case Renewed():
                self._renewal_timer.saw_renewal(self._clock.monotonic())
            case Ignored(problem):
                self._metrics.count(Metric.BAD_RECORDS, stream=TERMS_STREAM)
                self._events.record(
                    'terms_ignored',
                    offset=offset,
                    kind=problem.kind,
                    detail=problem.detail,
                )

    def _activate_terms(self, source: str) -> None:
        if self._state.version <= self.version or not self._state.is_gapless:
            return
        match self._validate(self._state.document):
            case Ok(terms):
                self.terms = replace(terms, version=self._state.version)
            case Err(problem):
                # Only happens if a peer of another release accepted a
                # document that this release can't parse: keep the old terms.
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
        # Each document is parsed twice in a row, to accept it and to put it
        # in force, and parsing a large one takes a quarter of a second.
        if self._last_parsed is not None and self._last_parsed[0] == text:
            return Ok(self._last_parsed[1])
        read = parse_terms(text, 1)
        if isinstance(read, Ok):
            self._last_parsed = (text, read.ok_value)
        return read

    def _record_read_failure(self) -> None:
        self._metrics.count(Metric.LOG_ERRORS, kind='read')
        if self.log_ok:
            self._events.record('log_down')
        self.log_ok = False

    async def _renew_if_due(self) -> None:
        # Only the first VM in rank renews; if two VMs believe that they are
        # first, the log gets one record more. If the reply is lost, reading
        # on shows whether the renewal landed.
        now = self._clock.monotonic()
        if not self._renewal_timer.due(now) or not self._deps.is_renewer():
            return
        record = self._state.build_renewal()
        if record is not None and self._next_offset == self._state.next_offset:
            await self._deps.log.append(TERMS_STREAM, (record,))
