"""What VMs tell each other of themselves and, if they are hubs, of others."""

from enum import IntEnum
from math import inf

import msgspec
from xxhash import xxh32_intdigest


class Profile(msgspec.Struct, array_like=True, frozen=True):
    """What a VM says of itself; hubs pass it on unchanged."""

    vm: str
    incarnation: str
    address: str
    domain: str
    capacity: int  # see `Self`
    front: str  # ip:port for callers
    ready: bool
    leaving: bool

    @property
    def key(self) -> int:
        """Name this very state of the VM in four bytes."""
        return xxh32_intdigest(msgspec.msgpack.encode(self))


class RunNews(msgspec.Struct, array_like=True):
    """One run that the sender has at a runner."""

    request_id: str
    service: str
    runner: str  # its incarnation
    tier: int
    workspace: str
    cost: float
    prompt_tokens: int


class SpendingNews(msgspec.Struct, array_like=True, frozen=True):
    """What a workspace has taken of its allotment, as one VM knows.

    In whole units, as these are most of what hubs pass on.
    """

    workspace: str
    used: int  # by that VM since its start
    beyond: int  # of it, let in on idle runners
    debt: int  # over all VMs, not paid back yet
    beyond_debt: int


class CrashNews(msgspec.Struct, array_like=True):
    """Content that was running when runners ended."""

    fingerprint: str
    generation: int  # raised by each run of it that came to its end
    runners: list[str]  # their incarnations
    refused: bool


class LimitNews(msgspec.Struct, array_like=True):
    """The limit that a runner last named in an answer."""

    runner: str  # its incarnation
    per_s: float | None  # requests from all VMs; none: no limit any more
    age_s: float  # since that answer


class FeedNews(msgspec.Struct, array_like=True):
    """How far a VM has read one of the platform's logs."""

    name: str
    end: int  # -1: nothing yet
    age_s: float  # since it was sure that there was nothing newer
    reads: bool  # whether the store answers it


class Scope(IntEnum):
    """Which VMs the receiver of a heartbeat is to tell the sender of."""

    NONE = 0
    NEAR = 1  # those that the receiver is the hub of
    ALL = 2  # all that it knows


class Beat(msgspec.Struct, tag='beat', array_like=True):
    """What a VM says of itself, several times a second."""

    profile: Profile
    wants: Scope
    every: int  # beats between two of these to the same receiver
    feeds: list[FeedNews]
    spendings: list[SpendingNews]  # those that changed lately
    tells_all: bool  # all of its totals are among them
    runs: list[RunNews] | None  # all of them; none: not told here
    crashes: list[CrashNews]
    # Not told by earlier versions:
    limits: list[LimitNews] = []
    accounts_s: float = inf  # for how long its accounts are complete


class Alive(msgspec.Struct, array_like=True):
    """A VM that the sender heard, directly or through another hub."""

    key: int
    age_ms: int  # since that VM itself spoke


class Spent(msgspec.Struct, array_like=True):
    """What a VM told of workspaces' spending."""

    key: int
    spendings: list[SpendingNews]
    tells_all: bool  # what isn't among them was not spent
    accounts_s: float = inf  # as in its heartbeat, now


class Digest(msgspec.Struct, tag='digest', array_like=True):
    """What a hub tells of other VMs."""

    alive: list[Alive]
    profiles: list[Profile]  # those that are new
    spent: list[Spent]  # that changed lately


class Roster(msgspec.Struct, tag='roster', array_like=True):
    """The keys of all VMs that a hub knows, silent ones included."""

    keys: list[int]


class Introduced(msgspec.Struct, tag='introduced', array_like=True):
    """VMs that the sender hears and the receiver's roster lacks."""

    profiles: list[Profile]


class Unknown(msgspec.Struct, tag='unknown', array_like=True):
    """Keys of a digest whose profiles the sender lacks."""

    keys: list[int]
