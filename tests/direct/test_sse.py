"""Events are split correctly however the bytes arrive."""

from random import Random

from bramleybend.direct.relay import is_repeat
from bramleybend.direct.sse import EventSplitter

STREAM = b'id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\r\n\r\ndata: c\n\n'


def test_events_are_whole_however_the_bytes_are_cut() -> None:
    """Each way to split the bytes gives the same events."""
    rng = Random(5)
    for _ in range(200):
        splitter = EventSplitter()
        events = []
        start = 0
        while start < len(STREAM):
            end = start + rng.randint(1, 9)
            events.extend(splitter.feed(STREAM[start:end]))
            start = end
        assert b''.join(event.raw for event in events) == STREAM
        assert [event.event_id for event in events] == ['1', '2', '']
        assert not splitter.remainder


def test_half_an_event_is_kept_back() -> None:
    """An event is returned only once it is complete."""
    splitter = EventSplitter()
    assert not splitter.feed(b'id: 1\ndata: a\n')
    assert splitter.remainder
    assert splitter.feed(b'\n')[0].event_id == '1'


def test_an_event_that_the_caller_has_is_a_repeat() -> None:
    """Only numeric event ids are compared."""
    assert is_repeat('3', '3')
    assert not is_repeat('4', '3')
    assert not is_repeat('10', '9')
    assert not is_repeat('', '3')
    assert not is_repeat('x', '3')
    assert not is_repeat('3', '')
