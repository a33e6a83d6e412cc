"""A process tells when its event loop stood still."""

import asyncio
import logging
import time

import pytest

from bramleybend.clock import SystemClock
from bramleybend.events import EventLog
from bramleybend.loop_watch import INTERVAL_S, TOLD_FROM_S, LoopWatch

STALL_S = 2 * (INTERVAL_S + TOLD_FROM_S)


def _told(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    lines = [each.msg for each in caplog.records if isinstance(each.msg, dict)]
    return [line for line in lines if line['event'] == 'loop_late']


async def _stall(caplog: pytest.LogCaptureFixture, *, busy: bool) -> int:
    """Hold the loop up; return the processor time that was told, in ms."""
    clock = SystemClock()
    caplog.set_level(logging.INFO)
    watching = asyncio.create_task(
        LoopWatch(EventLog('test', 'a', clock), clock).work()
    )
    await asyncio.sleep(INTERVAL_S / 2)
    until = time.monotonic() + STALL_S
    if busy:
        turns = 0
        while time.monotonic() < until:
            turns += 1
    else:
        time.sleep(STALL_S)
    await asyncio.sleep(2 * INTERVAL_S)
    watching.cancel()
    first = _told(caplog)[0]
    assert int(str(first['late_ms'])) >= TOLD_FROM_S * 1000
    return int(str(first['cpu_ms']))


async def test_a_loop_that_was_not_run_is_told_with_little_processor_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    assert await _stall(caplog, busy=False) < TOLD_FROM_S * 1000 / 4


async def test_a_loop_that_kept_itself_busy_is_told_with_its_processor_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    asleep = await _stall(caplog, busy=False)
    caplog.clear()
    assert await _stall(caplog, busy=True) > asleep + 10
