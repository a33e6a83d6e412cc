"""Settings of the entry VM's program."""

from dataclasses import dataclass, field
from typing import Final

from bramleybend.clients.message_bounds import (
    DEFAULT_EVENT_BYTES,
    DEFAULT_FILLER_BYTES,
    DEFAULT_MESSAGE_BYTES,
    MessageBounds,
)
from bramleybend.decisions.allotments import Tolerance
from bramleybend.decisions.overload import OverloadBounds
from bramleybend.direct.answer_memory import AnswerMemory
from bramleybend.entry_setting_types import share, tier_share, whole, yes_no
from bramleybend.settings_parsing import Program
from bramleybend.settings_types import (
    HostPort,
    about,
    amount,
    domain_name,
    host_port,
    least_level,
    own_address,
    port,
    seconds,
    text,
    vm_name,
)

# As the users' contracts have them at the time of writing; each deployment
# states its own.
DRAIN_TIMEOUT_S: Final = 8
RESEND_RATIO: Final = 0.2
RESEND_EXTRA: Final = 52
RESEND_WINDOW_S: Final = 10
ALLOTMENT_WINDOW_S: Final = 8
MIN_TIER_SHARE: Final = 0.1
STANDING_QUEUE_S: Final = 2
MEMORY_MB: Final = 300
MEGABYTE: Final = 1_000_000
ANSWERS_SHARE: Final = 0.2
# Judgement, not measured: below these a VM is spared work for others.
CAPACITY_CORES: Final = 0.25
CAPACITY_MBPS: Final = 2.5


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """What one process is told at its start."""

    settings: str = field(
        default='',
        metadata=about(
            text,
            'file with lines BRAMLEYBEND_NAME=value',
            '/etc/bramleybend/settings.conf',
        ),
    )
    vm: str = field(metadata=vm_name())
    domain: str = field(metadata=domain_name())
    address: str = field(metadata=own_address())
    front: HostPort = field(
        metadata=about(
            host_port,
            'where callers connect; the same port on every entry VM',
            '10.0.1.11:8221',
        ),
    )
    ready: HostPort = field(
        metadata=about(
            host_port, 'where the readiness check is answered', '10.0.1.11:8224'
        ),
    )
    directory: HostPort = field(
        metadata=about(
            host_port, 'where callers ask for addresses', '10.0.1.11:8220'
        ),
    )
    metrics: HostPort | None = field(
        default=None,
        metadata=about(
            host_port,
            'where metrics are served, under /metrics; they are also '
            'served beside the readiness check',
            '10.0.1.11:9464',
        ),
    )
    peer_port: int = field(
        metadata=about(
            port, 'UDP port between entry VMs; the same on every one', '7600'
        ),
    )
    seeds: str = field(
        default='',
        metadata=about(
            text,
            'host:port of other entry VMs, joined by commas; the '
            'ports are left out of account',
            '10.0.1.11:8229,10.0.2.11:8229',
        ),
    )
    store: HostPort = field(
        metadata=about(
            host_port,
            "address of the platform's metadata store",
            '10.200.1.7:8225',
        ),
    )
    drain_timeout_s: float = field(
        default=DRAIN_TIMEOUT_S,
        metadata=about(
            seconds,
            'seconds from the signal to stop until the process is '
            'killed; it ends with the last request in flight',
            '8',
        ),
    )
    resend_ratio: float = field(
        default=RESEND_RATIO,
        metadata=about(
            amount,
            'requests sent to a second runner, for each request, over all VMs',
            '0.2',
        ),
    )
    resend_extra: float = field(
        default=RESEND_EXTRA,
        metadata=about(
            amount,
            'requests sent to a second runner beyond the ratio in a '
            'window, over all VMs',
            '52',
        ),
    )
    resend_window_s: float = field(
        default=RESEND_WINDOW_S,
        metadata=about(seconds, 'seconds of that window', '10'),
    )
    allotment_window_s: float = field(
        default=ALLOTMENT_WINDOW_S,
        metadata=about(
            seconds,
            'seconds of the window in which the tolerance of '
            "workspaces' allotments counts",
            '8',
        ),
    )
    allotment_overage: float = field(
        default=0,
        metadata=about(
            amount,
            'part of an allotment that may go beyond it in a window, '
            'over all VMs',
            '0.1',
        ),
    )
    allotment_slack: float = field(
        default=0,
        metadata=about(
            amount,
            'units (tokens or requests) that may go beyond an '
            'allotment in a window, over all VMs',
            '190000',
        ),
    )
    min_tier_share: float = field(
        default=MIN_TIER_SHARE,
        metadata=about(
            tier_share,
            'share of the starts that each tier which waits gets at least; '
            'above it, higher tiers go first',
            '0.1',
        ),
    )
    standing_queue_s: float = field(
        default=STANDING_QUEUE_S,
        metadata=about(
            seconds,
            'seconds for which requests of a tier may keep getting late; '
            'after that, late ones are refused while others can be on time',
            '2',
        ),
    )
    answer_bytes: int = field(
        default=DEFAULT_MESSAGE_BYTES,
        metadata=about(
            whole,
            'bytes of a runner that are read of one answer at most; each '
            'chunk and event counts as 128 more',
            '8388608',
        ),
    )
    event_bytes: int = field(
        default=DEFAULT_EVENT_BYTES,
        metadata=about(
            whole,
            'bytes that one event of a stream may have',
            '1048576',
        ),
    )
    filler_bytes: int = field(
        default=DEFAULT_FILLER_BYTES,
        metadata=about(
            whole,
            'bytes of an answer that may carry nothing (informational heads, '
            'comments, chunk extensions), beyond as many as carry something',
            '65536',
        ),
    )
    memory_mb: int = field(
        default=MEMORY_MB,
        metadata=about(
            whole, 'memory that this process may take, in MB', '300'
        ),
    )
    answers_share: float = field(
        default=ANSWERS_SHARE,
        metadata=about(
            share,
            'share of that memory that answers which are being read may take',
            '0.2',
        ),
    )
    first_start: bool = field(
        default=False,
        metadata=about(
            yes_no,
            'whether the whole system starts for the first time; else '
            'workspaces may owe what was let in before, and their bursts '
            'are taken for spent until another VM tells',
            'false',
        ),
    )
    core_share: float = field(
        default=1,
        metadata=about(
            amount,
            'share of a core that this VM has; work for all VMs goes to '
            'those that have most',
            '0.54',
        ),
    )
    core_speed: float = field(
        default=1,
        metadata=about(
            amount, 'how many times as fast as usual that core is', '2'
        ),
    )
    link_mbps: float = field(
        default=1000,
        metadata=about(
            amount,
            "bandwidth of this VM's link, in Mbit/s; work for all VMs goes "
            'to those with most',
            '1000',
        ),
    )
    log_level: str = field(default='INFO', metadata=least_level())

    def capacity(self) -> int:
        """Return how much this VM can carry, in powers of two.

        Levels, as two VMs that differ by little are to rank by the hash:
        else one of them would carry the work of all services.
        """
        cores = self.core_share * self.core_speed
        least = min(cores / CAPACITY_CORES, self.link_mbps / CAPACITY_MBPS)
        return max(int(least), 1).bit_length()

    def seed_addresses(self) -> list[str]:
        """Return the addresses of other entry VMs, without our own."""
        hosts = [part.rpartition(':')[0] for part in self.seeds.split(',')]
        return [host for host in hosts if host and host != self.address]

    def allotment_tolerance(self) -> Tolerance:
        """Return what may go beyond an allotment."""
        return Tolerance(
            self.allotment_window_s,
            self.allotment_overage,
            self.allotment_slack,
        )

    def overload(self) -> OverloadBounds:
        """Return what holds while there is more work than capacity."""
        return OverloadBounds(self.min_tier_share, self.standing_queue_s)

    def answer_bounds(self) -> MessageBounds:
        """Return the most that is read of one answer."""
        return MessageBounds(
            self.answer_bytes, self.event_bytes, self.filler_bytes
        )

    def answer_memory(self) -> AnswerMemory:
        """Return the memory for answers that are being read."""
        return AnswerMemory(self.memory_mb * MEGABYTE * self.answers_share)

    def shown(self) -> dict[str, str]:
        """Return what the log tells of them at the start."""
        return {
            'at': f'{self.front.host}:{self.front.port}',
            'store': f'{self.store.host}:{self.store.port}',
            'domain': self.domain,
            'seeds': self.seeds,
        }


ENTRY: Final = Program('bramleybend-entry', EntrySettings, bounded_log=True)
