"""Membership records: an entry VM's own record and what peers know of it."""

from dataclasses import dataclass, replace
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from bramleybend.models import RunnerState


class MemberState(StrEnum):
    """State of a member; of two equally new records the later state wins."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


STATE_PRECEDENCE: Final = MappingProxyType(
    {state: rank for rank, state in enumerate(MemberState)},
)


@dataclass(frozen=True)
class Member:
    """One entry VM as a node knows it.

    Only the VM at the address raises the heartbeat: it starts at the wall
    time in milliseconds and is raised above that of every record that
    contradicts the VM's own. So a restarted VM replaces its predecessor, even
    if its clock is behind, and a VM that is wrongly suspected refutes that.
    """

    vm: str
    address: str  # IP number; the ports are the same on every VM
    domain: str
    incarnation: str
    state: MemberState = MemberState.ALIVE
    heartbeat: int = 0

    @property
    def may_own(self) -> bool:
        """Whether it may own shards; a suspect may, to avoid flapping."""
        return self.state in {MemberState.ALIVE, MemberState.SUSPECT}

    def supersedes(self, other: 'Member') -> bool:
        """Whether this record replaces another one of the same address."""
        if self.heartbeat != other.heartbeat:
            return self.heartbeat > other.heartbeat
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return STATE_PRECEDENCE[self.state] > STATE_PRECEDENCE[other.state]


class OwnRecord:
    """The record of this node, which only the node itself may change."""

    def __init__(self, member: Member) -> None:
        """Start with a record whose heartbeat is from the wall clock."""
        self.member = member
        self._was_listed_live = False

    def refute(self, record: Member) -> None:
        """Raise the heartbeat above that of a record that would replace it.

        The record may be a suspicion of this node, or its predecessor's, whose
        heartbeat came from a clock that was ahead. Other nodes would keep that
        record if this node didn't raise its heartbeat above it.
        """
        if record != self.member and record.supersedes(self.member):
            self.member = replace(self.member, heartbeat=record.heartbeat)
            self.set_state(self.member.state)

    def set_state(self, state: MemberState) -> None:
        """Set the state, with a heartbeat that replaces earlier records."""
        heartbeat = self.member.heartbeat + 1
        self.member = replace(self.member, state=state, heartbeat=heartbeat)

    def on_listed_state(self, state: RunnerState) -> None:
        """Leave when this VM changes from live to leaving on the VM list.

        If the VM is listed as leaving from the start, the outdated list still
        describes a predecessor of the same name.
        """
        if state is RunnerState.LIVE:
            self._was_listed_live = True
        elif self._was_listed_live:
            self._was_listed_live = False
            self.set_state(MemberState.LEAVING)
