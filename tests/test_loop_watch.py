"""Delays of the event loop are logged with the CPU time used meanwhile."""

import asyncio
import logging
import time

import pytest

from bramleybend.clock import SystemClock
from bramleybend.events import EventLog
from bramleybend.loop_watch import INTERVAL_S, TOLD_FROM_S, LoopWatch

STALL_S = 2 * (INTERVAL_S + TOLD_FROM_S)


def _delay_events(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    lines = [each.msg for each in caplog.records if isinstance(each.msg, dict)]
    return [line for line in lines if line['event'] == 'loop_late']


async def _block_loop(caplog: pytest.LogCaptureFixture, *, busy: bool) -> int:
    """Block the event loop; return the logged CPU time in milliseconds."""
    clock = SystemClock()
    caplog.set_level(logging.INFO)
    monitor = asyncio.create_task(
        LoopWatch(EventLog('test', 'a', clock), clock).run()
    )
    await asyncio.sleep(INTERVAL_S / 2)
    deadline = time.monotonic() + STALL_S
    if busy:
        iterations = 0
        while time.monotonic() < deadline:
            iterations += 1
    else:
        time.sleep(STALL_S)
    await asyncio.sleep(2 * INTERVAL_S)
    monitor.cancel()
    first = _delay_events(caplog)[0]
    assert int(str(first['late_ms'])) >= TOLD_FROM_S * 1000
    return int(str(first['cpu_ms']))


async def test_a_loop_that_was_not_run_is_told_with_little_processor_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    assert await _block_loop(caplog, busy=False) < TOLD_FROM_S * 1000 / 4


async def test_a_loop_that_kept_itself_busy_is_told_with_its_processor_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    idle_cpu_ms = await _block_loop(caplog, busy=False)
    caplog.clear()
    assert await _block_loop(caplog, busy=True) > idle_cpu_ms + 10
