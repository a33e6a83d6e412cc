"""A part of a prompt that crashes each runner that begins to answer on it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.direct.cluster import ENGINE, Cluster, running_cluster
from tests.utils.raw_runner import (
    RawRunner,
    ReceivedRequest,
    stream_three_events,
)

RUNNERS = 12
PARTS_HEADER = 'x-bramleybend-prompt-prefix'
SHARED_PART = 'aa:60'  # of all requests
DOCUMENTS = ('d1:500', 'd2:500', 'd3:500')  # of many sound ones
CRASHING_PART = 'bad:400'
RUN_S = 0.05  # until a runner crashes
DOWN_S = 0.5
CALL_EVERY_S = 0.06
CRASHING_EVERY = 4  # every fourth request holds the part
LOAD_S = 9.0
# From the users' documentation: more than `MAX_SENDS` requests that reach
# runners `SETTLE_S` after the fifth crash are too many.
COUNTED_CRASHES = 5
SETTLE_S = 3.0
MAX_SENDS = 3


@dataclass
class CrashingPool:
    """Runners that end, with all they run, on requests with the part."""

    cluster: Cluster
    crashed_at: list[float] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    async def start(self) -> None:
        """Start all runners."""
        for number in range(RUNNERS):
            await self._add(f'r{number}')
        await self.cluster.wait_for_runners(ENGINE, RUNNERS)

    async def finish(self) -> None:
        """Wait for runners that are being restarted."""
        await asyncio.gather(*self._tasks)

    def sends_after_settling(self) -> int:
        """Return how many requests with the part reached a runner too late."""
        if len(self.crashed_at) < COUNTED_CRASHES:
            return 0
        settled_at = self.crashed_at[COUNTED_CRASHES - 1] + SETTLE_S
        return sum(at > settled_at for at in self.received_at)

    async def _add(self, name: str) -> None:
        await self.cluster.add_runner(name, ENGINE, self._behave_of(name))

    def _behave_of(self, name: str) -> Callable[[ReceivedRequest], Any]:
        async def behave(seen: ReceivedRequest) -> None:
            if CRASHING_PART not in seen.headers.get(PARTS_HEADER, ''):
                await stream_three_events(seen)
                return
            loop = asyncio.get_running_loop()
            self.received_at.append(loop.time())
            await asyncio.sleep(RUN_S)
            runner = self.cluster.runners[name]
            task = loop.create_task(self._restart(runner))
            self._tasks.add(task)
            await asyncio.sleep(DOWN_S)

        return behave

    async def _restart(self, runner: RawRunner) -> None:
        self.crashed_at.append(asyncio.get_running_loop().time())
        await runner.stop()
        await asyncio.sleep(DOWN_S)
        await runner.start()


@dataclass
class Load:
    """Requests with and without the part, sent to the VMs in turn."""

    cluster: Cluster
    target: str
    sound: int = 0
    sound_served: int = 0
    statuses: list[int] = field(default_factory=list)

    async def send(self, seconds: float) -> None:
        """Send for some time; no two requests are alike."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        calls = set()
        number = 0
        while loop.time() < until:
            number += 1
            calls.add(asyncio.create_task(self._call(number)))
            await asyncio.sleep(CALL_EVERY_S)
        await asyncio.gather(*calls)

    async def _call(self, number: int) -> None:
        is_sound = bool(number % CRASHING_EVERY)
        self.sound += is_sound
        middle = DOCUMENTS[number % len(DOCUMENTS)]
        if not is_sound:
            middle = f'{middle},{CRASHING_PART}'
        answer = await self.cluster.call(
            f'{self.target}{number}',
            vm=number // 2 % len(self.cluster.vms),
            attempt=f'a{number}',
            body=str(number).encode(),
            X_Bramleybend_Deadline_Ms='2000',
            X_Bramleybend_Token_Counts='1000,20',
            X_Bramleybend_Prompt_Prefix=f'{SHARED_PART},{middle},{number:x}:9',
        )
        is_served = answer.status == 200 and answer.is_whole
        self.sound_served += is_sound and is_served
        if not is_sound:
            self.statuses.append(answer.status)


@pytest.mark.parametrize('vms', [1, 3])
@pytest.mark.parametrize('target', ['/draft/', '/check/'])
async def test_a_part_that_crashes_runners_is_contained(
    target: str, vms: int
) -> None:
    """Requests that share only one part must not end runner after runner."""
    async with running_cluster(vms) as cluster:
        pool = CrashingPool(cluster)
        await pool.start()
        load = Load(cluster, target)
        await load.send(LOAD_S)
        await pool.finish()
        assert pool.sends_after_settling() <= MAX_SENDS
        assert load.statuses[-1] == 503
        assert load.sound_served >= load.sound / 2
