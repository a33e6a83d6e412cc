"""Messages between entry VMs, each in one datagram.

Every message may be lost, because its content is sent again: a heartbeat is
followed by the next, a slot request is repeated until it is answered, and an
owner that missed the end of a run learns of it from the next heartbeat that
lists the sender's runs. A stream would only add connections that can stall
without an error.

`array_like` structs are encoded by the position of their fields: the order and
the tags are part of the protocol, the names are not.
"""

from math import inf
from typing import Final, TypeAlias

import msgspec

from bramleybend.direct.heartbeat_messages import (
    Digest,
    Heartbeat,
    KnownVms,
    MissingProfiles,
    ProfileRequest,
)

MAX_PAYLOAD_BYTES: Final = 60_000  # UDP allows 65,507 over IPv4


class SlotRequestMessage(msgspec.Struct, tag='ask', array_like=True):
    """Asks an owner for a runner slot; repeated while the request waits."""

    request_id: str
    service: str
    tier: int
    workspace: str
    cost: float
    prompt_tokens: int
    time_left_s: float  # until the answer has to be complete
    excluded: list[str]  # runners that must not be granted
    suspect: bool  # its content may crash runners; it runs alone on one
    on_time_left_s: float  # until the latest start that is on time
    # Time left until the answer has to begin. Not sent by earlier versions.
    begin_left_s: float = inf
    # Runners to which the sender has an idle connection. Not sent by earlier
    # versions.
    connected: list[str] = msgspec.field(default_factory=list)


class Queued(msgspec.Struct, tag='queued', array_like=True):
    """Acknowledges a slot request that waits in the owner's queue."""

    request_id: str


class Granted(msgspec.Struct, tag='granted', array_like=True):
    """Grants a slot: the request may be sent to this runner."""

    request_id: str
    runner: str  # its incarnation


class Refused(msgspec.Struct, tag='refused', array_like=True):
    """Refuses a slot request."""

    request_id: str
    reason: str
    retry_after_s: float


class Withdrawn(msgspec.Struct, tag='withdrawn', array_like=True):
    """Cancels a slot request, and its grant if there is one."""

    request_id: str
    service: str


class PrefillDone(msgspec.Struct, tag='filled', array_like=True):
    """Tells the owner that a run has returned its first token."""

    request_id: str
    service: str
    prompt_tokens: int


class Ended(msgspec.Struct, tag='ended', array_like=True):
    """Tells the owner that a run has ended, so its slot is free."""

    request_id: str
    service: str
    outcome: str
    refused: bool  # by the runner
    crashed: bool  # the runner died during the run
    prompt_tokens: int
    completion_tokens: int
    seconds: float  # from the start of the run to its end
    # The runner's incarnation if another process answers at its address; else
    # empty. Not sent by earlier versions.
    moved_runner: str = ''


class StreamOrigin(msgspec.Struct, array_like=True, frozen=True):
    """The software version at which a caller's stream began."""

    attempt_key: str  # of the caller's attempt that brings its first event
    workspace: str
    service: str
    version: str


class StreamsBegan(msgspec.Struct, tag='began', array_like=True):
    """Asks the receiver to record origins for all VMs."""

    origins: list[StreamOrigin]


class StreamsRecorded(msgspec.Struct, tag='recorded', array_like=True):
    """Tells that the origins of these attempts are recorded."""

    attempt_keys: list[str]


Message: TypeAlias = (
    Heartbeat
    | Digest
    | MissingProfiles
    | KnownVms
    | ProfileRequest
    | SlotRequestMessage
    | Queued
    | Granted
    | Refused
    | Withdrawn
    | PrefillDone
    | Ended
    | StreamsBegan
    | StreamsRecorded
)

encode: Final = msgspec.msgpack.Encoder().encode
decode: Final = msgspec.msgpack.Decoder(Message).decode
