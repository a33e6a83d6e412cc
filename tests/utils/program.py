"""Runs one stand-in as a program of its own."""

import argparse
import asyncio
import signal
from collections.abc import Callable
from typing import Protocol


class StandIn(Protocol):
    """What every stand-in can do."""

    async def start(self) -> None:
        """Listen."""

    async def stop(self) -> None:
        """Stop listening and drop every connection."""


def parser(description: str) -> argparse.ArgumentParser:
    """Return the flags that all stand-ins share."""
    flags = argparse.ArgumentParser(description=description)
    flags.add_argument('--host', default='127.0.0.1')
    flags.add_argument('--port', type=int, required=True)
    flags.add_argument('--seed', type=int, default=0)
    return flags


def run(make: Callable[[], StandIn]) -> None:
    """Serve until SIGTERM or SIGINT."""
    asyncio.run(_serve(make))


async def _serve(make: Callable[[], StandIn]) -> None:
    standin = make()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await standin.start()
    await stopped.wait()
    await standin.stop()
