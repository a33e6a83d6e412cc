"""Records of what callers, runners and the operator saw in one run."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final


class RequestKind(StrEnum):
    """Kinds of requests; the value is the start of their path."""

    READ = '/read/'  # idempotent
    BOOK = '/book/'  # at most once
    DRAFT = '/draft/'  # a stream, at most once
    CHECK = '/check/'  # a resumable stream
    ADDED = '/added'  # a route added by a later manifest version


@dataclass(frozen=True)
class Contract:
    """The documented limits of a deployment and the link of its VMs."""

    link_mbps: float  # of each VM
    max_change_s: float  # from acceptance of a change until it is in effect
    max_drain_s: float  # until a leaving runner gets no new requests
    # Time limits hold for VMs without faults for this long.
    min_calm_s: float


# As documented for users: six VMs on fast links, and dozens of VMs, most of
# which have links of 5 Mbit/s.
SMALL_DEPLOYMENT: Final = Contract(1000, 2.0, 2.0, 3.0)
LARGE_DEPLOYMENT: Final = Contract(5, 3.0, 3.0, 4.0)


@dataclass
class SentRequest:
    """One request of a caller and its answer."""

    attempt: str
    kind: RequestKind
    vm: str
    key: str
    sent_at: float  # monotonic seconds
    version: int = 0  # that added its route; 0 for other kinds
    status: int = 0  # 0: no answer yet, or the connection broke
    body: bytes = b''
    is_whole: bool = False
    answered_at: float = 0


@dataclass(frozen=True)
class RunnerRequest:
    """One request that a runner received."""

    attempt: str
    runner: str
    workspace: str
    received_at: float


@dataclass
class FaultSpan:
    """The time span of a fault of a VM or the store, monotonic seconds."""

    start: float
    end: float = float('inf')


@dataclass
class Ledger:
    """All records of one run; times are monotonic seconds."""

    contract: Contract = SMALL_DEPLOYMENT
    # By attempt id.
    sent_requests: dict[str, SentRequest] = field(default_factory=dict)
    runner_requests: list[RunnerRequest] = field(default_factory=list)
    # Manifest version to the time at which the store accepted it.
    accepted_at: dict[int, float] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)  # by key
    leaving_at: dict[str, float] = field(default_factory=dict)  # by runner
    # By VM name; those of the store under ''.
    fault_spans: dict[str, list[FaultSpan]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # VMs whose process exited without a signal.
    exited_vms: list[str] = field(default_factory=list)
    # VMs that serve no requests at the end of the run.
    unserving_vms: list[str] = field(default_factory=list)

    def begin_fault(self, name: str, started_at: float) -> FaultSpan:
        """Record the start of a fault of a VM, or of the store (name '')."""
        fault_span = FaultSpan(started_at)
        self.fault_spans[name].append(fault_span)
        return fault_span
