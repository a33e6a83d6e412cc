"""SWIM-like membership of the entry VMs, without any I/O.

Each period a node probes a few other nodes, first directly and then through
helpers. Changed records are piggybacked on the probes. The cost of a node
therefore doesn't grow with the number of nodes, and if a path fails between
two nodes only, neither is declared dead.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from bramleybend.models import Vm
from bramleybend.state.member import Member, MemberState, OwnRecord
from bramleybend.state.member_table import MemberTable
from bramleybend.state.probe_targets import ListedAddresses, ProbeOrder

PROBE_PERIOD_S: Final = 1.0
# After three missed periods the loop wasn't just slow: this process or its VM
# was paused.
PAUSE_THRESHOLD_S: Final = 3.0
INDIRECT_PROBES: Final = 3
MAX_SUSPECT_PROBES: Final = 3  # suspects probed again in each period
# With one probe per period and six nodes, no node would probe a dead one in a
# third of the periods. While there are updates to send, each node sends more
# probes: an update would otherwise take seven periods to reach 350 nodes.
PROBES_PER_PERIOD: Final = 2
PROBES_WITH_UPDATES: Final = 4


@dataclass(frozen=True)
class OutgoingMessage:
    """A message to send, which may ask its target to probe `probe_target`."""

    target: str
    records: tuple[Member, ...]
    probe_target: str = ''


class Membership:
    """One node's view of the entry VMs; used by a single task."""

    def __init__(self, own: Member, rng: Random, now: float) -> None:
        """Start alone; others become known by the VM list and messages."""
        self.own = OwnRecord(own)
        self.last_heard_at = now  # last records from another node
        self.pause_count = 0  # pauses of this process that were detected
        self._rng = rng
        self._probe_order = ProbeOrder(rng)
        self._listed = ListedAddresses(rng)
        self._table = MemberTable(rng, self._probe_order.add, now)
        self._last_tick_at = now
        # Addresses that this node itself found unreachable.
        self._raised_suspicions: list[str] = []

    # ---- queries

    def owner_candidates(self, now: float) -> tuple[Member, ...]:
        """Return the members that may own shards: alive and suspected ones."""
        return tuple(
            member
            for member in self.list_records(now)
            if member.state in {MemberState.ALIVE, MemberState.SUSPECT}
        )

    def list_records(self, now: float) -> tuple[Member, ...]:
        """Return all records, the own one first; overdue suspects are dead."""
        return (self.own.member, *self._table.list_records(now))

    # ---- commands

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Start a period; return the messages to send."""
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            self._handle_pause(now)
        self._last_tick_at = now
        for address in self._table.expire(now, self._listed.is_listed):
            self._probe_order.remove(address)
        self._raised_suspicions = self._table.filter_suspects(
            self._raised_suspicions
        )[:MAX_SUSPECT_PROBES]
        probes = (
            PROBES_WITH_UPDATES if self._table.updates else PROBES_PER_PERIOD
        )
        targets = [
            *self._raised_suspicions,
            *self._probe_order.next_targets(probes, self._table.is_dead),
            *self._listed.pick_targets(
                self._table.by_address, self._table.is_dead
            ),
        ]
        return [
            self._build_message(target) for target in dict.fromkeys(targets)
        ]

    def leave(self) -> None:
        """Announce that this node is stopping; it gets no shards any more."""
        self.own.set_state(MemberState.LEAVING)

    def update_listed_vms(self, vms: Sequence[Vm], now: float) -> None:
        """Use the VM list, which may be outdated, as a hint of what to probe.

        A listed VM may be dead and an unlisted one alive, so the list neither
        adds members nor declares any dead. A node acts on the listed state
        of its own VM only.
        """
        others = [vm for vm in vms if vm.address != self.own.member.address]
        self._listed.update([vm.address for vm in others], now)
        for vm in vms:
            if vm.name == self.own.member.vm:
                self.own.on_listed_state(vm.state)

    def on_message(
        self,
        sender: Member,
        records: Sequence[Member],
        now: float,
    ) -> list[Member]:
        """Merge a message's records and return the records of the reply.

        A newcomer gets a large part of the table at once. If it had to wait
        for updates, it would rank owners among a few members for a long time.
        """
        known = self._table.by_address.get(sender.address)
        self.on_records((sender, *records), now)
        if known is None or known.incarnation != sender.incarnation:
            picked = self._table.select_for_newcomer()
        else:
            picked = self._table.select_for_peer(sender.address)
        return [self.own.member, *picked]

    def on_records(self, records: Iterable[Member], now: float) -> None:
        """Merge the records of a message or a reply."""
        self.last_heard_at = now
        for record in records:
            if record.address == self.own.member.address:
                self.own.refute(record)
            else:
                self._table.merge(record, now)

    def on_probe_result(
        self,
        target: str,
        answered: bool,
        now: float,
    ) -> list[OutgoingMessage]:
        """Handle a direct probe's result; return requests to helpers."""
        if answered or not self._table.is_member(target):
            return []
        helpers = self._table.members_except(target)
        if not helpers:
            self._suspect(target, now)
        picked = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        return [
            replace(self._build_message(helper), probe_target=target)
            for helper in picked
        ]

    def on_indirect_result(
        self,
        target: str,
        answered: bool,
        now: float,
    ) -> None:
        """Handle the result of the indirect probes through all helpers."""
        if not answered:
            self._suspect(target, now)

    def on_unreachable(self, vm: str, now: float) -> None:
        """Suspect a VM immediately, because it refused a connection."""
        for member in self._table.list_records(now):
            if member.vm == vm:
                self._suspect(member.address, now)

    def _handle_pause(self, now: float) -> None:
        # All suspicion timeouts expired during the pause, and acting on them
        # would declare live peers dead. So the timers restart, and a raised
        # heartbeat refutes what others concluded about this node meanwhile.
        self.pause_count += 1
        self._table.restart_timers(now)
        self.own.set_state(self.own.member.state)

    def _suspect(self, address: str, now: float) -> None:
        # The node that raises a suspicion keeps probing the suspect: with
        # packet loss the suspect might otherwise learn of the suspicion only
        # after the timeout.
        self._table.set_state(address, MemberState.SUSPECT, now)
        self._raised_suspicions.append(address)

    def _build_message(self, target: str) -> OutgoingMessage:
        records = (self.own.member, *self._table.select_for_peer(target))
        return OutgoingMessage(target, records)
