"""What runs for a workspace stays within its limit, whatever becomes of it."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from tests.direct.cluster import (
    ENGINE,
    PLAIN,
    Cluster,
    publish_token_limit,
    running_cluster,
)
from tests.utils.raw_runner import (
    ReceivedRequest,
    answer_at_once,
    stream_three_events,
)
from tests.utils.waiting import wait_until

RATE, BURST = 2000, 500
WINDOW_S: Final = 1
SLACK: Final = 300  # three requests
TOKENS: Final = 100  # of one request
ALLOWED: Final = RATE * WINDOW_S + BURST + SLACK
SLOTS: Final = 4  # of a runner
PER_S: Final = 60  # requests, three times the rate


@dataclass
class Load:
    """Requests of one workspace, and when their runs began."""

    cluster: Cluster
    target: str
    sent_at: dict[str, float] = field(default_factory=dict)
    run_at: list[tuple[float, str]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    tasks: list['asyncio.Task[None]'] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Send requests at an even rate."""
        for _ in range(int(seconds * PER_S)):
            self.tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(1 / PER_S)

    def note_run(self, seen: ReceivedRequest) -> bool:
        """Note a run; return whether it is the first of its request."""
        is_first = all(attempt != seen.attempt for _, attempt in self.run_at)
        self.run_at.append((time.monotonic(), seen.attempt))
        return is_first

    def most_tokens_run(self) -> int:
        """Return the most tokens both sent and run in any window."""
        starts = sorted(self.sent_at.values())
        return max(TOKENS * len(self._runs_in(start)) for start in starts)

    async def _send(self) -> None:
        attempt = f'a{len(self.sent_at)}'
        self.sent_at[attempt] = time.monotonic()
        vm = len(self.sent_at) % len(self.cluster.vms)
        answer = await self.cluster.call(
            self.target, vm, attempt=attempt, X_Bramleybend_Deadline_Ms='950'
        )
        self.statuses.append(answer.status if answer.is_whole else 0)

    def _runs_in(self, start: float) -> Sequence[str]:
        return [
            attempt
            for at, attempt in self.run_at
            if at < start + WINDOW_S and self.sent_at[attempt] >= start
        ]


def limited_cluster(vms: int = 1) -> Any:
    """Return a cluster whose contracts tolerate three requests."""
    return running_cluster(
        vms,
        allotment_window_s=WINDOW_S,
        allotment_overage=0,
        allotment_slack=SLACK,
        resend_extra=10_000,
    )


async def test_further_tries_are_charged_and_accepted_requests_served() -> None:
    """Each try runs tokens, and callers were told that theirs is accepted."""
    async with limited_cluster() as cluster:
        await publish_token_limit(cluster, RATE, BURST)
        load = Load(cluster, '/check/x')

        async def breaks_off_first(seen: ReceivedRequest) -> None:
            if load.note_run(seen):
                seen.writer.transport.abort()
            else:
                await stream_three_events(seen)

        for name in ('r1', 'r2', 'r3', 'r4'):
            await cluster.add_runner(name, ENGINE, breaks_off_first)
        await cluster.wait_for_runners(ENGINE, 4)
        await load.run(2.5)
        await asyncio.gather(*load.tasks)
    assert load.most_tokens_run() <= ALLOWED
    assert set(load.statuses) == {200, 429}


async def test_refunds_leave_no_more_than_the_limit() -> None:
    """Units that the rate repaid while a request waited were given twice."""
    async with limited_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN, answer_at_once)
        await cluster.wait_for_runners(PLAIN)
        are_free = asyncio.Event()
        load = Load(cluster, '/read/x')

        async def answers(seen: ReceivedRequest) -> None:
            if seen.attempt in load.sent_at:
                load.note_run(seen)
            else:
                await are_free.wait()
            await answer_at_once(seen)

        cluster.runners['r1'].behave = answers
        busy = [
            asyncio.create_task(cluster.call('/read/x', attempt=f'b{number}'))
            for number in range(SLOTS)
        ]
        await wait_until(
            lambda: len(cluster.runners['r1'].seen) == SLOTS, 'all slots busy'
        )
        await publish_token_limit(cluster, RATE, BURST)
        sending = asyncio.create_task(load.run(4))
        await asyncio.sleep(3)
        are_free.set()
        await sending
        await asyncio.gather(*busy, *load.tasks)
    assert load.run_at
    assert load.most_tokens_run() <= ALLOWED
