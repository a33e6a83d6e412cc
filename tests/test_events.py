"""Hybrid clock stamps order causes before effects."""

from datetime import UTC, datetime

from bramleybend.clock import ManualClock
from bramleybend.events import EventLog, HybridClock, Stamp, parse_stamp
from bramleybend.identity import Identity
from bramleybend.wire.headers import Headers


def test_a_stamp_seen_from_a_faster_clock_is_passed() -> None:
    """A VM whose wall clock lags still stamps an effect after its cause."""
    hybrid = HybridClock(ManualClock(datetime(2026, 1, 1, tzinfo=UTC)))
    ahead_stamp = Stamp(hybrid.tick().wall_ms + 5000, 3)
    hybrid.observe(ahead_stamp)
    assert hybrid.tick() > ahead_stamp


def test_a_stamp_from_a_broken_clock_is_not_believed() -> None:
    """One VM years ahead must not advance the stamps of all others."""
    hybrid = HybridClock(ManualClock(datetime(2026, 1, 1, tzinfo=UTC)))
    first = hybrid.tick()
    hybrid.observe(Stamp(first.wall_ms * 2, 0))
    assert hybrid.tick().wall_ms == first.wall_ms


def test_a_stamp_is_read_as_it_was_written() -> None:
    """The text form round-trips; malformed text yields no stamp."""
    stamp = Stamp(1_796_246_641_714, 3)
    assert parse_stamp(str(stamp)) == stamp
    for text in ('', '1', '1.2.3', '-1.0', 'x.y'):
        assert parse_stamp(text) is None


def test_a_header_carries_its_senders_stamp_past_a_slower_clock() -> None:
    """The owner's wall clock is 3 s behind the requesting gateway's.

    Without the stamp in the header, the owner's grant would sort before the
    gateway's request on the timeline.
    """
    start = datetime(2026, 1, 1, tzinfo=UTC)
    ahead_clock, behind_clock = ManualClock(start), ManualClock(start)
    ahead_clock.advance(3)
    gateway = EventLog('gateway', 'a', ahead_clock)
    owner = EventLog('scheduler', 'b', behind_clock)
    request_headers = _headers(gateway).make()
    _headers(owner).observe(request_headers)
    stamp = parse_stamp(request_headers.hlc)
    assert stamp
    assert owner.hybrid.tick() > stamp


def _headers(events: EventLog) -> Headers:
    return Headers(Identity('vm', 'walton', '10.0.0.1', 'x'), events, lambda: 1)
