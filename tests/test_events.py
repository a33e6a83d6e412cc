"""Event stamps order causes before effects."""

from datetime import UTC, datetime

from bramleybend.clock import ManualClock
from bramleybend.events import HybridClock, Stamp, parse_stamp


def test_a_stamp_seen_from_a_faster_clock_is_passed() -> None:
    """A VM whose wall clock lags still stamps an effect after its cause."""
    hybrid = HybridClock(ManualClock(datetime(2026, 1, 1, tzinfo=UTC)))
    ahead = Stamp(hybrid.tick().wall_ms + 5000, 3)
    hybrid.observe(ahead)
    assert hybrid.tick() > ahead


def test_a_stamp_from_a_broken_clock_is_not_believed() -> None:
    """One VM years ahead must not drag the stamps of all others along."""
    hybrid = HybridClock(ManualClock(datetime(2026, 1, 1, tzinfo=UTC)))
    first = hybrid.tick()
    hybrid.observe(Stamp(first.wall_ms * 2, 0))
    assert hybrid.tick().wall_ms == first.wall_ms


def test_a_stamp_is_read_as_it_was_written() -> None:
    """It travels as text; anything else is no stamp."""
    stamp = Stamp(1_796_246_641_714, 3)
    assert parse_stamp(str(stamp)) == stamp
    for text in ('', '1', '1.2.3', '-1.0', 'x.y'):
        assert parse_stamp(text) is None
