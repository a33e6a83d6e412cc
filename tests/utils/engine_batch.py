"""Continuous batching of the stand-in engine.

A batch has a number of slots, a prefill rate that all runs share, and a
constant decode rate for each run.
"""

import asyncio
import json
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from tests.utils.engine_cache import PrefixCache
from tests.utils.expected_answers import (
    BLOCK_TOKENS,
    content_hash,
    prefix_hashes,
    prompt_tokens,
    token_text,
)

STEP_S: Final = 0.01
DONE_EVENT: Final = '[DONE]'


class RunState(StrEnum):
    """The progress or final state of a run."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'


LIVE_STATES: Final = frozenset({RunState.WAITING, RunState.RUNNING})


@dataclass
class Run:
    """One admitted run with the stream events that it has produced."""

    run_id: str
    prompt: str
    max_tokens: int
    state: RunState = RunState.WAITING
    events: list[str] = field(default_factory=list)
    cached_tokens: int = 0
    prefill_left: float = 0
    decoded: float = 0
    cuts: int = 0  # injected disconnects of its stream
    admitted_at: float = field(default_factory=time.time)
    started_at: float = 0  # wall time, comparable to logged events
    ended_at: float = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Compute the hashes and the token count of the prompt."""
        self.prompt_hash = content_hash(self.prompt.encode())
        self.prefixes = prefix_hashes(self.prompt)
        self.prompt_tokens = prompt_tokens(self.prompt)

    @property
    def is_live(self) -> bool:
        """Whether the run may produce more events."""
        return self.state in LIVE_STATES

    def finish(self, state: RunState) -> None:
        """End the run and notify the readers of its stream."""
        self.state = state
        self.ended_at = time.time()
        self.notify()

    def notify(self) -> None:
        """Notify all readers of the stream that the run has changed."""
        self.changed.set()
        self.changed = asyncio.Event()

    def decode(self, tokens: float) -> None:
        """Append the tokens of one step to the stream; may end the run."""
        self.decoded = min(self.decoded + tokens, self.max_tokens)
        for index in range(len(self.events), int(self.decoded)):
            text = token_text(self.prompt_hash, index)
            self.events.append(json.dumps({'index': index, 'text': text}))
        if len(self.events) >= self.max_tokens:
            self.events.append(json.dumps({'usage': self.usage()}))
            self.events.append(DONE_EVENT)
            self.finish(RunState.DONE)
        self.notify()

    def usage(self) -> dict[str, int]:
        """Return the token counts of the answer."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'cached_tokens': self.cached_tokens,
            'completion_tokens': int(self.decoded),
        }

    async def stream(self, start: int = 0) -> AsyncIterator[str]:
        """Yield the events from `start` on until the run ends."""
        index = start
        while True:
            changed = self.changed
            while index < len(self.events):
                yield self.events[index]
                index += 1
            if not self.is_live:
                return
            await changed.wait()

    async def wait_until_ended(self) -> None:
        """Wait until the run has ended."""
        while self.is_live:
            await self.changed.wait()


class Batch:
    """Executes up to `slots` runs at once; the others queue in order."""

    def __init__(
        self,
        slots: int,
        prefill_tps: float,
        decode_tps: float,
        cache: PrefixCache,
    ) -> None:
        """Create an empty batch; `run_forever` executes its runs.

        The rates are in tokens per second: `prefill_tps` over all runs,
        `decode_tps` for each run.
        """
        self.slots = slots
        self.running: list[Run] = []
        self.waiting: deque[Run] = deque()
        self.slowdown: float = 1
        self._prefill_tps = prefill_tps
        self._decode_tps = decode_tps
        self._cache = cache
        self._wake = asyncio.Event()

    def add(self, run: Run) -> None:
        """Queue a run."""
        self.waiting.append(run)
        self._wake.set()

    def remove(self, run: Run) -> None:
        """Remove a cancelled run, whether it is running or waiting."""
        if run in self.running:
            self.running.remove(run)
        elif run in self.waiting:
            self.waiting.remove(run)

    def crash(self) -> None:
        """Drop all runs, in the crashed state."""
        lost = (*self.running, *self.waiting)
        self.running.clear()
        self.waiting.clear()
        for run in lost:
            run.finish(RunState.CRASHED)

    async def run_forever(self, on_start: Callable[[Run], None]) -> None:
        """Execute runs; `on_start` is called with each run that starts."""
        last_step_at = time.monotonic()
        while True:
            if not self.running and not self.waiting:
                self._wake.clear()
                await self._wake.wait()
                last_step_at = time.monotonic()
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            self._admit(on_start)
            self._execute_step((now - last_step_at) / self.slowdown)
            last_step_at = now

    def _admit(self, on_start: Callable[[Run], None]) -> None:
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting.popleft()
            run.state = RunState.RUNNING
            run.started_at = time.time()
            run.cached_tokens = self._cache.match(run.prefixes) * BLOCK_TOKENS
            run.prefill_left = max(run.prompt_tokens - run.cached_tokens, 1)
            self.running.append(run)
            on_start(run)

    def _execute_step(self, elapsed: float) -> None:
        budget = elapsed * self._prefill_tps
        for run in tuple(self.running):
            if run.prefill_left:
                budget = self._prefill(run, budget)
            else:
                run.decode(elapsed * self._decode_tps)
        self.running = [run for run in self.running if run.is_live]

    def _prefill(self, run: Run, budget: float) -> float:
        spent = min(budget, run.prefill_left)
        run.prefill_left -= spent
        if not run.prefill_left:
            matched = run.cached_tokens // BLOCK_TOKENS
            self._cache.store(run.prefixes, matched)
            run.decode(1)
        return budget - spent
