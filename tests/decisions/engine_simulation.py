"""Simulation of a policy on different engines in virtual time.

Engines work as model runners do: a batch of up to `SLOTS` answers, one token of
each per step, and longer steps while a prompt is prefilled. The owner itself
takes no time.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import exp, log
from random import Random
from typing import Final, NamedTuple

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.shard_policy import make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

ENGINES: Final = 30
SLOTS: Final = 8
SLOWDOWNS: Final = (0.55, 1, 2.8)  # factors on the step duration
STEP_S: Final = 0.0031
STEP_PER_RUN_S: Final = 0.0001
# Prompt tokens that are prefilled in one step.
PREFILL_CHUNK_TOKENS: Final = 2048
PREFILL_PER_S: Final = 56_900
EVENT_TOKENS: Final = 7
COMPLETION_COST: Final = 8
WORKSPACES: Final = 16
PATIENCE_S: Final = 4.0  # until the first event
DEADLINE_RESERVE: Final = 0.3
LATE_VALUE: Final = 0.1


class SizeDistribution(NamedTuple):
    """A log-normal distribution of sizes."""

    mean: float
    sigma: float
    max_size: int

    def sample(self, rng: Random) -> int:
        """Return a random size."""
        mu = log(self.mean) - self.sigma**2 / 2
        return int(
            min(max(rng.lognormvariate(mu, self.sigma), 1), self.max_size)
        )


class RequestKind(NamedTuple):
    """The properties of one kind of request."""

    tier: Tier
    per_s: float
    prompt: SizeDistribution
    events: SizeDistribution
    objective_s: float
    deadline_s: float


class LoadBurst(NamedTuple):
    """A time span with more requests than usual."""

    start: float
    end: float
    factor: float


@dataclass
class Tally:
    """Counts of one kind's requests, by outcome."""

    sent: int = 0
    on_time: int = 0
    late: int = 0

    @property
    def value(self) -> float:
        """Return the achieved share of the value of all requests."""
        return (self.on_time + self.late * LATE_VALUE) / self.sent


@dataclass(eq=False)
class Run:
    """One simulated request."""

    kind: RequestKind
    ask: SlotRequest
    prefill_left: int
    answer_tokens: int
    decoded_tokens: int = 0
    granted_at: float = 0
    is_counted: bool = True
    has_first_event: bool = False


@dataclass(eq=False)
class Engine:
    """One simulated runner."""

    slowdown: float
    waiting: deque[Run] = field(default_factory=deque)
    batch: list[Run] = field(default_factory=list)
    is_busy: bool = False


class EngineSimulation:
    """Simulates callers, engines and one policy; collects tallies."""

    def __init__(
        self, seed: int, switches: PolicySwitches, counts_from: float = 0
    ) -> None:
        """Start with idle engines; tallies leave out earlier requests."""
        self._rng = Random(seed)
        self._counts_from = counts_from
        self._now = float(0)
        self._ids = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._policy = make_shard_policy(
            Service('lm', ServiceKind.ENGINE, slots=1),
            Random(seed),
            switches=switches,
        )
        self._engines = {
            f'r{number}': Engine(SLOWDOWNS[number % len(SLOWDOWNS)])
            for number in range(ENGINES)
        }
        self._runs: dict[str, Run] = {}
        self._wake_at = float(0)
        self.tallies: dict[RequestKind, Tally] = {}
        # Refusals with under half of the slots used.
        self.refusals_below_half_load = 0
        infos = [
            RunnerInfo(name, slots=SLOTS, warm=True) for name in self._engines
        ]
        self._handle_actions(self._policy.update_runners(infos, 0))

    def run(
        self, kinds: tuple[RequestKind, ...], burst: LoadBurst, end: float
    ) -> None:
        """Run the simulation until `end`, with requests of all kinds."""
        for kind in kinds:
            self.tallies[kind] = Tally()
            self._schedule_arrivals(kind, burst, end)
        while self._events and self._events[0][0] < end + PATIENCE_S:
            self._now, _, callback = heappop(self._events)
            callback()

    def _schedule_arrivals(
        self, kind: RequestKind, burst: LoadBurst, end: float
    ) -> None:
        at = float(0)
        while at < end:
            factor = burst.factor if burst.start <= at < burst.end else 1
            at += self._rng.expovariate(kind.per_s * factor)
            self._schedule(at, lambda: self._arrive(kind))

    def _schedule(self, at: float, callback: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._ids), callback))

    def _arrive(self, kind: RequestKind) -> None:
        prompt = kind.prompt.sample(self._rng)
        answer = kind.events.sample(self._rng) * EVENT_TOKENS
        hint = max(answer * exp(self._rng.gauss(0, 0.5)), 1)
        ask = SlotRequest(
            request_id=f'q{next(self._ids)}',
            service='lm',
            tier=kind.tier,
            workspace=f'w{self._rng.randrange(WORKSPACES)}',
            cost=prompt + COMPLETION_COST * hint,
            prompt_tokens=prompt,
            prefixes=(),
            deadline=self._now + kind.deadline_s * (1 - DEADLINE_RESERVE),
            cancellable=False,
            on_time_until=self._now + kind.objective_s,
            begin_by=self._now + min(PATIENCE_S, kind.deadline_s),
        )
        run = Run(kind, ask, prompt, answer)
        run.is_counted = self._now >= self._counts_from
        self.tallies[kind].sent += run.is_counted
        self._runs[ask.request_id] = run
        self._handle_actions(self._policy.request_slot(ask, self._now))

    def _handle_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._send(self._runs[action.request_id], action.runner)
            elif isinstance(action, Refuse):
                self._runs.pop(action.request_id)
                self.refusals_below_half_load += (
                    self._used_slots() < ENGINES * SLOTS / 2
                )
        due = self._policy.next_wake(self._now)
        if due is not None:
            self._wake_at = max(due, self._now + 0.001)
            self._schedule(self._wake_at, self._tick)

    def _used_slots(self) -> int:
        return sum(
            len(engine.batch) + len(engine.waiting)
            for engine in self._engines.values()
        )

    def _tick(self) -> None:
        if self._now >= self._wake_at:
            self._handle_actions(self._policy.tick(self._now))

    def _send(self, run: Run, name: str) -> None:
        engine = self._engines[name]
        run.granted_at = self._now
        engine.waiting.append(run)
        if not engine.is_busy:
            engine.is_busy = True
            self._schedule(self._now, lambda: self._step(engine))

    def _step(self, engine: Engine) -> None:
        while engine.waiting and len(engine.batch) < SLOTS:
            engine.batch.append(engine.waiting.popleft())
        engine.is_busy = bool(engine.batch)
        if not engine.is_busy:
            return
        streams = [run for run in engine.batch if not run.prefill_left]
        prefilling = next(
            (run for run in engine.batch if run.prefill_left), None
        )
        # Without a prefill, the steps of one event are simulated as one.
        steps = 1 if prefilling else EVENT_TOKENS
        seconds = (STEP_S + STEP_PER_RUN_S * len(engine.batch)) * steps
        if prefilling:
            chunk_tokens = min(prefilling.prefill_left, PREFILL_CHUNK_TOKENS)
            prefilling.prefill_left -= chunk_tokens
            seconds += chunk_tokens / PREFILL_PER_S
        self._schedule(
            self._now + seconds * engine.slowdown,
            lambda: self._end_step(engine, streams, steps),
        )

    def _end_step(self, engine: Engine, streams: list[Run], steps: int) -> None:
        for run in streams:
            run.decoded_tokens += steps
            if not run.has_first_event and run.decoded_tokens >= EVENT_TOKENS:
                self._report_first_token(run)
            if run.decoded_tokens >= run.answer_tokens:
                engine.batch.remove(run)
                self._end(run)
        self._step(engine)

    def _report_first_token(self, run: Run) -> None:
        run.has_first_event = True
        tally = self.tallies[run.kind]
        if self._now <= run.ask.on_time_until:
            tally.on_time += run.is_counted
        else:
            tally.late += run.is_counted
        name, tokens = run.ask.request_id, run.ask.prompt_tokens
        self._handle_actions(
            self._policy.record_first_token(name, tokens, 0, self._now)
        )

    def _end(self, run: Run) -> None:
        report = RunReport(
            'done',
            prompt_tokens=run.ask.prompt_tokens,
            completion_tokens=run.answer_tokens,
            seconds=self._now - run.granted_at,
        )
        name = run.ask.request_id
        self._runs.pop(name)
        self._handle_actions(self._policy.end_run(name, report, self._now))
