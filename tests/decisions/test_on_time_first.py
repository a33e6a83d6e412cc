"""A queue that takes longer than the objective of its requests."""

from random import Random

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.shard_policy import make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

RUN_S = 0.1
ARRIVAL_INTERVAL_S = 0.06  # 1.7 times the capacity of the runner
OBJECTIVE_S = 0.5
PATIENCE_S = 3.0
REQUEST_COUNT = 150


def simulate(*, on_time_first: bool) -> tuple[int, int, float]:
    """Return the starts on time, all starts, and the longest wait."""
    policy = make_shard_policy(
        Service('lm', ServiceKind.ENGINE, slots=1),
        Random(1),
        switches=PolicySwitches(
            limits=False, preemption=False, on_time_first=on_time_first
        ),
    )
    policy.update_runners(
        [RunnerInfo('r1', leaving=False, slots=1, warm=True)], 0
    )
    arrivals = {
        f'a{number:03}': number * ARRIVAL_INTERVAL_S
        for number in range(REQUEST_COUNT)
    }
    started: dict[str, float] = {}
    refused: set[str] = set()
    ends: dict[str, float] = {}

    def act(actions: list[Action], now: float) -> None:
        for action in actions:
            if isinstance(action, Grant):
                started[action.request_id] = now
                ends[action.request_id] = now + RUN_S
            elif isinstance(action, Refuse):
                refused.add(action.request_id)

    for step in range(int(REQUEST_COUNT * ARRIVAL_INTERVAL_S * 200)):
        now = step / 100
        due = tuple(name for name, at in ends.items() if at <= now)
        for name in due:
            ends.pop(name)
            report = RunReport('done', prompt_tokens=10, completion_tokens=1)
            act(policy.end_run(name, report, now), now)
        for name, at in arrivals.items():
            if at <= now < at + 0.01:
                act(policy.request_slot(make_ask(name, at), now), now)
        act(policy.tick(now), now)
    waits = {name: at - arrivals[name] for name, at in started.items()}
    on_time = sum(wait <= OBJECTIVE_S for wait in waits.values())
    return on_time, len(waits), max(waits.values())


def make_ask(name: str, now: float) -> SlotRequest:
    return SlotRequest(
        name,
        'lm',
        Tier.NORMAL,
        'w',
        18,
        10,
        (),
        now + PATIENCE_S,
        cancellable=False,
        on_time_until=now + OBJECTIVE_S,
    )


def test_more_callers_are_served_on_time_in_a_long_queue() -> None:
    """Guards against a queue in order of arrival that makes every request late.

    For nine seconds, requests arrive at 1.7 times the capacity. In order of
    arrival the queue soon takes longer than the objective. With late requests
    last, the runner serves those that can still be on time; as many are served
    in all, and none waits longer than its patience.
    """
    before = simulate(on_time_first=False)
    after = simulate(on_time_first=True)
    assert before[0] <= REQUEST_COUNT * 0.1
    assert after[0] >= REQUEST_COUNT * 0.2
    assert after[1] >= before[1] * 0.95
    assert after[2] <= PATIENCE_S
