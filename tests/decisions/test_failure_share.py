"""A runner that fails a share of its runs gets little work."""

from random import Random

from bramleybend.decisions.actions import Grant, RunnerInfo, RunReport
from bramleybend.decisions.failure_share import FailureShare
from bramleybend.decisions.shard_policy import make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

RUN_S = 0.3
STEP_S = 0.01


def make_ask(number: int, now: float) -> SlotRequest:
    """Return a request of typical size."""
    return SlotRequest(
        f'a{number}',
        's',
        Tier.CRITICAL,
        'w',
        2000,
        1000,
        (),
        now + 8,
        cancellable=False,
    )


def simulate(requests_per_s: float, *, refuses: bool = False) -> dict[str, int]:
    """Return the starts of three runners, of which `grey` fails half.

    Its failed runs end at once; with `refuses`, it rejects them instead.
    """
    rng = Random(11)
    policy = make_shard_policy(
        Service('s', ServiceKind.ENGINE, 4),
        rng,
        switches=PolicySwitches(preemption=False, limits=False),
    )
    infos = [RunnerInfo(name, warm=True) for name in ('grey', 'b', 'c')]
    policy.update_runners(infos, 0)
    starts = {'grey': 0, 'b': 0, 'c': 0}
    ends: list[tuple[float, str, bool]] = []
    for step in range(int(12 / STEP_S)):
        now = step * STEP_S
        actions = []
        due = [one for one in ends if one[0] <= now]
        for end in due:
            ends.remove(end)
            report = RunReport(
                'failed' if end[2] else 'done',
                refused=end[2] and refuses,
                prompt_tokens=1000,
                completion_tokens=125,
                seconds=RUN_S,
            )
            actions.extend(policy.end_run(end[1], report, now))
        if rng.random() < requests_per_s * STEP_S:
            actions.extend(policy.request_slot(make_ask(step, now), now))
        actions.extend(policy.tick(now))
        for action in actions:
            if isinstance(action, Grant):
                starts[action.runner] += 1
                fails = action.runner == 'grey' and rng.random() < 0.5
                lasts = 0.002 if fails else RUN_S
                ends.append((now + lasts, action.request_id, fails))
    return starts


def test_a_runner_that_fails_half_gets_little_work() -> None:
    """At half of the capacity, the healthy runners get nearly all requests.

    Without the failure share the failing runner got 111 of 209 requests here,
    since a run that fails at once leaves it free; with the failure share, 8 of
    204.
    """
    got = simulate(requests_per_s=18)
    assert got['grey'] < 0.12 * sum(got.values())


def test_a_runner_that_rejects_half_gets_little_work() -> None:
    """A runner that rejects within a millisecond is free and attracts work."""
    got = simulate(requests_per_s=18, refuses=True)
    assert got['grey'] < 0.12 * sum(got.values())


def test_a_runner_that_recovers_gets_work_again() -> None:
    """The share decays, since only runs can show that a runner recovered."""
    share = FailureShare()
    for _ in range(10):
        share.record(0, failed=True)
    assert share.value(0) > 0.9
    assert share.value(12) < 0.15
    for _ in range(10):
        share.record(12, failed=False)
    assert share.value(12) < 0.02
