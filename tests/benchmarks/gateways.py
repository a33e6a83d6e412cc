"""Simulated gateways and shard owners around the real decision code."""

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
from tests.benchmarks.fleet import Fleet, RequestState
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import ENTRY_VMS, RequestProfile, estimate_cost
from tests.utils.queueing_fake import EngineRun

NETWORK_DELAY_S = 0.0005
VIEW_PERIOD_S = 1.0
VM_LIST_DELAY_S = 2.0
FLOOR_DURATION_S = 1.0
SHARDS = 4
MAX_TRIES = 3


class Bramleybend:
    """Six gateways with stale views of load, and one owner per shard."""

    def __init__(
        self,
        fleet: Fleet,
        scores: Scores,
        profiles: tuple[RequestProfile, ...],
        seed: int,
        switches: PolicySwitches,
        affinity: bool,
    ) -> None:
        self._affinity = affinity
        self._time = fleet.time
        self._fleet = fleet
        self._scores = scores
        self._profiles = profiles
        self._rng = Random(seed)
        self._requests: dict[str, RequestState] = {}
        service = Service('lm', ServiceKind.ENGINE, slots=4, shards=SHARDS)
        self._policies = [
            make_shard_policy(service, Random(seed + shard), {}, switches)
            for shard in range(SHARDS)
        ]
        self._next_wakes = [float('inf')] * SHARDS
        self._views: list[list[ShardView]] = [[] for _ in range(ENTRY_VMS)]
        self._viewed_at = [float(0)] * ENTRY_VMS
        self._live = {engine.name for engine in fleet.engines}
        for shard in range(SHARDS):
            self._publish_vm_list(shard)
        for entry in range(ENTRY_VMS):
            self._refresh_view(entry)

    def submit(self, request: RequestState) -> None:
        job = request.job
        request.ask = SlotRequest(
            request_id=job.job_id,
            service='lm',
            tier=job.tier,
            workspace=job.workspace,
            cost=estimate_cost(job, self._profiles),
            prompt_tokens=job.prompt,
            prefixes=job.prefixes() if self._affinity else (),
            deadline=job.deadline,
            cancellable=job.repeat is not Repeat.NON_IDEMPOTENT,
            excluded=frozenset(request.tried_engines),
        )
        self._requests[job.job_id] = request
        self._ask_shard(request, self._rank_shards(request)[0])

    def on_caller_gone(self, request: RequestState) -> None:
        if request.run is None:
            self._withdraw(request)
        elif request.job.repeat is not Repeat.NON_IDEMPOTENT:
            self._fleet.engines_by_name[request.engine_name].cancel(request.run)
            self._finish_run(request, RunReport('cancelled'), is_useful=False)

    def _ask_shard(self, request: RequestState, shard: int) -> None:
        request.asked_shards.add(shard)
        ask = request.ask
        assert ask is not None
        self._time.after(
            NETWORK_DELAY_S,
            lambda: self._apply(
                shard,
                self._policies[shard].request_slot(ask, self._time.now),
            ),
        )

    def _rank_shards(self, request: RequestState) -> list[int]:
        assert request.ask is not None
        entry = request.job.entry
        age = self._time.now - self._viewed_at[entry]
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
        return rank_shards(request.ask, views, self._rng)

    def _apply(self, shard: int, actions: list[Action]) -> None:
        for action in actions:
            request = self._requests[action.request_id]
            if isinstance(action, Grant):
                self._call_after_delay(
                    self._on_grant, request, shard, action.runner
                )
            elif isinstance(action, Preempt):
                self._call_after_delay(self._on_preempt, request)
            elif isinstance(action, Refuse):
                self._call_after_delay(self._on_refuse, request, action)
        self._schedule_wake(shard)

    def _call_after_delay(self, callback: object, *args: object) -> None:
        assert callable(callback)
        self._time.after(NETWORK_DELAY_S, lambda: callback(*args))

    def _on_grant(self, request: RequestState, shard: int, runner: str) -> None:
        if request.is_finished:
            self._withdraw(request)
            return
        request.asked_shards = {shard}
        run = EngineRun(
            request.job,
            lambda cached: self._on_first_token(request, cached),
            lambda is_complete: self._on_run_end(request, is_complete),
        )
        request.engine_name = runner
        request.sent_at = self._time.now
        if self._fleet.engines_by_name[runner].send(run):
            request.run = run
            return
        self._report_run_end(
            request, RunReport('failed', refused=True, crashed=True)
        )
        self._retry(request)

    def _on_preempt(self, request: RequestState) -> None:
        if request.run is None:
            return
        self._fleet.engines_by_name[request.engine_name].cancel(request.run)
        self._finish_run(request, RunReport('cancelled'), is_useful=False)
        if request.job.repeat is Repeat.IDEMPOTENT:
            self._time.after(
                NETWORK_DELAY_S * 4, lambda: self._resubmit(request)
            )
        else:
            request.is_finished = True

    def _resubmit(self, request: RequestState) -> None:
        if not request.is_finished:
            request.asked_shards = set()
            self.submit(request)

    def _on_refuse(self, request: RequestState, refuse: Refuse) -> None:
        if request.is_finished:
            return
        if refuse.shed:
            for shard in self._rank_shards(request):
                if (
                    self._raise_floor(request, shard)
                    and shard not in request.asked_shards
                ):
                    self._ask_shard(request, shard)
                    return
        self._finish_refused(request)

    def _raise_floor(self, request: RequestState, shard: int) -> int:
        policy = self._policies[shard]
        now = self._time.now
        lower_run_count = policy.set_floor(
            request.job.tier, FLOOR_DURATION_S, now
        )
        self._apply(shard, policy.tick(now))
        return lower_run_count

    def _finish_refused(self, request: RequestState) -> None:
        job = request.job
        request.is_finished = True
        self._scores.record_refused(job, self._time.now)
        lower_runs = [
            other
            for other in self._requests.values()
            if other.run is not None
            and other.job.tier > job.tier
            and other.job.repeat is not Repeat.NON_IDEMPOTENT
        ]
        self._scores.inversions[job.tier] += bool(lower_runs)

    def _on_first_token(self, request: RequestState, cached: int) -> None:
        shard = next(iter(request.asked_shards))
        policy = self._policies[shard]
        job = request.job
        actions = policy.record_first_token(
            job.job_id,
            job.prompt,
            cached,
            self._time.now,
        )
        self._apply(shard, actions)

    def _on_run_end(self, request: RequestState, is_complete: bool) -> None:
        is_useful = is_complete and not request.is_finished
        run = request.run
        assert run is not None
        report = RunReport(
            'done' if is_complete else 'failed',
            crashed=not is_complete,
            prompt_tokens=request.job.prompt,
            cached_tokens=run.cached,
            completion_tokens=request.job.completion if is_complete else 0,
            seconds=self._time.now - request.sent_at,
        )
        self._finish_run(request, report, is_useful)
        if is_useful:
            self._scores.record_answered(request.job)
            request.is_finished = True
        elif request.job.repeat is Repeat.IDEMPOTENT and not request.is_retried:
            request.is_retried = True
            self._retry(request)
        else:
            request.is_finished = True

    def _retry(self, request: RequestState) -> None:
        request.tried_engines.add(request.engine_name)
        if len(request.tried_engines) > MAX_TRIES:
            request.is_finished = True
        self._time.after(NETWORK_DELAY_S * 4, lambda: self._resubmit(request))

    def _finish_run(
        self,
        request: RequestState,
        report: RunReport,
        is_useful: bool,
    ) -> None:
        assert request.run is not None
        self._scores.record_run_end(request.run, is_useful)
        request.run = None
        self._report_run_end(request, report)

    def _report_run_end(self, request: RequestState, report: RunReport) -> None:
        shard = next(iter(request.asked_shards))
        job_id = request.job.job_id
        self._time.after(
            NETWORK_DELAY_S,
            lambda: self._apply(
                shard,
                self._policies[shard].end_run(job_id, report, self._time.now),
            ),
        )

    def _withdraw(self, request: RequestState) -> None:
        job_id = request.job.job_id
        for shard in request.asked_shards:
            actions = self._policies[shard].withdraw(job_id, self._time.now)
            self._apply(shard, actions)

    def _schedule_wake(self, shard: int) -> None:
        wake = self._policies[shard].next_wake(self._time.now)
        if wake is None or wake >= self._next_wakes[shard]:
            return
        self._next_wakes[shard] = wake
        self._time.at(wake + NETWORK_DELAY_S, lambda: self._wake(shard, wake))

    def _wake(self, shard: int, planned: float) -> None:
        if self._next_wakes[shard] == planned:
            self._next_wakes[shard] = float('inf')
            actions = self._policies[shard].tick(self._time.now)
            self._apply(shard, actions)

    def _publish_vm_list(self, shard: int) -> None:
        """Send a shard's owner the live engines each second, with a delay."""
        live = [
            engine.name
            for engine in self._fleet.engines
            if xxh64_intdigest(engine.name.encode()) % SHARDS == shard
            and engine.alive
        ]
        self._time.after(
            VM_LIST_DELAY_S, lambda: self._apply_vm_list(shard, live)
        )
        self._time.after(1, lambda: self._publish_vm_list(shard))
        if self._time.now < 1:
            self._apply_vm_list(shard, live)

    def _apply_vm_list(self, shard: int, live: list[str]) -> None:
        infos = [RunnerInfo(name) for name in live]
        self._apply(
            shard, self._policies[shard].update_runners(infos, self._time.now)
        )

    def _refresh_view(self, entry: int) -> None:
        self._viewed_at[entry] = self._time.now
        self._views[entry] = [
            _make_view(shard, policy)
            for shard, policy in enumerate(self._policies)
        ]
        self._time.after(
            VIEW_PERIOD_S + entry / ENTRY_VMS / 10,
            lambda: self._refresh_view(entry),
        )


def _make_view(shard: int, policy: ShardPolicy) -> ShardView:
    load = policy.load()
    return ShardView('lm', shard, load.running, load.waiting, load.limit, 0)
