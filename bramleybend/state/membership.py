"""Which entry VMs are there: SWIM-like membership, without any I/O.

Each period a node probes one other, directly and then through a few helpers.
News rides on the probes. So a node's cost doesn't grow with the number of
nodes, and a path that is cut for one node alone makes nobody dead.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from bramleybend.models import Vm
from bramleybend.state.member import Member, MemberState, OwnRecord
from bramleybend.state.probing import Candidates, ProbeOrder
from bramleybend.state.records import RecordTable

PERIOD_S: Final = 1.0
# Three missed periods are no slow loop: this process or its VM was paused.
PAUSE_S: Final = 3.0
HELPERS: Final = 3
MAX_DOUBTS: Final = 3  # suspects asked again in a period
# With one probe a period and six nodes, a third of all periods would pass
# without anyone probing a dead one. While there is news a few more go out:
# news of a death would else take seven periods to reach 350 nodes.
PROBES: Final = 2
PROBES_WITH_NEWS: Final = 4


@dataclass(frozen=True)
class Outgoing:
    """One message to send; with `probe`, ask the target to try that address."""

    target: str
    records: tuple[Member, ...]
    probe: str = ''


class Members:
    """One node's view of the entry VMs; one task owns it."""

    def __init__(self, own: Member, rng: Random, now: float) -> None:
        """Start alone; the VM list and messages bring the others."""
        self.own = OwnRecord(own)
        self.heard_at = now  # when any other node was last heard
        self.pauses = 0  # times this process was found to have been paused
        self._rng = rng
        self._order = ProbeOrder(rng)
        self._candidates = Candidates(rng)
        self._table = RecordTable(rng, self._order.add, now)
        self._ticked = now
        self._doubts: list[str] = []  # suspicions that this node raised

    # ---- queries

    def alive(self, now: float) -> tuple[Member, ...]:
        """Return who may own shards: suspects still, not leaving or dead."""
        return tuple(
            member
            for member in self.known(now)
            if member.state in {MemberState.ALIVE, MemberState.SUSPECT}
        )

    def known(self, now: float) -> tuple[Member, ...]:
        """Return every record, the own one first, ended suspicions as dead."""
        return (self.own.member, *self._table.current(now))

    # ---- commands

    def tick(self, now: float) -> list[Outgoing]:
        """Move time on by a period and say what to send."""
        if now - self._ticked > PAUSE_S:
            self._resume(now)
        self._ticked = now
        for address in self._table.expire(now, self._candidates.is_listed):
            self._order.remove(address)
        self._doubts = self._table.suspects_of(self._doubts)[:MAX_DOUBTS]
        probes = PROBES_WITH_NEWS if self._table.news else PROBES
        targets = [
            *self._doubts,
            *self._order.next_some(probes, self._table.is_dead),
            *self._candidates.pick(self._table.by_address, self._table.is_dead),
        ]
        return [self._message(target) for target in dict.fromkeys(targets)]

    def leave(self) -> None:
        """Say that this node is stopping; it gets no shards any more."""
        self.own.say(MemberState.LEAVING)

    def learn_listed(self, vms: Sequence[Vm], now: float) -> None:
        """Take the VM list as a hint of whom to try; it lags.

        A listed VM may be dead and an unlisted one alive, so the list makes
        nobody a member or dead; only of its own VM does a node believe it.
        """
        others = [vm for vm in vms if vm.address != self.own.member.address]
        self._candidates.note([vm.address for vm in others], now)
        for vm in vms:
            if vm.name == self.own.member.vm:
                self.own.listed_as(vm.state)

    def on_message(
        self,
        sender: Member,
        records: Sequence[Member],
        now: float,
    ) -> list[Member]:
        """Take in a message and return the records of the reply to it.

        A newcomer gets a large part of the table at once; waiting for news
        to bring it would leave it ranking owners among a few for long.
        """
        known = self._table.by_address.get(sender.address)
        self.on_records((sender, *records), now)
        if known is None or known.incarnation != sender.incarnation:
            picked = self._table.for_newcomer()
        else:
            picked = self._table.for_peer(sender.address)
        return [self.own.member, *picked]

    def on_records(self, records: Iterable[Member], now: float) -> None:
        """Take in the records of a message or a reply."""
        self.heard_at = now
        for record in records:
            if record.address == self.own.member.address:
                self.own.refute(record)
            else:
                self._table.learn(record, now)

    def on_probe_result(
        self,
        target: str,
        answered: bool,
        now: float,
    ) -> list[Outgoing]:
        """Take in how a direct probe ended; say which helpers to ask."""
        if answered or not self._table.is_member(target):
            return []
        helpers = self._table.members_but(target)
        if not helpers:
            self._doubt(target, now)
        picked = self._rng.sample(helpers, min(HELPERS, len(helpers)))
        return [replace(self._message(who), probe=target) for who in picked]

    def on_indirect_result(
        self,
        target: str,
        answered: bool,
        now: float,
    ) -> None:
        """Take in whether any helper reached the target."""
        if not answered:
            self._doubt(target, now)

    def on_unreachable(self, vm: str, now: float) -> None:
        """Suspect a VM at once, because it refused a connection."""
        for member in self._table.current(now):
            if member.vm == vm:
                self._doubt(member.address, now)

    def _resume(self, now: float) -> None:
        # While this process was paused every wait ran out; acting on that
        # would declare its peers dead. The waits are counted afresh, and the
        # raised heartbeat takes back what was said of this node meanwhile.
        self.pauses += 1
        self._table.restart_waits(now)
        self.own.say(self.own.member.state)

    def _doubt(self, address: str, now: float) -> None:
        # Who raises a suspicion goes on asking the suspect: under loss the
        # news of it may reach the suspect only after its wait has run out.
        self._table.mark(address, MemberState.SUSPECT, now)
        self._doubts.append(address)

    def _message(self, target: str) -> Outgoing:
        records = (self.own.member, *self._table.for_peer(target))
        return Outgoing(target, records)
