"""Events are cut where they end, however the bytes come."""

from random import Random

from bramleybend.direct.relay import is_repeat
from bramleybend.direct.sse import EventSplitter

STREAM = b'id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\r\n\r\ndata: c\n\n'


def test_events_are_whole_however_the_bytes_are_cut() -> None:
    """Every cut gives the same events, and nothing is lost or added."""
    rng = Random(5)
    for _ in range(200):
        splitter = EventSplitter()
        events = []
        at = 0
        while at < len(STREAM):
            end = at + rng.randint(1, 9)
            events.extend(splitter.feed(STREAM[at:end]))
            at = end
        assert b''.join(event.raw for event in events) == STREAM
        assert [event.event_id for event in events] == ['1', '2', '']
        assert not splitter.remainder


def test_half_an_event_is_kept_back() -> None:
    """It is passed on only once its end has come."""
    splitter = EventSplitter()
    assert not splitter.feed(b'id: 1\ndata: a\n')
    assert splitter.remainder
    assert splitter.feed(b'\n')[0].event_id == '1'


def test_an_event_that_the_caller_has_is_a_repeat() -> None:
    """Only numbers that can be compared are."""
    assert is_repeat('3', '3')
    assert not is_repeat('4', '3')
    assert not is_repeat('10', '9')
    assert not is_repeat('', '3')
    assert not is_repeat('x', '3')
    assert not is_repeat('3', '')
