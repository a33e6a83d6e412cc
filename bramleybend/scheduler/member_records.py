"""Members on the wire and back."""

from collections.abc import Iterable

from bramleybend.state.member import Member, MemberState
from bramleybend.wire.bramleybend_pb2 import MemberRecord

KNOWN_STATES = frozenset(MemberState)


def encode_members(members: Iterable[Member]) -> list[MemberRecord]:
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


def decode_members(records: Iterable[MemberRecord]) -> list[Member]:
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
        if record.state in KNOWN_STATES
    ]
