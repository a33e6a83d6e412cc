"""Logs the lag of the test's own event loop next to the VMs' logs.

Callers and stand-ins run on that loop. If it lags, they look like a platform
that is down or a slow runner.
"""

import asyncio
import contextlib
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from bramleybend.clock import SystemClock
from bramleybend.events import (
    EVENT_LOGGER,
    EventLog,
    LineStream,
    make_line_handler,
)
from bramleybend.loop_watch import LoopWatch

LOG_NAME: Final = 'test.log'
PROCESS: Final = 'test'


@contextlib.contextmanager
def log_loop_lag(run_dir: Path) -> Iterator[None]:
    """Log the lag of the running event loop during the body."""
    clock = SystemClock()
    with (run_dir / LOG_NAME).open('a') as log, _log_events_to(log):
        watch = LoopWatch(EventLog(PROCESS, run_dir.name, clock), clock)
        watch_task = asyncio.create_task(watch.run())
        try:
            yield
        finally:
            watch_task.cancel()


@contextlib.contextmanager
def _log_events_to(stream: LineStream) -> Iterator[None]:
    logger = logging.getLogger(EVENT_LOGGER)
    handler = make_line_handler(stream)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
