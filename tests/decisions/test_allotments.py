"""Allotments over several VMs: what is let in, and what is not."""

from dataclasses import dataclass, field

from bramleybend.decisions.allotments import (
    AllotmentBook,
    Allowance,
    Spending,
    Tolerance,
    make_allotment_book,
)

ALLOWANCE = Allowance(rate_per_s=1000, burst=2000)
TOLERANCE = Tolerance(window_s=8, overage=0.1, slack=4000)
HEARTBEAT_S = 0.2
STEP_S = 0.01  # of a play


@dataclass
class AllotmentSimulation:
    """Some VMs that are asked for equal parts, more than is allotted."""

    vms: int = 6
    asked_per_s: float = 6000
    is_partitioned: bool = False
    are_runners_idle: bool = False
    restart_every_s: float = 0  # one VM after another; 0: none
    admitted: list[tuple[float, float]] = field(default_factory=list)

    def run(self, seconds: float) -> float:
        """Play; returns what all VMs let in."""
        books = [self._make_book() for _ in range(self.vms)]
        starts = [0] * self.vms
        next_heartbeat = float(0)
        units = self.asked_per_s * STEP_S / self.vms
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            for book in books:
                verdict = book.admit(
                    'w',
                    ALLOWANCE,
                    units,
                    now,
                    1 / self.vms if self.is_partitioned else 1,
                    are_runners_idle=self.are_runners_idle,
                )
                if verdict.is_let_in:
                    self.admitted.append((now, units))
            if now >= next_heartbeat and not self.is_partitioned:
                next_heartbeat += HEARTBEAT_S
                self._exchange_reports(books, starts, now)
            if self.restart_every_s and step:
                restarts, rest = divmod(now, self.restart_every_s)
                if rest < STEP_S:
                    number = int(restarts) % self.vms
                    books[number] = self._make_book()
                    starts[number] = step
                    # What a VM hears before callers are sent to it.
                    self._exchange_reports(books, starts, now)
        return sum(amount for _, amount in self.admitted)

    def max_admitted_in(self, window_s: float) -> float:
        """Return the most that was let in within any such span."""
        first, total, max_total = 0, float(0), float(0)
        for moment, amount in self.admitted:
            total += amount
            while self.admitted[first][0] < moment - window_s:
                total -= self.admitted[first][1]
                first += 1
            max_total = max(max_total, total)
        return max_total

    def _exchange_reports(
        self, books: list[AllotmentBook], starts: list[int], now: float
    ) -> None:
        for number, book in enumerate(books):
            for other in books[:number] + books[number + 1 :]:
                name = f'vm{number}/{starts[number]}'
                other.heard(name, dict(book.spendings()), now)

    def _make_book(self) -> AllotmentBook:
        return AllotmentBook(TOLERANCE)


def is_admitted(
    book: AllotmentBook, units: float, now: float, share: float = 1
) -> bool:
    """Ask for a request of the busy workspace; the runners are full."""
    return book.admit('w', ALLOWANCE, units, now, share).is_let_in


def test_a_workspace_within_its_allotment_is_never_refused() -> None:
    """What it may use it gets, however it spreads over the VMs."""
    assert AllotmentSimulation(asked_per_s=990).run(20) >= 990 * 20 * 0.999


def test_workspace_beyond_its_allotment_gets_its_allotment() -> None:
    """Over all VMs: rate times time, the burst, and a heartbeat's arrivals."""
    seconds = 20
    admitted = AllotmentSimulation().run(seconds)
    allotted = ALLOWANCE.rate_per_s * seconds + ALLOWANCE.burst
    assert allotted * 0.95 <= admitted <= allotted + 6000 * HEARTBEAT_S * 1.5


def test_partitioned_vms_keep_to_the_allotted_rate() -> None:
    """Cut off from each other, each uses its own part of the rate."""
    seconds = 20
    admitted = AllotmentSimulation(is_partitioned=True).run(seconds)
    allotted = ALLOWANCE.rate_per_s * seconds + ALLOWANCE.burst * 3
    assert admitted <= allotted * 1.01


def test_partitioned_vms_stay_within_the_tolerance_on_idle_runners() -> None:
    """Each takes a small part of the tolerance; the cut itself costs more."""
    simulation = AllotmentSimulation(is_partitioned=True, are_runners_idle=True)
    simulation.run(20)
    allotted = ALLOWANCE.rate_per_s * TOLERANCE.window_s + ALLOWANCE.burst
    tolerated = TOLERANCE.units(ALLOWANCE.rate_per_s, ALLOWANCE.burst)
    assert (
        simulation.max_admitted_in(TOLERANCE.window_s) <= allotted + tolerated
    )


def test_rolling_restart_does_not_admit_a_burst_per_vm() -> None:
    """A workspace asks for six times its allotment while VMs restart.

    Each VM in turn ends and starts anew, a second apart, with accounts that
    know of nothing. The others tell it what is owed. Otherwise each restart
    would add a burst, six of them in a window of eight seconds, and the
    runners would be given more than the contracts tolerate.
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
    """Refused, it would have helped nobody.

    A workspace asks for twice its allotment while the runners have room. It
    gets its allotment, and half of what the contracts tolerate beyond it.
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
    """A busy moment later, a workspace still gets all that it was promised."""
    book = AllotmentBook(TOLERANCE)
    assert is_admitted(book, 2000, 0)
    assert book.admit('w', ALLOWANCE, 900, 0, are_runners_idle=True).is_beyond
    assert is_admitted(book, 1000, 1)
    assert not is_admitted(book, 1000, 1)
    book.give_back('w', 900, is_beyond=True)
    assert book.spendings()['w'].beyond == 0


def test_refusal_tells_when_to_retry() -> None:
    """The time is what the bucket takes to hold the request."""
    book = AllotmentBook()
    assert is_admitted(book, 2500, 0)
    assert book.admit('w', ALLOWANCE, 500, 0).retry_after_s == 0.6
    assert not is_admitted(book, 500, 0.5)
    assert is_admitted(book, 500, 0.601)


def test_refusal_reports_the_known_debt() -> None:
    """VMs whose accounts differ can't be told apart by their refusals."""
    book = AllotmentBook()
    assert is_admitted(book, 2500, 0)
    book.heard('vm2/a', {'w': Spending()}, 0)
    book.heard('vm2/a', {'w': Spending(used=1000)}, 0)
    assert book.admit('w', ALLOWANCE, 500, 0.5).owed == 3000


def test_large_requests_of_a_busy_workspace_are_admitted_too() -> None:
    """Of requests of 20 and of 1,500 units, like parts are let in.

    A workspace asks for six times its allotment. A bucket that had to hold a
    whole request would let in nothing but small ones.
    """
    book = AllotmentBook()
    admitted = {20: 0, 1500: 0}
    asked = 400
    for number in range(asked):
        for units in admitted:
            moment = number * 0.25 + units * 0.0001
            admitted[units] += is_admitted(book, units, moment)
    assert admitted[1500] >= asked * 0.1
    total = 20 * admitted[20] + 1500 * admitted[1500]
    assert total <= ALLOWANCE.rate_per_s * asked * 0.25 + ALLOWANCE.burst + 1500


def test_request_that_did_not_run_is_not_counted() -> None:
    """A refused request gives back what it was counted as."""
    book = AllotmentBook()
    assert is_admitted(book, 2000, 0)
    book.give_back('w', 2000)
    assert is_admitted(book, 2000, 0)
    assert book.spendings()['w'].used == 2000


def test_restarted_peer_is_not_counted_twice() -> None:
    """Its total begins at nothing; only what it adds from there counts."""
    book = AllotmentBook()
    is_admitted(book, 1, 0)
    book.heard('vm2/a', {'w': Spending(used=5000)}, 0)
    book.heard('vm2/a', {'w': Spending(used=5500)}, 0)
    book.forget('vm2/a')
    book.heard('vm2/b', {'w': Spending()}, 0)
    book.heard('vm2/b', {'w': Spending(used=100)}, 0)
    # 2,000 less 1 of its own, 500 and 100 of the peer's.
    assert is_admitted(book, 1350, 0)
    assert not is_admitted(book, 100, 0)


def test_peers_do_not_adopt_the_assumed_debt_of_a_starting_vm() -> None:
    """One VM that starts alone has its workspaces refused by all others."""
    informed = AllotmentBook()
    assert is_admitted(informed, 10, 100)
    starter = make_allotment_book(TOLERANCE, 100, is_first_start=False)
    assert not is_admitted(starter, 2000, 100.45)
    informed.heard('vm2/b', starter.spendings(), 101, age_s=starter.age_s(101))
    assert informed.spendings()['w'].debt == 10
    assert is_admitted(informed, 1990, 101)


def test_starting_vm_replaces_assumed_debt_by_reported_debt() -> None:
    """A workspace within its allotment is refused until its burst is paid."""
    informed = AllotmentBook()
    assert is_admitted(informed, 500, 100)
    starter = make_allotment_book(TOLERANCE, 100, is_first_start=False)
    assert not is_admitted(starter, 10, 100.1)
    starter.adopt(informed.spendings(), 100.1, informed.age_s(100.1))
    assert is_admitted(starter, 1450, 100.1)
    assert not is_admitted(starter, 500, 100.1)


def test_vms_that_start_together_adopt_the_oldest_accounts() -> None:
    """Those that come last refuse what the rate has paid back since."""
    first = make_allotment_book(TOLERANCE, 100, is_first_start=False)
    last = make_allotment_book(TOLERANCE, 101, is_first_start=False)
    assert is_admitted(first, 0, 101)
    last.adopt(first.spendings(), 101, first.age_s(101))
    assert last.age_s(101) == first.age_s(101)
    assert is_admitted(last, 500, 101)


def test_starting_vm_without_peers_admits_what_the_rate_repays() -> None:
    """A system of one VM refuses its workspaces for good after a restart."""
    book = make_allotment_book(TOLERANCE, 100, is_first_start=False)
    assert not is_admitted(book, 10, 100)
    assert not is_admitted(book, 2000, 100.4)
    assert is_admitted(book, 2000, 102.5)
