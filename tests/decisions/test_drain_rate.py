"""Refusals on arrival, by the rate at which the slots can finish runs."""

from collections.abc import Iterator
from random import Random

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.run_feedback import DONE
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Service, ServiceKind, Tier
from tests.decisions.test_owner import make_ask

SLOTS = 8
RUN_S = 0.1
PREFILL_S = 0.03  # until the first token
COST = 2000.0
REPORT = RunReport(DONE, False, False, False, 1800, 0, 25, RUN_S)


def simulate(
    policy: ShardPolicy, arrivals: Iterator[float], tier: Tier, patience: float
) -> tuple[int, list[float]]:
    """Serve arrivals; return the starts and the waits of refused requests."""
    first_tokens: list[tuple[float, str]] = []
    ends: list[tuple[float, str]] = []
    asked: dict[str, float] = {}
    served = 0
    refusal_waits: list[float] = []

    def handle_actions(actions: list[Action], now: float) -> None:
        nonlocal served
        for action in actions:
            if isinstance(action, Grant):
                served += 1
                first_tokens.append((now + PREFILL_S, action.request_id))
                ends.append((now + RUN_S, action.request_id))
            elif isinstance(action, Refuse):
                refusal_waits.append(now - asked[action.request_id])

    pending = sorted(arrivals)
    now = float(0)
    while pending or ends:
        now += 0.01
        while first_tokens and first_tokens[0][0] <= now:
            name = first_tokens.pop(0)[1]
            handle_actions(policy.record_first_token(name, 1800, 0, now), now)
        while ends and ends[0][0] <= now:
            name = ends.pop(0)[1]
            handle_actions(policy.end_run(name, REPORT, now), now)
        while pending and pending[0] <= now:
            name = f'r{len(asked)}'
            asked[name] = now
            ask = make_ask(
                name,
                tier=tier,
                cost=COST,
                prompt_tokens=1800,
                deadline=now + patience,
            )
            handle_actions(policy.request_slot(ask, now), now)
            pending.pop(0)
        handle_actions(policy.tick(now), now)
    return served, refusal_waits


def make_engine_policy(runners: int = 1) -> ShardPolicy:
    """Return the policy of a new owner of an engine service."""
    service = Service('llm', ServiceKind.ENGINE, SLOTS)
    switches = PolicySwitches(preemption=False, limits=False)
    policy = make_shard_policy(service, Random(3), switches=switches)
    infos = [
        RunnerInfo(f'e{number}', False, SLOTS, True)
        for number in range(runners)
    ]
    policy.update_runners(infos, 0)
    return policy


def test_a_new_owner_refuses_nothing_that_its_slots_can_serve() -> None:
    """Guards against a drain rate that is guessed before the first run.

    A new owner gets 100 requests within a tenth of a second. Its slots finish
    80 per second, so the last waits for little more than one of its three
    seconds. With a guess of 4,000 units per second most seemed to wait too
    long: 13 of 100 were served.
    """
    burst = (number * 0.001 for number in range(100))
    served, waited = simulate(make_engine_policy(), burst, Tier.NORMAL, 3)
    assert served == 100
    assert not waited


def test_burst_after_a_quiet_time_is_served() -> None:
    """Guards against a drain rate measured by the arrivals of a quiet time.

    Five requests per second use a tenth of the slots for a minute, then 150
    arrive at once. The cost finished per second in the quiet time says nothing
    about the capacity.
    """
    quiet = [number * 0.2 for number in range(300)]
    burst = [60 + number * 0.001 for number in range(150)]
    served, _ = simulate(
        make_engine_policy(), iter([*quiet, *burst]), Tier.NORMAL, 3
    )
    assert served >= 440
