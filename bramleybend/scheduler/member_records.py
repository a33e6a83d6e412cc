"""Encoding of members as wire records and back."""

from collections.abc import Iterable

from bramleybend.state.member import Member, MemberState
from bramleybend.wire.bramleybend_pb2 import MemberRecord

KNOWN_STATES = frozenset(MemberState)


def encode_members(members: Iterable[Member]) -> list[MemberRecord]:
    """Encode members as wire records."""
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
    """Decode members; skip those in a state that this release can't read."""
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
