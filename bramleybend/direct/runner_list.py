"""Which runners there are, through lapses of their entries.

Entries lapse when their runner was silent, at times also while the store was
away and nobody could write. Those are back about two seconds after its
return, so what lapsed around an outage is dropped only after that; dropped at
once, a service would have no runner while all of them live.
"""

from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from bramleybend.direct.book import Book
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.direct.models import RunnerEntry
from bramleybend.errors import Problem
from bramleybend.events import EventLog

# What the platform promises, two seconds, and the time of a poll.
LAPSE_GRACE_S: Final = 2.8
# News that was older than this before a page may have missed an outage in
# which entries lapsed; in order it is never older than a poll or two.
OUTAGE_S: Final = 2.0

Decode = Callable[[str, bytes], Result[RunnerEntry, Problem]]


class RunnerList:
    """Applies pages of runner entries to the book."""

    def __init__(self, book: Book, decode: Decode, events: EventLog) -> None:
        """Know no runner."""
        self._book = book
        self._decode = decode
        self._events = events
        self._known: dict[str, RunnerEntry] = {}
        self._lapsed: dict[str, float] = {}  # name to when it is dropped
        self._confirmed_at = book.now()
        self._grace_until = float(0)

    def confirmed(self, at: float) -> None:
        """Note that the list was up to date at a time."""
        if at - self._confirmed_at > OUTAGE_S:
            self._grace_until = self._book.now() + LAPSE_GRACE_S
        self._confirmed_at = max(at, self._confirmed_at)

    def take(self, page: Page) -> None:
        """Apply a page."""
        if self._book.now() - self._confirmed_at > OUTAGE_S:
            self._grace_until = self._book.now() + LAPSE_GRACE_S
        if page.whole:
            named = {record.key for record in page.records}
            for name in self._known.keys() - named:
                self._lapse(name)
        for record in page.records:
            self._apply(record)
        self.drop_lapsed()
        self._book.take_runners(self._known)

    def drop_lapsed(self) -> None:
        """Drop the entries whose time to come back is over."""
        now = self._book.now()
        due = [name for name, at in self._lapsed.items() if at <= now]
        for name in due:
            self._lapsed.pop(name)
            self._known.pop(name, None)
        if due:
            self._book.take_runners(self._known)

    def _apply(self, record: KeyedRecord) -> None:
        if record.gone:
            self._lapse(record.key)
            return
        match self._decode(record.key, record.content):
            case Ok(entry):
                self._known[record.key] = entry
                self._lapsed.pop(record.key, None)
            case Err(problem):
                self._known.pop(record.key, None)
                self._events.record(
                    'runner_entry_refused', runner=record.key, why=str(problem)
                )

    def _lapse(self, name: str) -> None:
        if name in self._known:
            now = self._book.now()
            self._lapsed.setdefault(name, max(self._grace_until, now))
