"""Event stamps order causes before effects."""

from datetime import UTC, datetime

from bramleybend.clock import ManualClock
from bramleybend.events import HybridClock, Stamp


def test_a_stamp_seen_from_a_faster_clock_is_passed() -> None:
    """A VM whose wall clock lags still stamps an effect after its cause."""
    hybrid = HybridClock(ManualClock(datetime(2026, 1, 1, tzinfo=UTC)))
    ahead = Stamp(hybrid.tick().wall_ms + 5000, 3)
    hybrid.observe(ahead)
    assert hybrid.tick() > ahead
