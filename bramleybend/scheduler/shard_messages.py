"""Messages to a shard's task from the other parts of a scheduler."""

import asyncio
from dataclasses import dataclass, field

from bramleybend.decisions.actions import RunReport
from bramleybend.models import SlotRequest, Tier, Vm
from bramleybend.wire.bramleybend_pb2 import HoldReply


@dataclass(eq=False)
class HoldChannel:
    """The stream on which a gateway holds, or waits for, one slot.

    The key is unique to the stream. `None` in the outbox ends the stream.
    """

    key: str
    request_id: str
    tier: Tier
    fingerprint: str = ''
    outbox: asyncio.Queue[HoldReply | None] = field(
        default_factory=asyncio.Queue,
    )


@dataclass(frozen=True)
class SlotRequested:
    """A gateway requests a slot.

    It is urgent if the gateway sheds the request unless a slot is found.
    """

    hold: HoldChannel
    ask: SlotRequest
    urgent: bool


@dataclass(frozen=True)
class RunAdopted:
    """A gateway registers a run that a previous owner granted."""

    hold: HoldChannel
    ask: SlotRequest
    runner: str


@dataclass(frozen=True)
class FirstTokenSeen:
    """A run produced its first token: its prefill has ended."""

    hold: HoldChannel
    prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True)
class RunEnded:
    """A run ended, and its gateway releases the slot."""

    hold: HoldChannel
    report: RunReport


@dataclass(frozen=True)
class HoldLost:
    """A stream closed.

    If the end of its run was not reported, the gateway gave up or died, or the
    run moved to another owner.
    """

    hold: HoldChannel


@dataclass(frozen=True)
class RunnersListed:
    """The shard's runners changed."""

    runners: tuple[Vm, ...]


@dataclass(frozen=True)
class OwnershipMoved:
    """Another VM owns the shard now; every hold must move to it."""


@dataclass(frozen=True)
class FloorRequested:
    """A gateway sets a tier floor and asks how many runs are below it.

    It does so before it sheds a request.
    """

    tier: Tier
    hold_s: float
    reply: asyncio.Future[int]


ShardMessage = (
    SlotRequested
    | RunAdopted
    | FirstTokenSeen
    | RunEnded
    | HoldLost
    | RunnersListed
    | OwnershipMoved
    | FloorRequested
)
