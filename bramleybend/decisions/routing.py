"""Selection of the shard of a service that a gateway asks.

Load pattern: prefixes shared by many requests, sent by gateways that each hold
a stale view of the shards.
Without it: requests with one prefix are spread over all shards, and each shard
prefills it again; or all gateways send to the shard that last looked idle.

Shards are ranked by a rendezvous hash of the prefix, so that all gateways agree
without communication. The first choice is skipped only if its load exceeds the
mean by a factor of `MAX_LOAD_RATIO`; the next is the less loaded of two random
shards, since stale loads would make the least loaded shard the target of all
gateways.
"""

from collections.abc import Sequence
from random import Random

from xxhash import xxh64_intdigest

from bramleybend.decisions.actions import ShardView
from bramleybend.decisions.prefixes import routing_key
from bramleybend.models import SlotRequest

MAX_LOAD_RATIO = 1.25  # of the mean; the usual bound of bounded-load hashing
MAX_VIEW_AGE_S = 5.0  # older loads count as unknown


def rank_shards(
    ask: SlotRequest,
    shards: Sequence[ShardView],
    rng: Random,
) -> list[int]:
    """Return the shards of a request's service to ask, best first."""
    views = [view for view in shards if view.service == ask.service]
    if not views:
        return []
    mean = sum(_load(view) for view in views) / len(views)
    ranked = sorted(views, key=lambda view: _score(ask, view), reverse=True)
    first = ranked[0]
    max_load = max(mean, 1) * MAX_LOAD_RATIO
    if len(ranked) > 1 and _load(first) > max_load:
        ranked = _less_loaded_first(ranked[1:], rng) + [first]
    return [view.shard for view in ranked]


def _less_loaded_first(views: list[ShardView], rng: Random) -> list[ShardView]:
    sample = rng.sample(views, min(2, len(views)))
    chosen = min(sample, key=_load)
    return [chosen] + [view for view in views if view is not chosen]


def _load(view: ShardView) -> float:
    if not 0 <= view.age_s <= MAX_VIEW_AGE_S:
        return 1
    return (view.running + view.waiting) / max(view.limit, 1)


def _score(ask: SlotRequest, view: ShardView) -> int:
    key = routing_key(ask.prefixes, ask.request_id)
    return xxh64_intdigest(f'{key}/{view.service}/{view.shard}'.encode())
