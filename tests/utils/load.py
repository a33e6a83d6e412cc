"""Random load for test clusters: plans arrivals and sends them on time."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from tests.utils.callers import Caller
from tests.utils.work import Declaration, Work, WorkFactory


@dataclass(frozen=True)
class Stream:
    """Requests of one profile that arrive as a Poisson process."""

    profile: str
    rate: float  # requests per second
    deadline_s: float
    prompt_tokens: tuple[int, int] = (0, 0)  # min, max; 0 for plain services
    max_tokens: tuple[int, int] = (0, 0)


# Short bookings and long completions over several tiers: the durations of
# two requests may differ by a factor of 100.
MIXED: Final = (
    Stream('slot-claim', 8, 10),
    Stream('availability', 6, 5),
    Stream('logbook-check', 2, 16, (3000, 10_000), (20, 60)),
    Stream('debrief', 2.5, 18, (300, 3000), (60, 200)),
    Stream('syllabus-summary', 1, 18, (1000, 4000), (60, 120)),
)


@dataclass(frozen=True)
class Arrival:
    """One request and its send time, in seconds after the start."""

    at_s: float
    work: Work


def plan(
    declaration: Declaration,
    streams: Sequence[Stream],
    seconds: float,
    seed: int = 0,
) -> list[Arrival]:
    """Draw the arrivals of all streams, sorted by send time."""
    rng = Random(seed)
    make = WorkFactory(declaration)
    arrivals = []
    for stream in streams:
        at_s = rng.expovariate(stream.rate)
        while at_s < seconds:
            work = _make_work(make, declaration, stream, rng)
            arrivals.append(Arrival(at_s, work))
            at_s += rng.expovariate(stream.rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _make_work(
    make: WorkFactory,
    declaration: Declaration,
    stream: Stream,
    rng: Random,
) -> Work:
    workspace = rng.choice(declaration.workspaces(stream.profile))
    if not stream.max_tokens[1]:
        return make.plain(
            workspace,
            stream.profile,
            deadline_s=stream.deadline_s,
        )
    return make.engine(
        workspace,
        stream.profile,
        rng.randint(*stream.prompt_tokens),
        rng.randint(*stream.max_tokens),
        deadline_s=stream.deadline_s,
    )


async def play(
    arrivals: Sequence[Arrival],
    callers: Sequence[Caller],
    is_over: Callable[[], bool] = lambda: False,
) -> None:
    """Send each request at its time, without waiting for earlier answers.

    Stops sending once `is_over` holds; returns after the last answer.
    """
    started = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for index, arrival in enumerate(arrivals):
            if is_over():
                return
            delay = started + arrival.at_s - time.monotonic()
            await asyncio.sleep(max(delay, 0))
            caller = callers[index % len(callers)]
            tasks.create_task(caller.send(arrival.work))
