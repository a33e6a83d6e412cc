"""What callers, runners and the operator saw, for the checks."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final


class Work(StrEnum):
    """Kinds of request, by their path."""

    READ = '/read/'  # may run again
    BOOK = '/book/'  # once at most
    DRAFT = '/draft/'  # a stream, once at most
    CHECK = '/check/'  # a stream that may be resumed
    ADDED = '/added'  # a route that a later version added


@dataclass(frozen=True)
class Contract:
    """What a deployment is promised, and on which links."""

    link_mbps: float  # each VM's own
    in_force_s: float  # a change, after it was accepted
    drain_s: float  # a leaving runner gets nothing new after that
    # Promises in time hold for VMs that nothing was done to for so long.
    stable_s: float


# As the users' pages state them: six VMs on wide links, and dozens of which
# most have 5 Mbit/s.
SMALL: Final = Contract(1000, 2.0, 2.0, 3.0)
GROWN: Final = Contract(5, 3.0, 3.0, 4.0)


@dataclass
class Sent:
    """One request of a caller and what came back."""

    attempt: str
    work: Work
    vm: str
    key: str
    at: float  # monotonic seconds
    version: int = 0  # that brought its route, where it was added
    status: int = 0  # none yet, or the connection broke
    body: bytes = b''
    whole: bool = False
    answered_at: float = 0


@dataclass(frozen=True)
class Ran:
    """One request that reached a runner."""

    attempt: str
    runner: str
    workspace: str
    at: float


@dataclass
class Span:
    """A time in which something was done to a VM, or to the store."""

    start: float
    end: float = float('inf')


@dataclass
class Ledger:
    """All of one run."""

    contract: Contract = SMALL
    sent: dict[str, Sent] = field(default_factory=dict)  # by attempt
    ran: list[Ran] = field(default_factory=list)
    # When each version was accepted by the store.
    versions: dict[int, float] = field(default_factory=dict)
    revoked: dict[str, float] = field(default_factory=dict)  # key to time
    leaving: dict[str, float] = field(default_factory=dict)  # runner to time
    spans: dict[str, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )  # of VMs, by name; of the store under ''
    ended: list[str] = field(default_factory=list)  # VMs, without a signal
    late_vms: list[str] = field(default_factory=list)  # silent at the end

    def begin(self, name: str, at: float) -> Span:
        """Note that something is done to a VM or to the store."""
        span = Span(at)
        self.spans[name].append(span)
        return span
