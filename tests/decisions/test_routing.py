"""Gateways agree on a shard by prefix and skip it only under load."""

from collections import Counter
from dataclasses import replace
from math import nan
from random import Random

from bramleybend.decisions.actions import ShardView
from bramleybend.decisions.prefixes import prefix_hashes
from bramleybend.decisions.routing import rank_shards
from tests.decisions.test_owner import make_ask


def make_views(*loads: int) -> list[ShardView]:
    return [
        ShardView('briefing-llm', shard, load, 0, 100, 0)
        for shard, load in enumerate(loads)
    ]


def test_gateways_agree_on_a_prefix_whatever_the_order() -> None:
    ask = make_ask('a', prefixes=('x', 'y', 'z'))
    views = make_views(10, 10, 10, 10)
    first = rank_shards(ask, views, Random(1))
    second = rank_shards(ask, views[::-1], Random(2))
    assert first[0] == second[0]
    assert sorted(first) == [0, 1, 2, 3]


def test_requests_without_prefix_spread_over_shards() -> None:
    views = make_views(10, 10, 10, 10)
    counts = Counter(
        rank_shards(make_ask(f'r{n}'), views, Random(1))[0] for n in range(400)
    )
    assert min(counts.values()) > 60


def test_overloaded_first_choice_is_ranked_last() -> None:
    ask = make_ask('a', prefixes=('x',))
    first_choice = rank_shards(ask, make_views(10, 10, 10, 10), Random(1))[0]
    loads = [100, 100, 100, 100]
    loads[first_choice] = 500
    ranked = rank_shards(ask, make_views(*loads), Random(1))
    assert ranked[-1] == first_choice


def test_overflow_is_spread_over_the_other_shards() -> None:
    """Six gateways hold the same stale view in which one shard looks idle.

    If all chose that shard, it would be overloaded before the next view;
    choosing the less loaded of two random shards spreads them.
    """
    ask = make_ask('a', prefixes=('x',))
    first_choice = rank_shards(ask, make_views(10, 10, 10, 10), Random(1))[0]
    loads = [90, 91, 92, 93]
    loads[first_choice] = 900
    chosen = Counter(
        rank_shards(ask, make_views(*loads), Random(seed))[0]
        for seed in range(300)
    )
    assert max(chosen.values()) < 250


def test_invalid_age_counts_as_unknown_load() -> None:
    ask = make_ask('a', prefixes=('x',))
    views = make_views(10, 10, 10, 10)
    expected = rank_shards(ask, views, Random(1))[0]
    for age in (-5, nan, 1e9):
        odd = [replace(view, running=10**6, age_s=age) for view in views]
        assert rank_shards(ask, odd, Random(1))[0] == expected


def test_unknown_service_has_no_shard() -> None:
    ask = make_ask('a', service='absent')
    assert not rank_shards(ask, make_views(1, 2), Random(1))


def test_prompts_with_a_common_beginning_share_hashes() -> None:
    common = 'syllabus ' * 500
    one = prefix_hashes(f'{common} first question')
    other = prefix_hashes(f'{common} second question')
    assert one[:3] == other[:3]
    assert len(one) == 3
    assert not prefix_hashes('short')
