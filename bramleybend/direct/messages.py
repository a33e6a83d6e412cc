"""Messages between entry VMs, one to a datagram.

Datagrams, as everything here may be lost and said again: a heartbeat is
followed by the next, an ask is repeated until it is answered, and what an
owner missed of a run's end it learns from the next heartbeat. A stream would
add nothing but the chance that it falls silent without an error.
"""

from typing import Final, TypeAlias

import msgspec

MOST_BYTES: Final = 60_000  # UDP's own limit is 65,507


class MemberNews(msgspec.Struct, array_like=True):
    """Where a VM was last heard."""

    vm: str
    address: str
    front: str


class RunNews(msgspec.Struct, array_like=True):
    """One run that the sender has at a runner."""

    request_id: str
    service: str
    runner: str  # its incarnation
    tier: int
    workspace: str
    cost: float
    prompt_tokens: int


class SpendingNews(msgspec.Struct, array_like=True):
    """What a workspace has taken of its allotment, as the sender knows."""

    workspace: str
    used: float  # by the sender since its start
    beyond: float  # of it, let in on idle runners
    debt: float  # over all VMs, not paid back yet
    beyond_debt: float


class CrashNews(msgspec.Struct, array_like=True):
    """Content that was running when runners ended."""

    fingerprint: str
    generation: int  # raised by each run of it that came to its end
    runners: list[str]  # their incarnations
    refused: bool


class FeedNews(msgspec.Struct, array_like=True):
    """How far a VM has read one of the platform's logs."""

    name: str
    end: int  # -1: nothing yet
    age_s: float  # since it was sure that there was nothing newer
    reads: bool  # whether the store answers it


class Beat(msgspec.Struct, tag='beat', array_like=True):
    """What a VM tells all others, several times a second."""

    vm: str
    incarnation: str
    front: str  # ip:port for callers
    ready: bool
    leaving: bool
    feeds: list[FeedNews]
    members: list[MemberNews]
    spendings: list[SpendingNews]
    runs: list[RunNews]
    crashes: list[CrashNews]


class AskNews(msgspec.Struct, tag='ask', array_like=True):
    """A request wants a slot; said again while it waits."""

    request_id: str
    service: str
    tier: int
    workspace: str
    cost: float
    prompt_tokens: int
    patience_s: float
    excluded: list[str]
    suspect: bool  # it gets a runner to itself
    on_time_s: float  # the time left for a start that is on time


class Queued(msgspec.Struct, tag='queued', array_like=True):
    """The ask was taken in and waits."""

    request_id: str


class Granted(msgspec.Struct, tag='granted', array_like=True):
    """The request may be sent to this runner."""

    request_id: str
    runner: str


class Refused(msgspec.Struct, tag='refused', array_like=True):
    """The request gets no slot."""

    request_id: str
    reason: str
    retry_after_s: float


class Withdrawn(msgspec.Struct, tag='withdrawn', array_like=True):
    """The request no longer wants a slot."""

    request_id: str
    service: str


class Filled(msgspec.Struct, tag='filled', array_like=True):
    """The run's first token has come."""

    request_id: str
    service: str
    prompt_tokens: int


class Ended(msgspec.Struct, tag='ended', array_like=True):
    """The run is over."""

    request_id: str
    service: str
    outcome: str
    refused: bool
    crashed: bool
    prompt_tokens: int
    completion_tokens: int
    seconds: float


Message: TypeAlias = (
    Beat | AskNews | Queued | Granted | Refused | Withdrawn | Filled | Ended
)

encode: Final = msgspec.msgpack.Encoder().encode
decode: Final = msgspec.msgpack.Decoder(Message).decode
