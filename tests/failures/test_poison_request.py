"""One request crashes each engine that runs it, and is sent again.

What the caller sees: the sender of the poison is told in the end that its
content will not be run; everybody else is served. Order: an engine dies with
all that ran on it, what was there becomes suspect and runs alone, the poison
kills again, alone, and is then refused. Why: ids do not help, as the caller
sends the same content under new ones; the content's fingerprint does.
"""

import asyncio
from pathlib import Path

import pytest

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.engine import POISON, EngineConfig
from tests.utils.engine_batch import RunState
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
    """Count the runs that ended their engine.

    One that an engine admitted and that was stopped before it started, for a
    higher tier, crashed nothing.
    """
    return sum(
        run.prompt_hash == poison.content and run.state is RunState.CRASHED
        for engine in scene.cluster.runners.engines
        for run in engine.admitted
    )


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
            await scene.done_more(
                40, '40 innocent requests done after the poison was refused'
            )
        assert _crashes(scene, poison) == crashes
        assert_clean(scene.verdict())


@pytest.mark.parametrize('owner_frozen_s', [0.8, 2.0, 4.0])
async def test_a_poison_is_contained_while_its_owner_is_frozen(
    tmp_path: Path,
    owner_frozen_s: float,
) -> None:
    """No more crashes than with all VMs up, and then a refusal.

    The first crash is known to the owner of the engines' queue alone when its
    VM freezes; another VM takes over, or the frozen one wakes and goes on. The
    sender's deadline may pass in the very moment of a crash, which then nobody
    reports.
    """
    async with scenario(LAYOUT, tmp_path) as scene:
        poison = _poison(scene, 'syllabus-summary')
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 20,
                'every engine has company for the poison',
            )
            freezing = asyncio.create_task(
                _freeze_after_a_crash(scene, poison, owner_frozen_s)
            )
            await _send_poison_until_refused(scene, poison)
            await freezing
        assert 1 <= _crashes(scene, poison) <= MOST_CRASHES


async def _freeze_after_a_crash(
    scene: Scenario, poison: Work, seconds: float
) -> None:
    await wait_until(lambda: _crashes(scene, poison) >= 1, 'the first crash')
    owner = scene.cluster.vms[0]
    owner.freeze()
    await asyncio.sleep(seconds)
    owner.thaw()
