"""The selection of the next start, compared with an exhaustive evaluation."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from math import inf
from random import Random
from typing import Any

import pytest

from bramleybend.decisions.actions import RunnerInfo
from bramleybend.decisions.cache_view import CacheView
from bramleybend.decisions.dispatch import (
    MAX_EVALUATED,
    MIN_HOLD_GAIN_S,
    POSITION_PENALTY_S,
    Candidate,
    choose_next,
)
from bramleybend.decisions.drain_rate import DrainRate
from bramleybend.decisions.failure_share import FAILURE_COST_S
from bramleybend.decisions.placement import (
    PREFILL_IMPACT,
    SHORT_PREFILL_TOKENS,
    RunnerSnapshot,
    TimeLeft,
    snapshot_runners,
)
from bramleybend.decisions.pool import RunnerPool
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.decisions.tier_queue import WINDOW_ENTRIES, WaitingEntry
from bramleybend.decisions.waiting_queue import MinRunTime, WaitingQueue
from bramleybend.models import SlotRequest, Tier

NOW = 1000.0
STATES = 400
MIN_TIME = MinRunTime(0.1, 0.3)
PREFIXES = [f'prefix-{number}' for number in range(12)]


def expected_cost(snapshot: RunnerSnapshot, ask: SlotRequest) -> float:
    """Compute the cost of a run on a runner, with its cached prefixes."""
    prefill = snapshot.prefill_tokens(ask)
    decode = max(ask.cost - ask.prompt_tokens, 1)
    seconds = snapshot.backlog_s + snapshot.pace.seconds(prefill, decode)
    work = prefill / snapshot.mean_pace.prefill_per_s
    return (
        seconds
        + work * PREFILL_IMPACT
        + snapshot.failure_share * FAILURE_COST_S
    )


def is_startable(
    snapshot: RunnerSnapshot, ask: SlotRequest, left: TimeLeft
) -> bool:
    """Tell whether a request may start on a runner and ends in time there."""
    if not snapshot.is_free:
        return False
    short = snapshot.prefill_tokens(ask) <= SHORT_PREFILL_TOKENS
    if snapshot.backlog_s >= snapshot.max_backlog_s and not short:
        return False
    first_token_s = snapshot.backlog_s + snapshot.pace.seconds(
        snapshot.prefill_tokens(ask), 0
    )
    in_time = (
        first_token_s < left.first_token_s
        and snapshot.estimate_run_s(ask) < left.total_s
    )
    return in_time or not snapshot.runner.in_flight


def expected_candidates(
    shard: Shard, window: list[WaitingEntry], snapshots: list[RunnerSnapshot]
) -> Iterator[Candidate]:
    """Evaluate each entry of a window on every runner."""
    can_hold = shard.switches.holding and len(window) < min(
        len(snapshots), WINDOW_ENTRIES
    )
    has_slot_for_each = len(shard.queue) <= sum(
        one.is_free for one in snapshots
    )
    for position, entry in enumerate(window):
        ask = entry.ask
        left = TimeLeft(inf, inf)
        is_tried = has_slot_for_each and entry.urgent_at <= NOW
        if shard.switches.expiry and not is_tried:
            left = TimeLeft(ask.begin_by - NOW, ask.deadline - NOW)
        eligible = [
            one for one in snapshots if one.runner.name not in ask.excluded
        ]
        startable = [one for one in eligible if is_startable(one, ask, left)]
        if not startable:
            continue
        best = min(startable, key=lambda one: expected_cost(one, ask))
        cheapest = min(
            eligible, key=lambda one: expected_cost(one, ask) + one.wait_s
        )
        min_cost = expected_cost(cheapest, ask) + cheapest.wait_s
        regret = (
            expected_cost(best, ask) - min_cost + position * POSITION_PENALTY_S
        )
        saves_prefill = cheapest.prefill_tokens(ask) < best.prefill_tokens(ask)
        is_worth_holding = saves_prefill or len(shard.queue) < len(snapshots)
        held_until = min(entry.urgent_at, entry.on_time_until - MIN_HOLD_GAIN_S)
        is_held = (
            can_hold
            and is_worth_holding
            and regret >= MIN_HOLD_GAIN_S
            and held_until > NOW
        )
        if not is_held:
            yield Candidate(entry, best.runner, regret, saves_prefill)


def expected_choice(shard: Shard) -> Candidate | None:
    """Return the candidate that an exhaustive evaluation starts."""
    snapshots = snapshot_runners(shard, NOW)
    windows = shard.queue.windows(shard.lowest_startable_tier(NOW))
    max_prefill = max(
        (one.max_prefill_tokens() for one in snapshots), default=-1
    )
    evaluated = 0
    for window in windows:
        candidates = list(expected_candidates(shard, window, snapshots))
        if candidates:
            return min(candidates, key=lambda one: one.regret)
        evaluated += sum(
            entry.min_prefill_tokens <= max_prefill for entry in window
        )
        if evaluated >= MAX_EVALUATED:
            return None
    return None


def random_ask(rng: Random, number: int) -> SlotRequest:
    """Return a request that may share its first prefixes with others."""
    prompt = rng.choice([40, 500, 3000, 12_000])
    return SlotRequest(
        request_id=f'req-{number}',
        service='model-1',
        tier=Tier(rng.randint(1, 4)),
        workspace=f'workspace-{rng.randint(0, 3)}',
        cost=prompt + rng.choice([0, 160, 4000]),
        prompt_tokens=prompt,
        prefixes=tuple(rng.sample(PREFIXES, rng.randint(0, 4))),
        deadline=NOW + rng.choice([0.2, 1, 5, 60]),
        begin_by=NOW + rng.choice([0.1, 0.5, 2, inf]),
        cancellable=False,
        excluded=frozenset(rng.sample(['r0', 'r1', 'r2'], rng.randint(0, 2))),
        on_time_until=NOW + rng.choice([0.1, 0.5, 2, inf]),
    )


def randomize_runner(rng: Random, runner: Runner) -> None:
    """Put a runner into a random state."""
    runner.leaving = rng.random() < 0.1
    runner.backlog_tokens = rng.choice([0, 0, 400, 3000, 20_000])
    runner.mean_run_s = rng.choice([0.01, 0.2, 1, 4])
    run_count = rng.randint(0, 4)
    runner.in_flight = {f'run-{number}' for number in range(run_count)}
    if rng.random() < 0.7:
        runner.pace_estimator.record_prefill(3000, rng.choice([0.06, 0.2, 1.5]))
        runner.pace_estimator.record_decode(200, rng.choice([0.1, 0.4, 2]))
    if rng.random() < 0.3:
        runner.failures.record(NOW - rng.random(), failed=True)
    runner.cache.record_sent(rng.sample(PREFIXES, rng.randint(0, 8)), NOW - 1)


def random_shard(rng: Random, switches: PolicySwitches) -> Shard:
    """Return a shard with a queue and one to thirty runners."""
    pool = RunnerPool(4, switches)
    count = rng.choice([1, 3, 8, 30])
    infos = [RunnerInfo(f'r{number}') for number in range(count)]
    pool.update(infos, (), NOW - rng.choice([1, 3, 100]))
    for runner in pool:
        randomize_runner(rng, runner)
    queue = WaitingQueue({}, tiers=True, fair=True, short_first=True)
    for number in range(rng.choice([1, 5, 40])):
        queue.add(random_ask(rng, number), NOW - rng.random() * 3, MIN_TIME)
    return Shard(
        pool, queue, WaitingQueue({}), DrainRate(), rng, switches=switches
    )


@pytest.mark.parametrize(
    'switches',
    [
        PolicySwitches(),
        PolicySwitches(holding=False),
        PolicySwitches(expiry=False),
    ],
    ids=['all', 'no holding', 'no expiry'],
)
def test_choice_equals_exhaustive_evaluation(switches: PolicySwitches) -> None:
    """Runners that are skipped without an evaluation are never the best."""
    rng = Random(23)
    started = 0
    for _ in range(STATES):
        shard = random_shard(rng, switches)
        expected = expected_choice(shard)
        assert choose_next(shard, NOW) == expected
        started += expected is not None
    assert STATES / 4 < started < STATES, 'both outcomes occur'


def test_each_cache_is_looked_up_once_per_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cache lookups are most of an owner's processor time.

    With 300 requests and a standing queue of 50 at 70 runners, each pair of a
    waiting request and a runner took 4.5 lookups without the shortcuts and
    takes 0.94 with them.
    """
    lookups: Counter[int] = Counter()
    cached_tokens = CacheView.cached_tokens

    def counted(view: CacheView, *asked: Any) -> int:
        lookups[id(view)] += 1
        return cached_tokens(view, *asked)

    monkeypatch.setattr(CacheView, 'cached_tokens', counted)
    rng = Random(29)
    for _ in range(STATES):
        shard = random_shard(rng, PolicySwitches())
        lookups.clear()
        choose_next(shard, NOW)
        assert max(lookups.values(), default=0) <= len(shard.queue)


def test_request_without_prefixes_looks_up_no_cache(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An owner with needless lookups falls behind its callers."""
    shard = random_shard(Random(31), PolicySwitches())
    shard.queue = WaitingQueue({})
    for number in range(20):
        ask = replace(random_ask(Random(number), number), prefixes=())
        shard.queue.add(ask, NOW, MIN_TIME)
    lookups = 0

    def counted(view: CacheView, *asked: Any) -> int:
        nonlocal lookups
        lookups += 1
        return 0

    monkeypatch.setattr(CacheView, 'cached_tokens', counted)
    assert choose_next(shard, NOW) is not None
    assert not lookups
