"""The two logs of the store that every VM follows, and what they hold."""

from typing import Final

from result import Err, Ok

from bramleybend.direct.book import Book
from bramleybend.direct.feed import FeedSettings
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.events import EventLog
from bramleybend.platform.manifest import decode_manifest
from bramleybend.platform.names import (
    MANIFEST_KEY,
    MANIFEST_TOPIC,
    RUNNER_TOPIC,
)

# A read of the manifest's log waits for news and comes back only with it. A
# connection that fell silent is noticed when the read fails to come back, so
# its wait and a call's timeout stay under the two seconds that a change has
# to be in force, beside the three after which silence excuses nothing.
MANIFEST_WAIT_S: Final = 1.5
MANIFEST_EVERY_S: Final = 0.05
MANIFEST_STALE_S: Final = 2.2
MANIFEST_FEED: Final = FeedSettings(
    MANIFEST_TOPIC, MANIFEST_WAIT_S, MANIFEST_EVERY_S, MANIFEST_STALE_S
)
# The runners write about every second each, so a read that waits would come
# back for each heartbeat; the log is polled. A runner that leaves gets
# nothing new within two seconds: a poll, a heartbeat and a call's time.
RUNNER_EVERY_S: Final = 0.7
RUNNER_STALE_S: Final = 1.45
RUNNER_FEED: Final = FeedSettings(
    RUNNER_TOPIC, 0, RUNNER_EVERY_S, RUNNER_STALE_S
)


class ManifestPages:
    """Puts each new manifest in force on this VM."""

    def __init__(self, book: Book, events: EventLog) -> None:
        """Apply to a book."""
        self._book = book
        self._events = events

    def take(self, page: Page) -> None:
        """Apply a page."""
        for record in page.records:
            if record.key == MANIFEST_KEY and not record.gone:
                self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        match decode_manifest(record.content):
            case Ok(manifest):
                self._book.apply_manifest(manifest)
            case Err(problem):
                self._events.record(
                    'manifest_refused', offset=record.offset, why=str(problem)
                )
