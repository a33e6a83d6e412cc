"""Plain services to which many VMs dispatch independently, in virtual time."""

import heapq
from collections import Counter
from functools import cache
from itertools import count, pairwise
from random import Random
from typing import Final

import pytest

from bramleybend.decisions.actions import Grant, RunnerInfo, RunReport
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.direct.service_queue import PLAIN_SWITCHES
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

SLOTS: Final = 6
RUN_S: Final = 0.045
LOAD: Final = 0.25  # of all slots
FAILURE_SHARE: Final = 0.012  # of all runs
# Enough starts per runner that a fair draw stays within the bounds.
STARTS_PER_RUNNER: Final = 450
STARTS_S: Final = STARTS_PER_RUNNER * RUN_S / (LOAD * SLOTS)
JOINS_AT: Final = STARTS_S
SETTLED_S: Final = 10.0  # after a join
DURATION_S: Final = JOINS_AT + SETTLED_S + STARTS_S / 2
SEEDS: Final = (1,)
MAX_SHARE: Final = 1.25  # times the fair share
MIN_SHARE: Final = 0.7
FLEET_SIZES: Final = (
    (6, 3),
    (9, 3),
    (84, 3),
    (195, 5),
    (350, 20),
)
CONNECTION_IDLE_S: Final = 2.8  # time for which an unused connection is kept
# A few VMs have most of the callers.
BUSY_VM_SHARE: Final = 0.1
BUSY_VM_WEIGHT: Final = 6


class FleetSimulation:
    """VMs that send their own callers' requests to shared runners."""

    def __init__(self, vms: int, runners: int, seed: int) -> None:
        """Run the simulation; one more runner joins halfway."""
        self.starts: list[tuple[float, str]] = []
        self.new_connections: list[int] = []  # the VM that opened each
        self._free_until: list[dict[str, float]] = [{} for _ in range(vms)]
        self._rng = Random(seed)
        self._names = [f'r{number}' for number in range(runners)]
        self._numbers = count()
        self._due: list[tuple[float, int, int, Grant, float]] = []
        self._free_at = {
            name: [float(0)] * SLOTS for name in (*self._names, 'new')
        }
        service = Service('app', ServiceKind.PLAIN, slots=SLOTS)
        self._policies = [
            make_shard_policy(
                service, Random(seed * 1000 + vm), switches=PLAIN_SWITCHES
            )
            for vm in range(vms)
        ]
        self._run(LOAD * SLOTS * runners / RUN_S)

    def shares(self, start: float, end: float) -> dict[str, float]:
        """Return each runner's share of the starts, 1 being its fair share."""
        starts_by_runner = Counter(
            name for at, name in self.starts if start <= at < end
        )
        names = self._names if end <= JOINS_AT else [*self._names, 'new']
        mean = sum(starts_by_runner.values()) / len(names)
        return {name: starts_by_runner[name] / mean for name in names}

    def _run(self, per_s: float) -> None:
        vms = range(len(self._policies))
        busy_vms = max(int(len(vms) * BUSY_VM_SHARE), 1)
        weights = [BUSY_VM_WEIGHT if vm < busy_vms else 1 for vm in vms]
        self._update_runners(self._names, 0)
        has_joined = False
        now = self._rng.expovariate(per_s)
        while now < DURATION_S:
            if now >= JOINS_AT and not has_joined:
                has_joined = True
                self._update_runners([*self._names, 'new'], now)
            while self._due and self._due[0][0] <= now:
                self._end(*heapq.heappop(self._due))
            vm = self._rng.choices(vms, weights)[0]
            self._ask(vm, now)
            now += self._rng.expovariate(per_s)

    def _update_runners(self, names: list[str], now: float) -> None:
        infos = [RunnerInfo(name, slots=SLOTS, warm=True) for name in names]
        for policy in self._policies:
            policy.update_runners(infos, now)

    def _ask(self, vm: int, now: float) -> None:
        ask = SlotRequest(
            f'{vm}-{next(self._numbers)}',
            'app',
            Tier.NORMAL,
            'w',
            1,
            0,
            (),
            now + 1,
            cancellable=False,
            connected=self._connected(vm, now),
        )
        for action in self._policies[vm].request_slot(ask, now):
            assert isinstance(action, Grant)
            self._start(vm, action, now)

    def _connected(self, vm: int, now: float) -> frozenset[str]:
        free = self._free_until[vm].items()
        return frozenset(name for name, until in free if until > now)

    def _start(self, vm: int, grant: Grant, now: float) -> None:
        self.starts.append((now, grant.runner))
        if self._free_until[vm].pop(grant.runner, 0) <= now:
            self.new_connections.append(vm)
        slots = self._free_at[grant.runner]
        begins = max(heapq.heappop(slots), now)
        ends = begins + RUN_S * self._rng.uniform(0.7, 1.3)
        heapq.heappush(slots, ends)
        item = (ends, next(self._numbers), vm, grant, now)
        heapq.heappush(self._due, item)

    def _end(
        self,
        ends: float,
        number: int,
        vm: int,
        grant: Grant,
        started: float,
    ) -> None:
        outcome = 'failed' if self._rng.random() < FAILURE_SHARE else 'done'
        report = RunReport(outcome, completion_tokens=1, seconds=ends - started)
        self._policies[vm].end_run(grant.request_id, report, ends)
        self._free_until[vm][grant.runner] = ends + CONNECTION_IDLE_S


simulate = cache(FleetSimulation)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(('vms', 'runners'), FLEET_SIZES)
def test_no_runner_gets_much_more_than_its_fair_share(
    vms: int, runners: int, seed: int
) -> None:
    """Guards against VMs that all choose the first runner of the list."""
    fleet = simulate(vms, runners, seed)
    assert max(fleet.shares(0, JOINS_AT).values()) <= MAX_SHARE
    assert max(fleet.shares(JOINS_AT, DURATION_S).values()) <= MAX_SHARE


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(('vms', 'runners'), FLEET_SIZES)
def test_no_runner_is_overloaded_after_a_full_restart(
    vms: int, runners: int, seed: int
) -> None:
    """Before the first run, all runners look alike to every VM."""
    fleet = simulate(vms, runners, seed)
    first = fleet.shares(0, 1)
    mean = LOAD * SLOTS / RUN_S
    # Three standard deviations of an evenly distributed count.
    assert max(first.values()) <= 1 + 3 / mean**0.5 * 1.2


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(('vms', 'runners'), FLEET_SIZES)
def test_a_runner_that_joins_gets_its_share(
    vms: int, runners: int, seed: int
) -> None:
    """A new runner that never looks better than the best would get nothing."""
    fleet = simulate(vms, runners, seed)
    share = fleet.shares(JOINS_AT + SETTLED_S, DURATION_S)['new']
    assert MIN_SHARE <= share <= MAX_SHARE


def test_slow_runner_gets_little_work_but_some() -> None:
    """A runner without any run could not show that it has recovered."""
    policy = make_shard_policy(
        Service('app', ServiceKind.PLAIN, slots=SLOTS),
        Random(1),
        switches=PLAIN_SWITCHES,
    )
    names = ('slow', 'a', 'b')
    policy.update_runners(
        [RunnerInfo(one, slots=SLOTS, warm=True) for one in names], 0
    )
    got: Counter[str] = Counter()
    for number in range(2000):
        now = float(number)
        grant = _request_grant(policy, f'{number}', now)
        got[grant.runner] += 1
        seconds = RUN_S * (4 if grant.runner == 'slow' else 1)
        report = RunReport('done', completion_tokens=1, seconds=seconds)
        policy.end_run(f'{number}', report, now + seconds)
    assert 20 <= got['slow'] <= 120


def test_an_open_connection_is_used_again() -> None:
    """A new connection for most requests costs both sides."""
    fleet = simulate(195, 5, SEEDS[0])
    assert len(fleet.new_connections) <= len(fleet.starts) / 2


def test_rate_limited_runner_gets_its_rate() -> None:
    """With its slots reduced by the rate, the runner would be idle too often."""
    policy = make_shard_policy(
        Service('app', ServiceKind.PLAIN, slots=SLOTS),
        Random(1),
        switches=PLAIN_SWITCHES,
    )
    names = ('limited', 'other')
    policy.update_runners(
        [RunnerInfo(one, slots=SLOTS, warm=True) for one in names], 0
    )
    per_s = 0.4
    policy.update_start_rates({'limited': per_s}, 0)
    starts = []
    for number in range(20_000):
        now = number / 20
        grant = _request_grant(policy, f'{number}', now, frozenset(['other']))
        if grant.runner == 'limited':
            starts.append(now)
        report = RunReport('done', completion_tokens=1, seconds=RUN_S)
        policy.end_run(grant.request_id, report, now + RUN_S)
    waits = [later - earlier for earlier, later in pairwise(starts)]
    assert max(waits) <= 2 / per_s


def _request_grant(
    policy: ShardPolicy,
    name: str,
    now: float,
    connected: frozenset[str] = frozenset(),
) -> Grant:
    ask = SlotRequest(
        name,
        'app',
        Tier.NORMAL,
        'w',
        1,
        0,
        (),
        now + 1,
        cancellable=False,
        connected=connected,
    )
    (grant,) = policy.request_slot(ask, now)
    assert isinstance(grant, Grant)
    return grant
