"""The list of runners, kept stable while entries of the store expire.

An entry expires when its runner hasn't renewed it. During an outage of the
store, runners can't renew their entries, so those of live runners expire too
and reappear about two seconds after the store is back. Entries that expire
around an outage are therefore dropped after a grace period. If they were
dropped at once, a service would have no runner while all of them are alive.

A VM that stood still hasn't seen the store either, but its list shows no outage
by that: an entry that expired meanwhile is that of a runner that has left.
"""

from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from bramleybend.direct.catalog import Catalog
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.direct.models import RunnerEntry
from bramleybend.errors import Problem
from bramleybend.events import EventLog

# The platform promises that entries are back within two seconds; the rest is
# the time of a poll.
EXPIRY_GRACE_S: Final = 2.8
# If the list was last confirmed longer ago, the store may have had an outage
# in which entries expired. In normal operation, the age is one or two polling
# intervals at most.
OUTAGE_S: Final = 2.0

DecodeEntry = Callable[[str, bytes], Result[RunnerEntry, Problem]]


class RunnerList:
    """Applies pages of runner entries to the `Catalog`."""

    def __init__(
        self,
        catalog: Catalog,
        decode_entry: DecodeEntry,
        events: EventLog,
    ) -> None:
        """Start without runners."""
        self._standstills = catalog.runner_list_age.standstills
        self._standstill_when_confirmed_s = float(0)
        self._catalog = catalog
        self._decode_entry = decode_entry
        self._events = events
        self._entries: dict[str, RunnerEntry] = {}  # by key
        self._drop_at: dict[str, float] = {}  # by key of an expired entry
        self._confirmed_at = catalog.now()
        self._grace_until = float(0)

    def note_confirmed(self, at: float) -> None:
        """Note that the list was up to date at a point in time."""
        self._note_outage(at)
        if at > self._confirmed_at:
            self._confirmed_at = at
            self._standstill_when_confirmed_s = self._standstills.total_s()
        self._catalog.runner_list_age.confirm(at)

    def apply_page(self, page: Page) -> None:
        """Apply a page of entries."""
        self._note_outage(self._catalog.now())
        if page.is_snapshot:
            listed = {record.key for record in page.records}
            for key in self._entries.keys() - listed:
                self._mark_expired(key)
        for record in page.records:
            self._apply(record)
        self.drop_expired()
        self._catalog.replace_runner_list(self._entries)

    def drop_expired(self) -> None:
        """Drop the expired entries whose grace period is over."""
        now = self._catalog.now()
        due = [key for key, at in self._drop_at.items() if at <= now]
        for key in due:
            self._drop_at.pop(key)
            self._entries.pop(key, None)
        if due:
            self._catalog.replace_runner_list(self._entries)

    def _note_outage(self, at: float) -> None:
        """Start the grace period if the store probably had an outage."""
        stood_still_s = (
            self._standstills.total_s() - self._standstill_when_confirmed_s
        )
        if at - self._confirmed_at - stood_still_s > OUTAGE_S:
            self._grace_until = self._catalog.now() + EXPIRY_GRACE_S

    def _apply(self, record: KeyedRecord) -> None:
        if record.is_deleted:
            self._mark_expired(record.key)
            return
        match self._decode_entry(record.key, record.content):
            case Ok(entry):
                self._entries[record.key] = entry
                self._drop_at.pop(record.key, None)
            case Err(problem):
                self._entries.pop(record.key, None)
                self._events.record(
                    'runner_entry_refused', runner=record.key, why=str(problem)
                )

    def _mark_expired(self, key: str) -> None:
        if key in self._entries:
            now = self._catalog.now()
            self._drop_at.setdefault(key, max(self._grace_until, now))
