"""What one entry VM says of itself and others of it."""

from dataclasses import dataclass, replace
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from bramleybend.models import RunnerState


class MemberState(StrEnum):
    """What is known of a member, in growing precedence."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


PRECEDENCE: Final = MappingProxyType(
    {state: rank for rank, state in enumerate(MemberState)},
)


@dataclass(frozen=True)
class Member:
    """One entry VM as a node knows it.

    Only the VM at the address raises the heartbeat: it starts at the wall
    time in milliseconds and moves past every record that says otherwise. So a
    restarted VM replaces its predecessor, also when its clock is behind, and
    a wrongly suspected one takes the suspicion back itself.
    """

    vm: str
    address: str  # IP number; the ports are the same on every VM
    domain: str
    incarnation: str
    state: MemberState = MemberState.ALIVE
    heartbeat: int = 0

    @property
    def may_own(self) -> bool:
        """Whether it may own shards; a suspect still does, to flap less."""
        return self.state in {MemberState.ALIVE, MemberState.SUSPECT}

    def supersedes(self, other: 'Member') -> bool:
        """Whether this record is newer word of the same address."""
        if self.heartbeat != other.heartbeat:
            return self.heartbeat > other.heartbeat
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return PRECEDENCE[self.state] > PRECEDENCE[other.state]


class OwnRecord:
    """What this node says of itself; nobody else has the last word on it."""

    def __init__(self, member: Member) -> None:
        """Start with a heartbeat from the wall clock."""
        self.member = member
        self._listed_live = False

    def refute(self, record: Member) -> None:
        """Move past what another node believes of this address, if it differs.

        It may be a suspicion of this node, or its predecessor's record with
        a heartbeat from a clock that was ahead; unless this node moves past
        it, the others go on believing it.
        """
        if record != self.member and record.supersedes(self.member):
            self.member = replace(self.member, heartbeat=record.heartbeat)
            self.say(self.member.state)

    def say(self, state: MemberState) -> None:
        """State what this node is, over all that was said before."""
        heartbeat = self.member.heartbeat + 1
        self.member = replace(self.member, state=state, heartbeat=heartbeat)

    def listed_as(self, state: RunnerState) -> None:
        """Leave once this VM turns from live to leaving on the VM list.

        Listed as leaving from the start, it is a predecessor of the same
        name that the lagging list speaks of.
        """
        if state is RunnerState.LIVE:
            self._listed_live = True
        elif self._listed_live:
            self._listed_live = False
            self.say(MemberState.LEAVING)
