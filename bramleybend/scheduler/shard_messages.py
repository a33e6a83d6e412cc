"""What the tasks of a scheduler tell a shard's task."""

import asyncio
from dataclasses import dataclass, field

from bramleybend.decisions.actions import RunReport
from bramleybend.models import Ask, Tier, Vm
from bramleybend.wire.bramleybend_pb2 import HoldReply


@dataclass(eq=False)
class HoldChannel:
    """One gateway stream, as its shard sees it.

    `None` in the outbox ends the stream.
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
    """A gateway wants a slot."""

    hold: HoldChannel
    ask: Ask
    urgent: bool


@dataclass(frozen=True)
class RunAdopted:
    """A gateway registers a run whose owner was lost."""

    hold: HoldChannel
    ask: Ask
    runner: str


@dataclass(frozen=True)
class FirstTokenSeen:
    """A run's prefill is over."""

    hold: HoldChannel
    prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True)
class RunEnded:
    """A gateway gives a slot back."""

    hold: HoldChannel
    report: RunReport


@dataclass(frozen=True)
class HoldLost:
    """A stream ended without a word: its gateway gave up or died."""

    hold: HoldChannel


@dataclass(frozen=True)
class RunnersListed:
    """The shard's runners as the VM list now has them."""

    runners: tuple[Vm, ...]


@dataclass(frozen=True)
class OwnershipMoved:
    """Another VM owns the shard now; every hold must move there."""


@dataclass(frozen=True)
class FloorRequested:
    """A gateway wants to shed and asks what runs below its tier."""

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
