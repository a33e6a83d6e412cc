"""Tells a crashed runner from a connection that a lost path has reset.

Failure: a VM's paths to runners are reset while its requests run there. If each
reset counted as a crash under the request's content, sound content would be
refused after a few of them.

A crash is recorded at once, as other requests with the content may come at any
moment. Then the runner is connected to anew: if it is reached, but only through
another VM, the record is withdrawn.
"""

import asyncio

from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.containment import Containment, ContentIds
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.runner_connector import PathLostError


class CrashCheck:
    """Records crashes and withdraws those that were none."""

    def __init__(
        self, channels: RunnerChannels, containment: Containment
    ) -> None:
        """Check by new connections, which are kept for later requests."""
        self._channels = channels
        self._containment = containment
        self._tasks: set[asyncio.Task[None]] = set()

    def record_crash(self, content: ContentIds, runner: RunnerEntry) -> None:
        """Record that a runner closed its connection while running content."""
        self._containment.record_crash(content, runner)
        task = asyncio.create_task(self._check(content, runner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, content: ContentIds, runner: RunnerEntry) -> None:
        if await self._is_path_lost(runner):
            self._containment.withdraw_crash(content, runner)

    async def _is_path_lost(self, runner: RunnerEntry) -> bool:
        try:
            channel = await self._channels.connector.connect(runner)
        except PathLostError:
            return True
        except OSError:
            return False  # it is down; logged as a lost path
        self._channels.add_idle(runner, channel)
        return channel.via is not None
