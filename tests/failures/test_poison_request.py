"""One request crashes each engine that runs it, and is sent again.

What the caller sees: the sender of the poison is told in the end that its
content will not be run; everybody else is served. Order: an engine dies with
all that ran on it, what was there becomes suspect and runs alone, the poison
kills again, alone, and is then refused. Why: ids do not help, as the caller
sends the same content under new ones; the content's fingerprint does.
"""

from pathlib import Path

import pytest

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.engine import POISON, EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import (
    LARGE_SCHOOL,
    Scenario,
    assert_clean,
    scenario,
)
from tests.utils.waiting import wait_until
from tests.utils.work import Work

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=60, restart_s=0.3),) * 4,
    plain_latencies_ms=(20,),
)
# About a dozen runs are under way at any time, so each crash has company.
LOAD = (Stream('debrief', 12, 8, (100, 400), (40, 80)),)
MOST_SENDS = 12
# Refused after crashes on three runners; one more may be under way at
# another VM that has not heard yet.
MOST_CRASHES = 4


def _poison(scene: Scenario, profile: str) -> Work:
    return scene.make.engine(
        LARGE_SCHOOL,
        profile,
        100,
        20,
        marker=POISON,
        deadline_s=6,
    )


def _crashes(scene: Scenario, poison: Work) -> int:
    return scene.cluster.runners.runs_of()[poison.content]


async def _send_poison_until_refused(scene: Scenario, poison: Work) -> None:
    for _ in range(MOST_SENDS):
        record = await scene.caller().send(poison)
        if record.outcome is Outcome.REJECTED:
            return
    raise AssertionError(f'poison never refused: {record.describe()}')


@pytest.mark.parametrize(
    'profile',
    [
        'syllabus-summary',  # idempotent: the system itself tries again
        'debrief',  # at most once: the caller sends it under new ids
    ],
)
async def test_a_poison_request_is_contained(
    tmp_path: Path,
    profile: str,
) -> None:
    """A few crashes, then a refusal; innocent work goes on."""
    async with scenario(LAYOUT, tmp_path) as scene:
        poison = _poison(scene, profile)
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 20,
                'every engine has company for the poison',
            )
            await _send_poison_until_refused(scene, poison)
            crashes = _crashes(scene, poison)
            assert 1 <= crashes <= MOST_CRASHES
            done = scene.count(Outcome.DONE)
            await wait_until(
                lambda: scene.count(Outcome.DONE) > done + 40,
                '40 innocent requests done after the poison was refused',
            )
        assert _crashes(scene, poison) == crashes
        assert_clean(scene.verdict())
