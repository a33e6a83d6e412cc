"""The command line entry point that all stand-ins share."""

import argparse
import asyncio
import signal
from collections.abc import Callable
from typing import Protocol


class StandIn(Protocol):
    """The interface of a stand-in."""

    async def start(self) -> None:
        """Listen."""

    async def stop(self) -> None:
        """Stop listening and close all connections."""


def parser(description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the flags that all stand-ins share."""
    flags = argparse.ArgumentParser(description=description)
    flags.add_argument('--host', default='127.0.0.1')
    flags.add_argument('--port', type=int, required=True)
    flags.add_argument('--seed', type=int, default=0)
    return flags


def run(make: Callable[[], StandIn]) -> None:
    """Run the stand-in that `make` returns until SIGTERM or SIGINT."""
    asyncio.run(_serve_until_signal(make))


async def _serve_until_signal(make: Callable[[], StandIn]) -> None:
    standin = make()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await standin.start()
    await stopped.wait()
    await standin.stop()
