"""What a VM tells of itself: a late event loop, callers that left, bursts."""

import asyncio
import logging
import time
from typing import Any

import pytest

from bramleybend.direct.process import SWEEP_S
from bramleybend.direct.traffic import LARGE_BYTES
from bramleybend.loop_watch import TOLD_FROM_S
from tests.direct.world import PLAIN, playing
from tests.utils.peer_network import started
from tests.utils.raw_runner import Seen, answers
from tests.utils.waiting import wait_until


def _events(caplog: pytest.LogCaptureFixture, name: str) -> list[Any]:
    lines = [each.msg for each in caplog.records if isinstance(each.msg, dict)]
    return [line for line in lines if line['event'] == name]


def _stand_still(seconds: float) -> None:
    time.sleep(seconds)


async def test_an_entry_vm_tells_that_its_loop_stood_still(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    async with playing():
        await asyncio.sleep(SWEEP_S / 2)
        _stand_still(SWEEP_S + 2 * TOLD_FROM_S)
        await asyncio.sleep(2 * SWEEP_S)
    assert _events(caplog, 'loop_late')[0]['late_ms'] >= TOLD_FROM_S * 1000


async def test_a_caller_that_leaves_is_told_with_what_became_of_its_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    free = asyncio.Event()

    async def behave(seen: Seen) -> None:
        await free.wait()
        await answers(seen)

    async with playing() as world:
        runner = await world.add_runner('r1', PLAIN, behave)
        await world.knows(PLAIN)
        callers = [await world.connect() for _ in range(5)]
        for number, caller in enumerate(callers):
            await caller.send('/read/x', attempt=f'a{number}')
        await wait_until(lambda: len(runner.seen) == 4, 'four runs')
        for caller in callers:
            caller.close()
        await wait_until(
            lambda: len(_events(caplog, 'caller_left')) == 5, 'five lines'
        )
        left = world.vms[0].entry.meters.counters['callers_left']
        assert left == {(PLAIN, 'placed'): 4, (PLAIN, 'queued'): 1}
        free.set()


def test_a_vm_tells_when_its_messages_would_fill_a_thin_link(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    started(9)
    assert not _events(caplog, 'peer_burst')
    started(84)
    bursts = _events(caplog, 'peer_burst')
    assert bursts
    assert all(line['bytes'] >= LARGE_BYTES for line in bursts)
