"""Admission within allotments, over several VMs."""

from dataclasses import dataclass, field
from random import Random

from bramleybend.decisions.allotment_models import (
    AccountReport,
    Allowance,
    Charge,
    FleetView,
    Tolerance,
)
from bramleybend.decisions.allotments import (
    STARTUP_HOLD_S,
    AllotmentLedger,
    make_allotment_ledger,
)

ALLOWANCE = Allowance(rate_per_s=1000, burst=2000)
TOLERANCE = Tolerance(window_s=8, overage=0.1, slack=4000)
NO_TOLERANCE = Tolerance(window_s=8)
HEARTBEAT_S = 0.2
STEP_S = 0.01  # of the simulation


@dataclass
class AllotmentSimulation:
    """VMs that get equal shares of more requests than allotted."""

    vms: int = 6
    asked_per_s: float = 6000
    is_partitioned: bool = False
    are_runners_idle: bool = False
    restart_every_s: float = 0  # one VM after another; 0: no restarts
    admitted: list[tuple[float, float]] = field(default_factory=list)

    def run(self, seconds: float) -> float:
        """Run the simulation; return the units that all VMs admitted."""
        ledgers = [self._make_ledger() for _ in range(self.vms)]
        starts = [0] * self.vms
        next_heartbeat = float(0)
        units = self.asked_per_s * STEP_S / self.vms
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            for ledger in ledgers:
                decision = ledger.admit(
                    'w',
                    ALLOWANCE,
                    units,
                    now,
                    FleetView(1 / self.vms if self.is_partitioned else 1),
                    are_runners_idle=self.are_runners_idle,
                )
                if decision.is_admitted:
                    self.admitted.append((now, units))
            if now >= next_heartbeat and not self.is_partitioned:
                next_heartbeat += HEARTBEAT_S
                self._exchange_reports(ledgers, starts, now)
            if self.restart_every_s and step:
                restarts, rest = divmod(now, self.restart_every_s)
                if rest < STEP_S:
                    number = int(restarts) % self.vms
                    ledgers[number] = self._make_ledger()
                    starts[number] = step
                    # A VM hears its peers before callers are sent to it.
                    self._exchange_reports(ledgers, starts, now)
        return sum(amount for _, amount in self.admitted)

    def max_admitted_in(self, window_s: float) -> float:
        """Return the most units admitted within any such time span."""
        first, total, max_total = 0, float(0), float(0)
        for moment, amount in self.admitted:
            total += amount
            while self.admitted[first][0] < moment - window_s:
                total -= self.admitted[first][1]
                first += 1
            max_total = max(max_total, total)
        return max_total

    def _exchange_reports(
        self, ledgers: list[AllotmentLedger], starts: list[int], now: float
    ) -> None:
        for number, ledger in enumerate(ledgers):
            for other in ledgers[:number] + ledgers[number + 1 :]:
                name = f'vm{number}/{starts[number]}'
                other.merge_report(name, dict(ledger.reports()), now)

    def _make_ledger(self) -> AllotmentLedger:
        return AllotmentLedger(TOLERANCE)


def is_admitted(
    ledger: AllotmentLedger, units: float, now: float, share: float = 1
) -> bool:
    """Tell whether a request of the busy workspace is admitted.

    The runners have no idle slots.
    """
    view = FleetView(share)
    return ledger.admit('w', ALLOWANCE, units, now, view).is_admitted


def test_a_workspace_within_its_allotment_is_never_refused() -> None:
    """A workspace may spread its allotment over the VMs in any way."""
    assert AllotmentSimulation(asked_per_s=990).run(20) >= 990 * 20 * 0.999


def test_workspace_beyond_its_allotment_gets_its_allotment() -> None:
    """The VMs admit the rate, the burst and the arrivals of a heartbeat.

    The workspace sends six times its allotment.
    """
    seconds = 20
    admitted = AllotmentSimulation().run(seconds)
    allotted = ALLOWANCE.rate_per_s * seconds + ALLOWANCE.burst
    assert allotted * 0.95 <= admitted <= allotted + 6000 * HEARTBEAT_S * 1.5


def test_partitioned_vms_keep_to_the_allotted_rate() -> None:
    """VMs that hear no other use only their own share of the rate."""
    seconds = 20
    admitted = AllotmentSimulation(is_partitioned=True).run(seconds)
    allotted = ALLOWANCE.rate_per_s * seconds + ALLOWANCE.burst * 3
    assert admitted <= allotted * 1.01


def test_partitioned_vms_stay_within_the_tolerance_on_idle_runners() -> None:
    """Guards against VMs that each use the whole tolerance.

    The partition itself uses more of the tolerance than the idle runners do.
    """
    simulation = AllotmentSimulation(is_partitioned=True, are_runners_idle=True)
    simulation.run(20)
    allotted = ALLOWANCE.rate_per_s * TOLERANCE.window_s + ALLOWANCE.burst
    tolerated = TOLERANCE.units(ALLOWANCE.rate_per_s, ALLOWANCE.burst)
    assert (
        simulation.max_admitted_in(TOLERANCE.window_s) <= allotted + tolerated
    )


def test_rolling_restart_does_not_admit_a_burst_per_vm() -> None:
    """Guards against restarts that give a workspace a new burst each.

    Each VM in turn restarts with empty accounts, one second apart, while a
    workspace asks for six times its allotment. Unless the others report its
    debt, each restart would admit a burst, six of them within eight seconds,
    and the runners would get more than the contracts tolerate.
    """
    for are_idle in (False, True):
        simulation = AllotmentSimulation(
            restart_every_s=1, are_runners_idle=are_idle
        )
        simulation.run(20)
        allotted = ALLOWANCE.rate_per_s * TOLERANCE.window_s + ALLOWANCE.burst
        tolerated = TOLERANCE.units(ALLOWANCE.rate_per_s, ALLOWANCE.burst)
        assert (
            simulation.max_admitted_in(TOLERANCE.window_s)
            <= allotted + tolerated
        )


def test_idle_runners_take_work_beyond_an_allotment() -> None:
    """Guards against refusing requests while runners are idle.

    A workspace asks for twice its allotment while the runners have free slots.
    It gets its allotment, and half of the contracts' tolerance beyond it.
    """
    simulation = AllotmentSimulation(asked_per_s=2000, are_runners_idle=True)
    simulation.run(30)
    busy = AllotmentSimulation(asked_per_s=2000)
    busy.run(30)
    allotted = ALLOWANCE.rate_per_s * TOLERANCE.window_s + ALLOWANCE.burst
    tolerated = TOLERANCE.units(ALLOWANCE.rate_per_s, ALLOWANCE.burst)
    max_admitted = simulation.max_admitted_in(TOLERANCE.window_s)
    assert max_admitted <= allotted + tolerated
    assert max_admitted >= allotted + tolerated * 0.4
    assert (
        busy.max_admitted_in(TOLERANCE.window_s)
        <= allotted + 2000 * HEARTBEAT_S
    )


def test_work_on_idle_runners_does_not_use_the_allotment() -> None:
    """A workspace keeps its whole allotment for the next busy time."""
    ledger = AllotmentLedger(TOLERANCE)
    assert is_admitted(ledger, 2000, 0)
    decision = ledger.admit('w', ALLOWANCE, 900, 0, are_runners_idle=True)
    assert decision.charge == Charge(900, is_beyond=True)
    assert is_admitted(ledger, 1000, 1)
    assert not is_admitted(ledger, 1000, 1)
    ledger.refund('w', decision.charge)
    assert ledger.reports()['w'].over_allotment == 0


def test_refusal_tells_when_to_retry() -> None:
    """The delay is the time until the bucket can hold the request."""
    ledger = AllotmentLedger()
    assert is_admitted(ledger, 2500, 0)
    assert ledger.admit('w', ALLOWANCE, 500, 0).retry_after_s == 0.6
    assert not is_admitted(ledger, 500, 0.5)
    assert is_admitted(ledger, 500, 0.601)


def test_refusal_reports_the_known_debt() -> None:
    """Without the debt, refusals don't show whether the VMs' accounts differ."""
    ledger = AllotmentLedger()
    assert is_admitted(ledger, 2500, 0)
    ledger.merge_report('vm2/a', {'w': AccountReport()}, 0)
    ledger.merge_report('vm2/a', {'w': AccountReport(used=1000)}, 0)
    assert ledger.admit('w', ALLOWANCE, 500, 0.5).debt == 3000


def test_large_requests_of_a_busy_workspace_are_admitted_too() -> None:
    """Equal shares of requests of 20 and of 1,500 units are admitted.

    A workspace asks for six times its allotment. A bucket that had to hold a
    whole request would admit only small ones.
    """
    ledger = AllotmentLedger()
    admitted = {20: 0, 1500: 0}
    asked = 400
    for number in range(asked):
        for units in admitted:
            moment = number * 0.25 + units * 0.0001
            admitted[units] += is_admitted(ledger, units, moment)
    assert admitted[1500] >= asked * 0.1
    total = 20 * admitted[20] + 1500 * admitted[1500]
    assert total <= ALLOWANCE.rate_per_s * asked * 0.25 + ALLOWANCE.burst + 1500


def test_request_that_did_not_run_is_not_counted() -> None:
    """A refused request is refunded."""
    ledger = AllotmentLedger()
    charge = ledger.admit('w', ALLOWANCE, 2000, 0).charge
    assert charge is not None
    ledger.refund('w', charge)
    assert is_admitted(ledger, 2000, 0)
    assert ledger.reports()['w'].used == 2000


def test_only_what_is_still_owed_is_refunded() -> None:
    """Otherwise what the rate repaid is admitted twice."""
    ledger = AllotmentLedger()
    first = ledger.admit('w', ALLOWANCE, 1000, 0).charge
    second = ledger.admit('w', ALLOWANCE, 1000, 0).charge
    assert first is not None
    assert second is not None
    assert is_admitted(ledger, 1500, 1.5)
    assert ledger.reports()['w'].debt == 2000
    ledger.refund('w', first)
    assert ledger.reports()['w'].debt == 2000
    ledger.refund('w', second)
    assert ledger.reports()['w'].debt == 1500


def test_repaid_units_wait_for_late_news() -> None:
    """VMs that don't hear of each other must not each use the whole rate."""
    ledger = AllotmentLedger()
    used = 0
    for tenth in range(60):
        used += 100
        report = {'w': AccountReport(used=used)}
        ledger.merge_report('vm2/a', report, tenth * 0.1)
    assert is_admitted(ledger, 2000, 6)
    late = FleetView(vms=2, news_age_s=1)
    assert not ledger.admit('w', ALLOWANCE, 500, 7, late).is_admitted
    assert is_admitted(ledger, 500, 7)


def test_restarted_peer_is_not_counted_twice() -> None:
    """A restarted peer's total begins at zero; only its increase counts."""
    ledger = AllotmentLedger()
    is_admitted(ledger, 1, 0)
    ledger.merge_report('vm2/a', {'w': AccountReport(used=5000)}, 0)
    ledger.merge_report('vm2/a', {'w': AccountReport(used=5500)}, 0)
    ledger.remove_peer('vm2/a')
    ledger.merge_report('vm2/b', {'w': AccountReport()}, 0)
    ledger.merge_report('vm2/b', {'w': AccountReport(used=100)}, 0)
    # 2,000 less its own 1, and 500 and 100 of the peer.
    assert is_admitted(ledger, 1350, 0)
    assert not is_admitted(ledger, 100, 0)


def test_peers_do_not_adopt_the_assumed_debt_of_a_starting_vm() -> None:
    """Otherwise one VM that starts makes all others refuse its workspaces."""
    informed = AllotmentLedger()
    assert is_admitted(informed, 10, 100)
    starter = make_allotment_ledger(NO_TOLERANCE, 100, is_first_start=False)
    assert not is_admitted(starter, 2000, 100.45)
    informed.merge_report(
        'vm2/b', starter.reports(), 101, age_s=starter.age_s(101)
    )
    assert informed.reports()['w'].debt == 10
    assert is_admitted(informed, 1990, 101)


def test_starting_vm_replaces_assumed_debt_by_reported_debt() -> None:
    """Otherwise a workspace is refused until a whole burst is repaid."""
    informed = AllotmentLedger()
    assert is_admitted(informed, 500, 100)
    starter = make_allotment_ledger(NO_TOLERANCE, 100, is_first_start=False)
    assert not is_admitted(starter, 10, 100.1)
    starter.adopt_accounts(informed.reports(), 100.1, informed.age_s(100.1))
    assert is_admitted(starter, 1450, 100.1)
    assert not is_admitted(starter, 500, 100.1)


def test_vms_that_start_together_adopt_the_oldest_accounts() -> None:
    """Otherwise the VMs that start last refuse what the rate has repaid."""
    first = make_allotment_ledger(NO_TOLERANCE, 100, is_first_start=False)
    last = make_allotment_ledger(NO_TOLERANCE, 101, is_first_start=False)
    assert is_admitted(first, 0, 101)
    last.adopt_accounts(first.reports(), 101, first.age_s(101))
    assert last.age_s(101) == first.age_s(101)
    assert is_admitted(last, 500, 101)


def test_starting_vm_without_peers_admits_what_the_rate_repays() -> None:
    """Otherwise a single VM refuses all requests after its restart."""
    ledger = make_allotment_ledger(NO_TOLERANCE, 100, is_first_start=False)
    assert not is_admitted(ledger, 10, 100)
    assert not is_admitted(ledger, 2000, 100.4)
    assert is_admitted(ledger, 2000, 102.5)


def test_restarted_vm_admits_only_the_spare_tolerance_at_once() -> None:
    """Otherwise each restart admits a whole burst again."""
    tolerance = Tolerance(window_s=8, slack=1000)
    ledger = make_allotment_ledger(tolerance, 100, is_first_start=False)
    admitted = sum(100 * is_admitted(ledger, 100, 100) for _ in range(20))
    assert admitted == tolerance.slack / 2


def test_vm_admits_its_share_while_it_hears_no_other() -> None:
    """Otherwise VMs that lose each other admit more than one burst."""
    tolerance = Tolerance(window_s=8, slack=1000)
    ledger = AllotmentLedger(tolerance)
    admitted = sum(10 * is_admitted(ledger, 10, 0, 1 / 4) for _ in range(200))
    assert admitted <= (ALLOWANCE.burst + tolerance.slack / 2) / 4


def test_vm_admits_nothing_while_the_number_of_vms_is_unknown() -> None:
    """Otherwise each VM that starts admits a burst before it hears others."""
    decision = AllotmentLedger().admit('w', ALLOWANCE, 10, 0, FleetView(0))
    assert not decision.is_admitted
    assert decision.retry_after_s == STARTUP_HOLD_S


def test_parts_of_the_idle_tolerance_add_up_to_the_whole() -> None:
    """Otherwise each of many VMs uses the same room of the tolerance."""
    vms, units = 100, 500
    ledgers = [
        AllotmentLedger(TOLERANCE, rng=Random(number)) for number in range(vms)
    ]
    view = FleetView(vms=vms)
    admitted = float(0)
    for ledger in ledgers:
        assert is_admitted(ledger, 2000, 0)
        for _ in range(20):
            decision = ledger.admit(
                'w', ALLOWANCE, units, 0, view, are_runners_idle=True
            )
            admitted += units * decision.is_admitted
    tolerated = TOLERANCE.units(ALLOWANCE.rate_per_s, ALLOWANCE.burst)
    assert 0 < admitted <= tolerated / 2
