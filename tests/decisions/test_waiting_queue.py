"""Order of starts and expiry of waiting requests."""

from bramleybend.decisions.waiting_queue import MinRunTime, WaitingQueue
from bramleybend.models import Tier
from tests.decisions.test_owner import make_ask

MIN_TIME = MinRunTime(0, 1)


def start_entries(queue: WaitingQueue, count: int) -> list[str]:
    names = []
    for _ in range(count):
        entry = next(queue.windows(Tier.BULK))[0]
        queue.remove(entry.ask.request_id)
        queue.charge(entry.ask, entry.ask.cost)
        names.append(entry.ask.request_id)
    return names


def test_large_workspace_does_not_delay_a_small_one() -> None:
    queue = WaitingQueue({})
    for number in range(100):
        queue.add(make_ask(f'large{number:03}', workspace='large'), 0, MIN_TIME)
    for number in range(3):
        queue.add(make_ask(f'small{number}', workspace='small'), 1, MIN_TIME)
    first = start_entries(queue, 6)
    assert sum(name.startswith('small') for name in first) == 3


def test_weights_share_in_proportion() -> None:
    queue = WaitingQueue({'a': 3, 'b': 1})
    for number in range(40):
        queue.add(make_ask(f'a{number}', workspace='a'), 0, MIN_TIME)
        queue.add(make_ask(f'b{number}', workspace='b'), 0, MIN_TIME)
    first = start_entries(queue, 20)
    assert sum(name.startswith('a') for name in first) == 15


def test_idle_workspace_earns_no_credit() -> None:
    queue = WaitingQueue({})
    for number in range(50):
        queue.add(make_ask(f'a{number:02}', workspace='a'), 0, MIN_TIME)
    start_entries(queue, 40)
    for number in range(20):
        queue.add(make_ask(f'b{number:02}', workspace='b'), 9, MIN_TIME)
    assert sum(name.startswith('b') for name in start_entries(queue, 10)) <= 6


def test_short_request_overtakes_long_one_for_a_bounded_time() -> None:
    queue = WaitingQueue({})
    queue.add(make_ask('long', cost=20_000, deadline=900), 0, MIN_TIME)
    queue.add(make_ask('short', cost=100, deadline=900), 5, MIN_TIME)
    queue.add(make_ask('late', cost=100, deadline=900), 60, MIN_TIME)
    assert start_entries(queue, 3) == ['short', 'long', 'late']


def test_long_request_is_overtaken_for_a_share_of_its_wait() -> None:
    """If overtaken for longer than its caller waits, it would never start."""
    queue = WaitingQueue({})
    long = make_ask('long', cost=20_000, deadline=900, begin_by=4)
    queue.add(long, 0, MIN_TIME)
    queue.add(make_ask('short', cost=100, deadline=900), 0.3, MIN_TIME)
    queue.add(make_ask('late', cost=100, deadline=900), 1, MIN_TIME)
    assert start_entries(queue, 3) == ['short', 'long', 'late']


def test_tiers_have_priority_over_weights() -> None:
    queue = WaitingQueue({'bulk': 1000})
    queue.add(make_ask('a', workspace='bulk', tier=Tier.BULK), 0, MIN_TIME)
    queue.add(make_ask('b', tier=Tier.CRITICAL), 5, MIN_TIME)
    assert start_entries(queue, 2) == ['b', 'a']


def test_invalid_weight_counts_as_one() -> None:
    queue = WaitingQueue({'a': -3, 'b': 0})
    for number in range(10):
        queue.add(make_ask(f'a{number}', workspace='a'), 0, MIN_TIME)
        queue.add(make_ask(f'b{number}', workspace='b'), 0, MIN_TIME)
    assert sum(name.startswith('a') for name in start_entries(queue, 10)) == 5


def test_entries_leave_in_order_of_their_latest_start() -> None:
    queue = WaitingQueue({})
    queue.add(make_ask('a', deadline=10), 0, MinRunTime(0, 2))
    queue.add(make_ask('b', deadline=5), 0, MinRunTime(0, 2))
    assert queue.next_expiry(Tier.NORMAL) == 4
    late = queue.expired(4.5, Tier.NORMAL)
    assert [entry.ask.request_id for entry in late] == ['b']
    queue.remove('b')
    assert queue.next_expiry(Tier.NORMAL) == 9


def test_next_urgent_skips_entries_that_are_urgent() -> None:
    """Guards against an urgent entry that hides the next wake-up time.

    Otherwise the owner does not wake for a held request while an urgent one
    waits.
    """
    queue = WaitingQueue({})
    queue.add(make_ask('a', deadline=10), 0, MIN_TIME)
    queue.add(make_ask('b', deadline=20), 0, MIN_TIME)
    first = queue.next_urgent(Tier.NORMAL, 0)
    assert first < queue.next_urgent(Tier.NORMAL, first) < 20
