"""The owner of a queue is paused for about a second under load."""

import asyncio
import signal
from pathlib import Path

import pytest

from bramleybend.answers import Outcome
from tests.utils.cluster import Layout
from tests.utils.load import Stream
from tests.utils.scenario import assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(vms=3, engines=(), plain_latencies_ms=(20, 30))
LOAD = (Stream('availability', 10, 5),)
SERVICE = 'booking-app'


@pytest.mark.parametrize('pause_s', [0.5, 0.9, 1.2])
async def test_lookups_outlive_a_brief_pause_of_their_owner(
    tmp_path: Path,
    pause_s: float,
) -> None:
    """Guards against lookups that wait at an owner with unusable grants."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 20,
                'lookups are served before the pause',
            )
            owner = scene.owner(SERVICE).scheduler
            owner.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            owner.send_signal(signal.SIGCONT)
            await scene.done_more(60, 'lookups are served after the pause')
        assert not scene.count(Outcome.NOT_RUN), scene.verdict().reasons
        assert_clean(scene.verdict())
