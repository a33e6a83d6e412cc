"""One request crashes each engine that runs it, and its caller sends it again.

A crashed engine loses all its runs; each of their contents becomes suspect and
is run alone from then on. The poison crashes more engines, alone, and is then
rejected, while all other callers are served. Suspects are identified by a
fingerprint of their content, as the caller sends the content under new ids.
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
# About a dozen runs are under way at any time, so each crash ends other runs.
LOAD = (Stream('debrief', 12, 8, (100, 400), (40, 80)),)
MAX_SENDS = 12
# The content is rejected after crashes on three runners; another VM that has
# not heard of them yet may be running it once more.
MAX_CRASHES = 4


def _make_poison(scene: Scenario, profile: str) -> Work:
    return scene.make.engine(
        LARGE_SCHOOL,
        profile,
        100,
        20,
        marker=POISON,
        deadline_s=6,
    )


def _count_crashes(scene: Scenario, poison: Work) -> int:
    """Return the number of runs that crashed their engine.

    A run that its engine admitted and stopped for a higher tier before it
    started does not count.
    """
    return sum(
        run.prompt_hash == poison.content and run.state is RunState.CRASHED
        for engine in scene.cluster.runners.engines
        for run in engine.admitted
    )


async def _send_poison_until_rejected(scene: Scenario, poison: Work) -> None:
    for _ in range(MAX_SENDS):
        record = await scene.caller().send(poison)
        if record.outcome is Outcome.REJECTED:
            return
    raise AssertionError(f'poison never rejected: {record.describe()}')


@pytest.mark.parametrize(
    'profile',
    [
        'syllabus-summary',  # idempotent: the system itself retries it
        'debrief',  # at most once: the caller resends it under new ids
    ],
)
async def test_a_poison_request_is_contained(
    tmp_path: Path,
    profile: str,
) -> None:
    """A few crashes, then a rejection; all other requests are served."""
    async with scenario(LAYOUT, tmp_path) as scene:
        poison = _make_poison(scene, profile)
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 20,
                'every engine has other runs besides the poison',
            )
            await _send_poison_until_rejected(scene, poison)
            crashes = _count_crashes(scene, poison)
            assert 1 <= crashes <= MAX_CRASHES
            await scene.done_more(
                40, '40 other requests done after the poison was rejected'
            )
        assert _count_crashes(scene, poison) == crashes
        assert_clean(scene.verdict())


@pytest.mark.parametrize('owner_frozen_s', [0.8, 2.0, 4.0])
async def test_a_poison_is_contained_while_its_owner_is_frozen(
    tmp_path: Path,
    owner_frozen_s: float,
) -> None:
    """No more crashes than with all VMs up, and then a rejection.

    Only the owner of the engines' queue knows of the first crash when its VM
    freezes; another VM takes over, or the frozen one resumes. The sender's
    deadline may pass just when an engine crashes; then nobody reports that
    crash.
    """
    async with scenario(LAYOUT, tmp_path) as scene:
        poison = _make_poison(scene, 'syllabus-summary')
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 20,
                'every engine has other runs besides the poison',
            )
            freezing = asyncio.create_task(
                _freeze_owner_after_crash(scene, poison, owner_frozen_s)
            )
            await _send_poison_until_rejected(scene, poison)
            await freezing
        assert 1 <= _count_crashes(scene, poison) <= MAX_CRASHES


async def _freeze_owner_after_crash(
    scene: Scenario, poison: Work, seconds: float
) -> None:
    await wait_until(
        lambda: _count_crashes(scene, poison) >= 1, 'the first crash'
    )
    owner = scene.cluster.vms[0]
    owner.freeze()
    await asyncio.sleep(seconds)
    owner.thaw()
