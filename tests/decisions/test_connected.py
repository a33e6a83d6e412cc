"""Preference for engines with an open connection to the asking VM."""

from random import Random

import pytest

from bramleybend.decisions.actions import Grant, RunnerInfo, RunReport
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.direct.service_queue import SWITCHES
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

TOKENS = 1000
NO_RUNNERS: frozenset[str] = frozenset()


def make_ask(
    name: str,
    connected: frozenset[str] = NO_RUNNERS,
    excluded: frozenset[str] = NO_RUNNERS,
) -> SlotRequest:
    """Return a request for a slot."""
    return SlotRequest(
        name,
        'lm',
        Tier.HIGH,
        'w',
        TOKENS + 80,
        TOKENS,
        (),
        1e6,
        cancellable=False,
        connected=connected,
        excluded=excluded,
    )


def make_policy(seconds: dict[str, float]) -> ShardPolicy:
    """Return a policy that has measured these run times of its runners."""
    service = Service('lm', ServiceKind.ENGINE, slots=4)
    policy = make_shard_policy(service, Random(1), switches=SWITCHES)
    infos = [RunnerInfo(name, slots=4, warm=True) for name in seconds]
    policy.update_runners(infos, 0)
    for number, (name, whole_s) in enumerate(seconds.items()):
        others = frozenset(seconds) - {name}
        run = f'first-{number}'
        policy.request_slot(make_ask(run, excluded=others), number)
        policy.record_first_token(run, TOKENS, 0, number + whole_s / 2)
        report = RunReport(
            'done', prompt_tokens=TOKENS, completion_tokens=10, seconds=whole_s
        )
        policy.end_run(run, report, number + whole_s)
    return policy


@pytest.mark.parametrize(
    ('other_s', 'expected'), [(0.4, 'a'), (0.41, 'a'), (0.5, 'b')]
)
def test_an_open_connection_decides_between_like_runners(
    other_s: float, expected: str
) -> None:
    """A new connection costs both sides, but a slower run costs callers more."""
    policy = make_policy({'a': other_s, 'b': 0.4})
    ask = make_ask('x', connected=frozenset({'a', 'gone'}))
    (grant,) = policy.request_slot(ask, 10)
    assert isinstance(grant, Grant)
    assert grant.runner == expected


def test_a_runner_that_failed_it_is_not_used_for_its_connection() -> None:
    """It would fail the request again."""
    policy = make_policy({'a': 0.4, 'b': 0.4})
    names = frozenset({'a'})
    (grant,) = policy.request_slot(
        make_ask('x', connected=names, excluded=names), 10
    )
    assert isinstance(grant, Grant)
    assert grant.runner == 'b'
