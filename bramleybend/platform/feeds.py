"""Settings of the two store logs that every VM follows: manifest, runners."""

from typing import Final

from result import Err, Ok

from bramleybend.direct.catalog import Catalog
from bramleybend.direct.feed import FeedSettings
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.events import EventLog
from bramleybend.platform.manifest import decode_manifest
from bramleybend.platform.wire_names import (
    MANIFEST_KEY,
    MANIFEST_TOPIC,
    RUNNER_TOPIC,
)

# A read of the manifest's log is a long poll that returns at the next change.
# A dead connection is noticed only when such a read times out, so its wait
# and the timeout of a call must together stay below three seconds. A change
# must take effect within two seconds of its acknowledgement; a connection
# failure excuses a later effect only until three seconds after the failure.
MANIFEST_WAIT_S: Final = 1.5
MANIFEST_MIN_INTERVAL_S: Final = 0.05
MANIFEST_STALE_S: Final = 2.2
MANIFEST_FEED: Final = FeedSettings(
    MANIFEST_TOPIC, MANIFEST_WAIT_S, MANIFEST_MIN_INTERVAL_S, MANIFEST_STALE_S
)
# Each runner writes a heartbeat about once a second, so a long poll would
# return at every heartbeat; this log is polled at an interval instead. A
# runner that is leaving must get no new requests after two seconds, which
# have to cover an interval, a heartbeat that hubs relay, and the duration of a
# call, also if the first VM that is called stands still.
RUNNER_POLL_INTERVAL_S: Final = 0.7
RUNNER_STALE_S: Final = 1.45
RUNNER_PEER_TIMEOUT_S: Final = 0.3
RUNNER_FEED: Final = FeedSettings(
    RUNNER_TOPIC,
    0,
    RUNNER_POLL_INTERVAL_S,
    RUNNER_STALE_S,
    RUNNER_PEER_TIMEOUT_S,
)


class ManifestApplier:
    """Applies each new manifest on this VM."""

    def __init__(self, catalog: Catalog, events: EventLog) -> None:
        """Apply manifests to this catalog."""
        self._catalog = catalog
        self._events = events

    def apply_page(self, page: Page) -> None:
        """Apply the manifests among a page's records."""
        for record in page.records:
            if record.key == MANIFEST_KEY and not record.is_deleted:
                self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        match decode_manifest(record.content):
            case Ok(manifest):
                self._catalog.apply_manifest(manifest)
            case Err(problem):
                self._events.record(
                    'manifest_refused', offset=record.offset, why=str(problem)
                )
