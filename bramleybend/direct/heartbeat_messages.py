"""Heartbeats, and the messages in which hubs tell VMs of other VMs.

`array_like` structs are encoded by the position of their fields: the order and
the tags are part of the protocol, the names are not. A hub is a VM that
forwards the news of its failure domain; see `members`.
"""

from enum import IntEnum
from math import inf

import msgspec
from xxhash import xxh32_intdigest


class Profile(msgspec.Struct, array_like=True, frozen=True):
    """A VM's description of itself; hubs forward it unchanged."""

    vm: str
    incarnation: str
    address: str
    domain: str
    capacity: int  # level of the work it can carry; see `members.OwnVm`
    caller_endpoint: str  # ip:port where callers connect
    ready: bool
    leaving: bool
    # Services whose runners it can't connect to. Not sent by earlier versions.
    unreached: tuple[str, ...] = ()

    @property
    def key(self) -> int:
        """Return a 32-bit hash that identifies this state of the VM.

        Earlier versions hash the fields up to `leaving`. The other field is
        left out while it is empty, so that all versions get the same key.
        """
        fields = msgspec.structs.astuple(self)
        return xxh32_intdigest(
            msgspec.msgpack.encode(fields if self.unreached else fields[:-1])
        )


class ReportedRun(msgspec.Struct, array_like=True):
    """A run that the sender has at a runner."""

    request_id: str
    service: str
    runner: str  # its incarnation
    tier: int
    workspace: str
    cost: float
    prompt_tokens: int


class WorkspaceTotals(msgspec.Struct, array_like=True, frozen=True):
    """Totals of a workspace's allotment in the accounts of one VM.

    Units are tokens or requests. They are rounded to integers, which take
    fewer bytes: these totals are most of what hubs send.
    """

    workspace: str
    used: int  # admitted by that VM since its start
    beyond: int  # part of `used`: admitted over the allotment on idle runners
    debt: int  # of all VMs together, not paid back yet
    beyond_debt: int  # the same for what was admitted over the allotment


class CrashReport(msgspec.Struct, array_like=True):
    """Content that was running when runners crashed."""

    fingerprint: str  # identifies the content
    generation: int  # incremented by each run of the content that completes
    runners: list[str]  # incarnations of the runners that crashed
    refused: bool  # whether requests with the content are refused


class RunnerLimit(msgspec.Struct, array_like=True):
    """The request rate limit in a runner's most recent answer."""

    runner: str  # its incarnation
    per_s: float | None  # for all VMs together; none: the limit has ended
    age_s: float  # since that answer


class FeedStatus(msgspec.Struct, array_like=True):
    """How far a VM has read one of the platform's logs."""

    name: str
    end: int  # offset to read on from; -1: nothing read yet
    age_s: float  # since the VM's copy of the log was known to be complete
    can_read_store: bool  # whether the store answers this VM


class DigestScope(IntEnum):
    """The VMs about which a heartbeat's sender requests digests."""

    NONE = 0
    DOMAIN = 1  # VMs of the receiver's domain that use the receiver as a hub
    ALL = 2  # all VMs that the receiver hears


class Heartbeat(msgspec.Struct, tag='beat', array_like=True):
    """A VM's state, sent to hubs and owners up to five times a second."""

    profile: Profile
    requested_digests: DigestScope
    interval_beats: (
        int  # heartbeat intervals between two of these to one receiver
    )
    feeds: list[FeedStatus]
    totals: list[WorkspaceTotals]  # those that changed recently
    tells_all: bool  # `totals` holds the totals of all workspaces
    runs: list[ReportedRun] | None  # all runs at engines; none: left out here
    crashes: list[CrashReport]
    # Not sent by earlier versions:
    limits: list[RunnerLimit] = []
    accounts_s: float = inf  # for how long the sender's accounts are complete


class VmLiveness(msgspec.Struct, array_like=True):
    """A VM that the sender hears, directly or through another hub."""

    key: int  # of the VM's profile
    age_ms: int  # since that VM itself sent a heartbeat


class RelayedTotals(msgspec.Struct, array_like=True):
    """The totals of workspaces that another VM sent to a hub."""

    key: int  # of that VM's profile
    totals: list[WorkspaceTotals]
    tells_all: bool  # workspaces not in `totals` have used nothing there
    accounts_s: float = inf  # as in the VM's heartbeat, plus the time since


class Digest(msgspec.Struct, tag='digest', array_like=True):
    """A hub's news of other VMs."""

    alive: list[VmLiveness]
    profiles: list[Profile]  # new or changed ones
    relayed_totals: list[RelayedTotals]  # with recent changes


class KnownVms(msgspec.Struct, tag='roster', array_like=True):
    """The profile keys of all VMs that a hub knows, silent ones included."""

    keys: list[int]


class MissingProfiles(msgspec.Struct, tag='introduced', array_like=True):
    """Profiles of VMs that the sender hears and the receiver doesn't know."""

    profiles: list[Profile]


class ProfileRequest(msgspec.Struct, tag='unknown', array_like=True):
    """Asks a hub for the profiles of these keys, which a digest named."""

    keys: list[int]
