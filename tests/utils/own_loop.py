"""Writes down how late the test's own event loop was, beside the VMs' logs.

Callers and stand-ins live on that loop: late, they look like a platform that
is down or a runner that is slow.
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
def watched_loop(run_dir: Path) -> Iterator[None]:
    """Watch the running loop while the body runs."""
    clock = SystemClock()
    with (run_dir / LOG_NAME).open('a') as log, _events_to(log):
        watch = LoopWatch(EventLog(PROCESS, run_dir.name, clock), clock)
        watching = asyncio.create_task(watch.run())
        try:
            yield
        finally:
            watching.cancel()


@contextlib.contextmanager
def _events_to(stream: LineStream) -> Iterator[None]:
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
