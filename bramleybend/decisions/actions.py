"""Inputs and outputs of the decisions, as plain data.

A scheduler task reports them to a `ShardPolicy` and carries out the actions
that it returns; a gateway passes `ShardView`s to `rank_shards`.
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
    """The request gets no slot, and was not sent to a runner."""

    request_id: str
    reason: str
    retry_after: timedelta
    # Refused for lack of capacity: it may be shed only under a permit of the
    # tier floor.
    shed: bool


@dataclass(frozen=True)
class Preempt:
    """Cancel this run: a waiting request of a higher tier needs its slot."""

    request_id: str
    for_tier: Tier


Action = Grant | Refuse | Preempt


@dataclass(frozen=True)
class RunReport:
    """How a granted run ended, as reported by the gateway that streamed it."""

    outcome: str
    refused: bool = False  # the runner rejected the request
    crashed: bool = False  # the runner crashed during the run
    moved: bool = False  # another process answers at the runner's address
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    seconds: float = 0


@dataclass(frozen=True)
class RunnerInfo:
    """One runner of the shard, as the VM list describes it."""

    name: str
    leaving: bool = False
    slots: int = 0  # declared by the runner; 0: the service's default
    warm: bool = False  # skips slow start


@dataclass(frozen=True)
class ShardLoad:
    """An owner's load report to gateways about its shard."""

    running: int
    waiting: int
    limit: int


@dataclass(frozen=True)
class Backlog:
    """The waiting requests of an owner and the free capacity of its runners."""

    waiting: Mapping[int, int]  # number of requests, by tier
    oldest_wait_s: float  # wait of the oldest request
    running: int
    slots: int
    free_runners: int  # runners that may start a request now


@dataclass(frozen=True)
class ShardView:
    """A shard's last load report at a gateway, and its age."""

    service: str
    shard: int
    running: int
    waiting: int
    limit: int
    age_s: float
