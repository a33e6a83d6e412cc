"""Encoding of the slot requests that a VM sends to an owner."""

from dataclasses import replace
from math import inf

import msgspec
import pytest

from bramleybend.direct.heartbeat_messages import (
    DigestScope,
    Heartbeat,
    Profile,
)
from bramleybend.direct.messages import SlotRequestMessage, decode, encode
from bramleybend.direct.slot_messages import (
    slot_request_from,
    slot_request_message,
)
from bramleybend.models import SlotRequest, Tier

ASK = SlotRequest(
    'i.1',
    'lm',
    Tier.HIGH,
    'w',
    34.0,
    10,
    (),
    108.0,
    cancellable=False,
    suspect=True,
    excluded=frozenset(('r1', 'r2')),
    on_time_until=100.5,
    begin_by=102.0,
)


def test_an_ask_arrives_as_it_was_sent() -> None:
    """Times are sent as remaining times, since the clocks of VMs differ.

    Everything that the owner decides by is preserved: the tier, the time until
    which a start is punctual, the excluded runners, and whether it runs alone.
    """
    told = decode(encode(slot_request_message(ASK, 100.0)))
    assert isinstance(told, SlotRequestMessage)
    received = slot_request_from(told, 7.0)
    assert received == replace(
        ASK, deadline=15.0, on_time_until=7.5, begin_by=9.0
    )


@pytest.mark.parametrize('missing', [1, 2])
def test_an_ask_of_an_earlier_version_is_read(missing: int) -> None:
    """During an update, VMs of both versions serve callers."""
    ask = replace(ASK, connected=frozenset({'r1'}))
    fields = msgspec.msgpack.decode(encode(slot_request_message(ask, 100.0)))
    told = decode(msgspec.msgpack.encode(fields[:-missing]))
    assert isinstance(told, SlotRequestMessage)
    read = slot_request_from(told, 7.0)
    expected = replace(ASK, deadline=15.0, on_time_until=7.5, begin_by=inf)
    if missing == 1:
        expected = replace(expected, begin_by=read.begin_by)
        assert read.begin_by < inf
    assert read == expected


def test_a_heartbeat_of_an_earlier_version_is_read() -> None:
    """If it could not be read, VMs of the two versions would seem dead."""
    profile = Profile('vm', 'i', 'a', 'd', 1, 'f', ready=True, leaving=False)
    beat = Heartbeat(profile, DigestScope.NONE, 1, [], [], True, None, [])
    fields = msgspec.msgpack.decode(encode(beat))
    told = decode(msgspec.msgpack.encode(fields[:-1]))
    assert told == beat
