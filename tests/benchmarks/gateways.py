"""The decisions as the gateways and owners of a deployment drive them."""

from random import Random

from xxhash import xxh64_intdigest

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Preempt,
    Refuse,
    RunnerInfo,
    RunReport,
    ShardView,
)
from bramleybend.decisions.routing import rank_shards
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Repeat, Service, ServiceKind, SlotRequest
from tests.benchmarks.fleet import Fleet, Try
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import ENTRY_VMS, Kind, expected_cost
from tests.utils.queueing_fake import EngineRun

HOP_S = 0.0005
VIEW_S = 1.0
LIST_LAG_S = 2.0
FLOOR_S = 1.0
SHARDS = 4
TRIES = 3


class Bramleybend:
    """Six gateways with stale views before one owner for each shard."""

    def __init__(
        self,
        fleet: Fleet,
        scores: Scores,
        kinds: tuple[Kind, ...],
        seed: int,
        switches: PolicySwitches,
        affinity: bool,
    ) -> None:
        self._affinity = affinity
        self._time = fleet.time
        self._fleet = fleet
        self._scores = scores
        self._kinds = kinds
        self._rng = Random(seed)
        self._tries: dict[str, Try] = {}
        service = Service('lm', ServiceKind.ENGINE, slots=4, shards=SHARDS)
        self._policies = [
            make_shard_policy(service, Random(seed + shard), {}, switches)
            for shard in range(SHARDS)
        ]
        self._wakes = [float('inf')] * SHARDS
        self._views: list[list[ShardView]] = [[] for _ in range(ENTRY_VMS)]
        self._heard = [float(0)] * ENTRY_VMS
        self._live = {engine.name for engine in fleet.engines}
        for shard in range(SHARDS):
            self._list(shard)
        for entry in range(ENTRY_VMS):
            self._look(entry)

    def submit(self, attempt: Try) -> None:
        job = attempt.job
        attempt.ask = SlotRequest(
            request_id=job.job_id,
            service='lm',
            tier=job.tier,
            workspace=job.workspace,
            cost=expected_cost(job, self._kinds),
            prompt_tokens=job.prompt,
            prefixes=job.prefixes() if self._affinity else (),
            deadline=job.deadline,
            cancellable=job.repeat is not Repeat.NON_IDEMPOTENT,
            excluded=frozenset(attempt.tried),
        )
        self._tries[job.job_id] = attempt
        self._ask(attempt, self._rank(attempt)[0])

    def give_up(self, attempt: Try) -> None:
        if attempt.run is None:
            self._withdraw(attempt)
        elif attempt.job.repeat is not Repeat.NON_IDEMPOTENT:
            self._fleet.by_name[attempt.engine].cancel(attempt.run)
            self._run_over(attempt, RunReport('cancelled'), useful=False)

    def _ask(self, attempt: Try, shard: int) -> None:
        attempt.shards.add(shard)
        ask = attempt.ask
        assert ask is not None
        self._time.after(
            HOP_S,
            lambda: self._act(
                shard,
                self._policies[shard].request_slot(ask, self._time.now),
            ),
        )

    def _rank(self, attempt: Try) -> list[int]:
        assert attempt.ask is not None
        entry = attempt.job.entry
        age = self._time.now - self._heard[entry]
        views = [
            ShardView(
                view.service,
                view.shard,
                view.running,
                view.waiting,
                view.limit,
                age,
            )
            for view in self._views[entry]
        ]
        return rank_shards(attempt.ask, views, self._rng)

    def _act(self, shard: int, actions: list[Action]) -> None:
        for action in actions:
            attempt = self._tries[action.request_id]
            if isinstance(action, Grant):
                self._later(self._granted, attempt, shard, action.runner)
            elif isinstance(action, Preempt):
                self._later(self._preempted, attempt)
            elif isinstance(action, Refuse):
                self._later(self._refused, attempt, action)
        self._plan_wake(shard)

    def _later(self, call: object, *args: object) -> None:
        assert callable(call)
        self._time.after(HOP_S, lambda: call(*args))

    def _granted(self, attempt: Try, shard: int, runner: str) -> None:
        if attempt.over:
            self._withdraw(attempt)
            return
        attempt.shards = {shard}
        run = EngineRun(
            attempt.job,
            lambda cached: self._first(attempt, cached),
            lambda whole: self._ended(attempt, whole),
        )
        attempt.engine = runner
        attempt.sent_at = self._time.now
        if self._fleet.by_name[runner].send(run):
            attempt.run = run
            return
        self._report(attempt, RunReport('failed', refused=True, crashed=True))
        self._again(attempt)

    def _preempted(self, attempt: Try) -> None:
        if attempt.run is None:
            return
        self._fleet.by_name[attempt.engine].cancel(attempt.run)
        self._run_over(attempt, RunReport('cancelled'), useful=False)
        if attempt.job.repeat is Repeat.IDEMPOTENT:
            self._time.after(HOP_S * 4, lambda: self._resubmit(attempt))
        else:
            attempt.over = True

    def _resubmit(self, attempt: Try) -> None:
        if not attempt.over:
            attempt.shards = set()
            self.submit(attempt)

    def _refused(self, attempt: Try, refuse: Refuse) -> None:
        if attempt.over:
            return
        if refuse.shed:
            for shard in self._rank(attempt):
                if self._lower(attempt, shard) and shard not in attempt.shards:
                    self._ask(attempt, shard)
                    return
        self._final_refusal(attempt)

    def _lower(self, attempt: Try, shard: int) -> int:
        policy = self._policies[shard]
        now = self._time.now
        lower = policy.set_floor(attempt.job.tier, FLOOR_S, now)
        self._act(shard, policy.tick(now))
        return lower

    def _final_refusal(self, attempt: Try) -> None:
        job = attempt.job
        attempt.over = True
        self._scores.refuse(job, self._time.now)
        lower = [
            other
            for other in self._tries.values()
            if other.run is not None
            and other.job.tier > job.tier
            and other.job.repeat is not Repeat.NON_IDEMPOTENT
        ]
        self._scores.inversions[job.tier] += bool(lower)

    def _first(self, attempt: Try, cached: int) -> None:
        shard = next(iter(attempt.shards))
        policy = self._policies[shard]
        job = attempt.job
        actions = policy.record_first_token(
            job.job_id,
            job.prompt,
            cached,
            self._time.now,
        )
        self._act(shard, actions)

    def _ended(self, attempt: Try, whole: bool) -> None:
        useful = whole and not attempt.over
        run = attempt.run
        assert run is not None
        report = RunReport(
            'done' if whole else 'failed',
            crashed=not whole,
            prompt_tokens=attempt.job.prompt,
            cached_tokens=run.cached,
            completion_tokens=attempt.job.completion if whole else 0,
            seconds=self._time.now - attempt.sent_at,
        )
        self._run_over(attempt, report, useful)
        if useful:
            self._scores.answer(attempt.job)
            attempt.over = True
        elif attempt.job.repeat is Repeat.IDEMPOTENT and not attempt.retried:
            attempt.retried = True
            self._again(attempt)
        else:
            attempt.over = True

    def _again(self, attempt: Try) -> None:
        attempt.tried.add(attempt.engine)
        if len(attempt.tried) > TRIES:
            attempt.over = True
        self._time.after(HOP_S * 4, lambda: self._resubmit(attempt))

    def _run_over(
        self,
        attempt: Try,
        report: RunReport,
        useful: bool,
    ) -> None:
        assert attempt.run is not None
        self._scores.run_over(attempt.run, useful)
        attempt.run = None
        self._report(attempt, report)

    def _report(self, attempt: Try, report: RunReport) -> None:
        shard = next(iter(attempt.shards))
        name = attempt.job.job_id
        self._time.after(
            HOP_S,
            lambda: self._act(
                shard,
                self._policies[shard].end_run(name, report, self._time.now),
            ),
        )

    def _withdraw(self, attempt: Try) -> None:
        name = attempt.job.job_id
        for shard in attempt.shards:
            actions = self._policies[shard].withdraw(name, self._time.now)
            self._act(shard, actions)

    def _plan_wake(self, shard: int) -> None:
        wake = self._policies[shard].next_wake(self._time.now)
        if wake is None or wake >= self._wakes[shard]:
            return
        self._wakes[shard] = wake
        self._time.at(wake + HOP_S, lambda: self._wake(shard, wake))

    def _wake(self, shard: int, planned: float) -> None:
        if self._wakes[shard] == planned:
            self._wakes[shard] = float('inf')
            actions = self._policies[shard].tick(self._time.now)
            self._act(shard, actions)

    def _list(self, shard: int) -> None:
        """The VM list as it was some seconds ago."""
        live = [
            engine.name
            for engine in self._fleet.engines
            if xxh64_intdigest(engine.name.encode()) % SHARDS == shard
            and engine.alive
        ]
        self._time.after(LIST_LAG_S, lambda: self._listed(shard, live))
        self._time.after(1, lambda: self._list(shard))
        if self._time.now < 1:
            self._listed(shard, live)

    def _listed(self, shard: int, live: list[str]) -> None:
        infos = [RunnerInfo(name) for name in live]
        self._act(
            shard, self._policies[shard].update_runners(infos, self._time.now)
        )

    def _look(self, entry: int) -> None:
        self._heard[entry] = self._time.now
        self._views[entry] = [
            _view(shard, policy) for shard, policy in enumerate(self._policies)
        ]
        self._time.after(
            VIEW_S + entry / ENTRY_VMS / 10, lambda: self._look(entry)
        )


def _view(shard: int, policy: ShardPolicy) -> ShardView:
    load = policy.load()
    return ShardView('lm', shard, load.running, load.waiting, load.limit, 0)
