"""Members on the wire and back."""

from collections.abc import Iterable

from bramleybend.state.member import Member, MemberState
from bramleybend.wire.bramleybend_pb2 import MemberRecord

STATES = frozenset(MemberState)


def write_members(members: Iterable[Member]) -> list[MemberRecord]:
    """Put members on the wire."""
    return [
        MemberRecord(
            vm=member.vm,
            address=member.address,
            domain=member.domain,
            incarnation=member.incarnation,
            heartbeat=member.heartbeat,
            state=member.state,
        )
        for member in members
    ]


def read_members(records: Iterable[MemberRecord]) -> list[Member]:
    """Read members, without those in a state this release doesn't know."""
    return [
        Member(
            vm=record.vm,
            address=record.address,
            domain=record.domain,
            incarnation=record.incarnation,
            heartbeat=record.heartbeat,
            state=MemberState(record.state),
        )
        for record in records
        if record.state in STATES
    ]
