"""What the decisions are told and what they order: plain data.

A scheduler task feeds these to a `ShardPolicy` and carries out the actions
that come back; a gateway feeds `ShardView`s to `rank_shards`.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from bramleybend.models import Tier


@dataclass(frozen=True)
class Grant:
    """The request may be sent to this runner now."""

    request_id: str
    runner: str


@dataclass(frozen=True)
class Refuse:
    """The request gets no slot; nothing was sent for it."""

    request_id: str
    reason: str
    retry_after: timedelta
    shed: bool  # for want of capacity: the tier-floor round comes first


@dataclass(frozen=True)
class Preempt:
    """Cancel this run; a waiting request of a higher tier needs the slot."""

    request_id: str
    for_tier: Tier


Action = Grant | Refuse | Preempt


@dataclass(frozen=True)
class RunReport:
    """How a granted run ended, as seen by the gateway that streamed it."""

    outcome: str
    refused: bool = False  # the runner did not admit it
    crashed: bool = False  # the runner died under it
    moved: bool = False  # another process answers at the runner's address
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    seconds: float = 0


@dataclass(frozen=True)
class RunnerInfo:
    """One runner of the shard, as the VM list has it."""

    name: str
    leaving: bool = False
    slots: int = 0  # that it declares; 0: as its service declares
    warm: bool = False  # needs no slow start


@dataclass(frozen=True)
class ShardLoad:
    """What an owner tells gateways about its shard."""

    running: int
    waiting: int
    limit: int


@dataclass(frozen=True)
class Backlog:
    """What waits at an owner, beside what its runners have free."""

    waiting: Mapping[int, int]  # requests by tier
    oldest_s: float  # how long the first of them has waited
    running: int
    slots: int
    open_runners: int  # that may start something now


@dataclass(frozen=True)
class ShardView:
    """What a gateway last heard about a shard, and how long ago."""

    service: str
    shard: int
    running: int
    waiting: int
    limit: int
    age_s: float
