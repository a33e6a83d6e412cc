"""Messages between entry VMs, one to a datagram.

Datagrams, as everything here may be lost and said again: a heartbeat is
followed by the next, an ask is repeated until it is answered, and what an
owner missed of a run's end it learns from the next heartbeat. A stream would
add nothing but the chance that it falls silent without an error.
"""

from math import inf
from typing import Final, TypeAlias

import msgspec

from bramleybend.direct.beat_messages import (
    Beat,
    Digest,
    Introduced,
    Roster,
    Unknown,
)

MOST_BYTES: Final = 60_000  # UDP's own limit is 65,507


class AskNews(msgspec.Struct, tag='ask', array_like=True):
    """A request wants a slot; said again while it waits."""

    request_id: str
    service: str
    tier: int
    workspace: str
    cost: float
    prompt_tokens: int
    patience_s: float  # the time left for the whole answer
    excluded: list[str]
    suspect: bool  # it gets a runner to itself
    on_time_s: float  # the time left for a start that is on time
    # The time left for an answer to begin. Not told by earlier versions.
    begin_s: float = inf
    # Runners to which the VM has a free connection; not told by earlier ones.
    connected: list[str] = msgspec.field(default_factory=list)


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
    # The runner, if another process answers at its address. Not told by
    # earlier versions.
    moved_runner: str = ''


Message: TypeAlias = (
    Beat
    | Digest
    | Introduced
    | Roster
    | Unknown
    | AskNews
    | Queued
    | Granted
    | Refused
    | Withdrawn
    | Filled
    | Ended
)

encode: Final = msgspec.msgpack.Encoder().encode
decode: Final = msgspec.msgpack.Decoder(Message).decode
