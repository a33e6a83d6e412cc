"""The parts of tunnels: frames, races of connections, choice of helpers."""

import asyncio
import struct
from collections import Counter
from random import Random
from typing import cast
from unittest.mock import Mock

import msgspec
import pytest
from xxhash import xxh32_intdigest

from bramleybend.clients.channel import Channel
from bramleybend.clock import SystemClock
from bramleybend.direct.connection_race import race
from bramleybend.direct.heartbeat_messages import Profile
from bramleybend.direct.helper_choice import HelperChoice
from bramleybend.direct.members import Member, Members, OwnVm
from bramleybend.direct.tunnel_frames import (
    MAX_FRAME_BYTES,
    FrameError,
    FrameReader,
    FrameType,
    encode_frame,
)

STAGGER_S = 0.02
DOMAINS = 7
VMS_PER_DOMAIN = 50


def test_frames_are_read_in_any_pieces() -> None:
    """TCP splits frames anywhere."""
    frames = [(FrameType.OPENED, b''), (FrameType.DATA, b'x' * 9)]
    stream = b''.join(encode_frame(*frame) for frame in frames)
    for size in range(1, len(stream) + 1):
        reader = FrameReader()
        read = [
            frame
            for first in range(0, len(stream), size)
            for frame in reader.feed(stream[first : first + size])
        ]
        assert read == frames


@pytest.mark.parametrize(
    'received',
    [
        b'\xff\x00\x00\x00\x00',
        struct.pack('>BI', FrameType.DATA, MAX_FRAME_BYTES + 1),
    ],
)
def test_invalid_frames_are_rejected(received: bytes) -> None:
    """Bytes of another protocol must not fill the memory."""
    with pytest.raises(FrameError):
        list(FrameReader().feed(received))


class FakeWay:
    """A way to a connection that opens or fails after some time."""

    def __init__(self, seconds: float, error: OSError | None = None) -> None:
        """Open after `seconds`, or fail with `error`."""
        self._seconds = seconds
        self._error = error
        self.channel = cast(Channel, Mock())
        self.was_started = False
        self.was_cancelled = False

    async def __call__(self) -> Channel:
        """Open the connection."""
        self.was_started = True
        try:
            await asyncio.sleep(self._seconds)
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise
        if self._error is not None:
            raise self._error
        return self.channel


async def test_a_quick_first_way_starts_no_other() -> None:
    """A sound path must cost no tunnel."""
    first, second = FakeWay(0), FakeWay(0)
    assert await race([first, second], STAGGER_S) is first.channel
    assert not second.was_started


async def test_a_failed_way_starts_the_next_at_once() -> None:
    """A refused connection must not cost the whole stagger."""
    first, second = FakeWay(0, OSError('refused')), FakeWay(0)
    async with asyncio.timeout(0.5):
        assert await race([first, second], 10) is second.channel


async def test_a_slow_way_loses_to_the_next_and_is_cancelled() -> None:
    """A path that hangs must not hold up the request."""
    first, second = FakeWay(10), FakeWay(0)
    assert await race([first, second], STAGGER_S) is second.channel
    await asyncio.sleep(0)
    assert first.was_cancelled


async def test_a_connection_that_comes_second_is_closed() -> None:
    """Two connections that open at once must not leave one behind."""
    first, second = FakeWay(STAGGER_S * 2), FakeWay(STAGGER_S)
    winner = await race([first, second], STAGGER_S)
    await asyncio.sleep(STAGGER_S * 2)
    for way in (first, second):
        if way.channel is not winner and not way.was_cancelled:
            cast(Mock, way.channel).abort.assert_called_once()


async def test_the_first_error_is_raised_if_all_ways_fail() -> None:
    """The log tells why the direct path failed, not that no VM could help."""
    ways = [FakeWay(0, OSError('a')), FakeWay(0, OSError('b'))]
    with pytest.raises(OSError, match='a'):
        await race(ways, STAGGER_S)


def members_of(
    unreached: Counter[str] | None = None,
) -> tuple[Members, HelperChoice]:
    """Return a full-size fleet; some domains reach no runner."""
    clock = SystemClock()
    members = Members(OwnVm('own', 'i', '10.0.0.1', '', 'd0'))
    now = clock.monotonic() + 60
    for domain in range(DOMAINS):
        for number in range(VMS_PER_DOMAIN):
            vm = f'd{domain}-{number}'
            member = Member(vm, 'i', vm, '', True, False, now, 0, f'd{domain}')
            if unreached and unreached[member.domain]:
                member.unreached = ('app',)
            members.update(member)
    return members, HelperChoice(members, clock, Random(1))


def test_helpers_are_of_the_own_domain_and_of_another() -> None:
    """A domain may have lost its links as a whole."""
    _, helpers = members_of()
    for _ in range(20):
        first, second = helpers.choose('app')
        assert first.domain == 'd0'
        assert second.domain != 'd0'


def test_vms_that_reach_no_runner_are_not_asked() -> None:
    """A VM of the same domain is likely to be cut off, too."""
    _, helpers = members_of(Counter(d0=1, d1=1))
    for _ in range(20):
        domains = {vm.domain for vm in helpers.choose('app')}
        assert not domains & {'d0', 'd1'}
        assert {vm.domain for vm in helpers.choose('lm')} & {'d0'}


def test_a_domain_without_paths_spreads_over_all_helpers() -> None:
    """A single VM would carry the load of fifty."""
    _, helpers = members_of(Counter(d0=1))
    first = Counter(helpers.choose('app')[0].vm for _ in range(3000))
    assert len(first) == (DOMAINS - 1) * VMS_PER_DOMAIN
    assert max(first.values()) <= 40


def test_a_vm_that_opened_no_tunnel_is_avoided() -> None:
    """Each request would wait for it again."""
    members, helpers = members_of()
    for member in members:
        if member.vm != 'd0-1':
            helpers.avoid(member.vm)
    assert [vm.vm for vm in helpers.choose('app')] == ['d0-1']


class EarlierProfile(msgspec.Struct, array_like=True, frozen=True):
    """A profile as versions without tunnels know it."""

    vm: str
    incarnation: str
    address: str
    domain: str
    capacity: int
    caller_endpoint: str
    ready: bool
    leaving: bool


def test_earlier_versions_get_the_same_key_of_an_intact_vm() -> None:
    """With another key they would ask for its profile again and again."""
    intact = Profile('vm', 'i', 'a', 'd', 1, 'f', ready=True, leaving=False)
    read = msgspec.msgpack.decode(
        msgspec.msgpack.encode(intact), type=EarlierProfile
    )
    assert xxh32_intdigest(msgspec.msgpack.encode(read)) == intact.key


def test_a_vm_that_loses_its_paths_has_another_key() -> None:
    """Otherwise hubs would not tell the others of it."""
    intact = Profile('vm', 'i', 'a', 'd', 1, 'f', ready=True, leaving=False)
    assert intact.key != msgspec.structs.replace(intact, unreached=('a',)).key
