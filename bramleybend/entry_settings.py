"""Settings of `bramleybend-entry`, the program of an entry VM."""

from dataclasses import dataclass, field
from typing import Final

from result import Result

from bramleybend.clients.message_bounds import (
    DEFAULT_EVENT_BYTES,
    DEFAULT_FILLER_BYTES,
    DEFAULT_MESSAGE_BYTES,
    MessageBounds,
)
from bramleybend.decisions.allotment_models import Tolerance
from bramleybend.decisions.overload import OverloadBounds
from bramleybend.decisions.resends import ResendBudget, ResendLimits
from bramleybend.direct.message_memory import MessageMemory
from bramleybend.entry_setting_parsers import (
    parse_bool,
    parse_positive_int,
    parse_share,
    parse_tier_share,
)
from bramleybend.errors import Problem
from bramleybend.identity import Identity, make_identity
from bramleybend.setting_parsers import (
    HostPort,
    address_metadata,
    domain_metadata,
    log_level_metadata,
    parse_amount,
    parse_host_port,
    parse_port,
    parse_seconds,
    parse_text,
    setting_metadata,
    vm_name_metadata,
)
from bramleybend.settings_parsing import (
    FILE_FIELD,
    Program,
    parse_program,
    variable_of,
)

# Defaults taken from the users' contracts; each deployment sets its own.
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
REQUESTS_SHARE: Final = 0.2
# One unit of capacity. VMs with less than two units have the lowest level and
# are the last to get work that one VM does for all.
CAPACITY_CORES: Final = 0.25
CAPACITY_MBPS: Final = 2.5


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """The settings of one process, read at its start."""

    settings: str = field(
        default='',
        metadata=setting_metadata(
            parse_text,
            'file with lines BRAMLEYBEND_NAME=value',
            '/etc/bramleybend/settings.conf',
        ),
    )
    vm: str = field(metadata=vm_name_metadata())
    domain: str = field(metadata=domain_metadata())
    address: str = field(metadata=address_metadata())
    front: HostPort = field(
        metadata=setting_metadata(
            parse_host_port,
            'where callers connect; the same port on every entry VM',
            '10.0.1.11:8221',
        ),
    )
    ready: HostPort = field(
        metadata=setting_metadata(
            parse_host_port,
            'where the readiness check is answered',
            '10.0.1.11:8224',
        ),
    )
    directory: HostPort = field(
        metadata=setting_metadata(
            parse_host_port, 'where callers ask for addresses', '10.0.1.11:8220'
        ),
    )
    metrics: HostPort | None = field(
        default=None,
        metadata=setting_metadata(
            parse_host_port,
            'where metrics are served, under /metrics; they are also '
            'served beside the readiness check',
            '10.0.1.11:9464',
        ),
    )
    peer_port: int = field(
        metadata=setting_metadata(
            parse_port,
            'UDP port between entry VMs; the same on every one',
            '7600',
        ),
    )
    seeds: str = field(
        default='',
        metadata=setting_metadata(
            parse_text,
            'host:port of other entry VMs, joined by commas; the '
            'ports are left out of account',
            '10.0.1.11:8229,10.0.2.11:8229',
        ),
    )
    store: HostPort = field(
        metadata=setting_metadata(
            parse_host_port,
            "address of the platform's metadata store",
            '10.200.1.7:8225',
        ),
    )
    drain_timeout_s: float = field(
        default=DRAIN_TIMEOUT_S,
        metadata=setting_metadata(
            parse_seconds,
            'seconds from the signal to stop until the process is '
            'killed; it ends with the last request in flight',
            '8',
        ),
    )
    resend_ratio: float = field(
        default=RESEND_RATIO,
        metadata=setting_metadata(
            parse_amount,
            'requests sent to a second runner, for each request, over all VMs',
            '0.2',
        ),
    )
    resend_extra: float = field(
        default=RESEND_EXTRA,
        metadata=setting_metadata(
            parse_amount,
            'requests sent to a second runner beyond the ratio in a '
            'window, over all VMs',
            '52',
        ),
    )
    resend_window_s: float = field(
        default=RESEND_WINDOW_S,
        metadata=setting_metadata(
            parse_seconds, 'seconds of that window', '10'
        ),
    )
    allotment_window_s: float = field(
        default=ALLOTMENT_WINDOW_S,
        metadata=setting_metadata(
            parse_seconds,
            'seconds of the window in which the tolerance of '
            "workspaces' allotments counts",
            '8',
        ),
    )
    allotment_overage: float = field(
        default=0,
        metadata=setting_metadata(
            parse_amount,
            'part of an allotment that may go beyond it in a window, '
            'over all VMs',
            '0.1',
        ),
    )
    allotment_slack: float = field(
        default=0,
        metadata=setting_metadata(
            parse_amount,
            'units (tokens or requests) that may go beyond an '
            'allotment in a window, over all VMs',
            '190000',
        ),
    )
    min_tier_share: float = field(
        default=MIN_TIER_SHARE,
        metadata=setting_metadata(
            parse_tier_share,
            'share of the starts that each tier which waits gets at least; '
            'above it, higher tiers go first',
            '0.1',
        ),
    )
    standing_queue_s: float = field(
        default=STANDING_QUEUE_S,
        metadata=setting_metadata(
            parse_seconds,
            'seconds for which requests of a tier may keep getting late; '
            'after that, late ones are refused while others can be on time',
            '2',
        ),
    )
    answer_bytes: int = field(
        default=DEFAULT_MESSAGE_BYTES,
        metadata=setting_metadata(
            parse_positive_int,
            'bytes of a runner that are read of one answer at most; each '
            'chunk and event counts as 128 more',
            '8388608',
        ),
    )
    event_bytes: int = field(
        default=DEFAULT_EVENT_BYTES,
        metadata=setting_metadata(
            parse_positive_int,
            'bytes that one event of a stream may have',
            '1048576',
        ),
    )
    filler_bytes: int = field(
        default=DEFAULT_FILLER_BYTES,
        metadata=setting_metadata(
            parse_positive_int,
            'bytes of an answer that may carry nothing (informational heads, '
            'comments, chunk extensions), beyond as many as carry something',
            '65536',
        ),
    )
    memory_mb: int = field(
        default=MEMORY_MB,
        metadata=setting_metadata(
            parse_positive_int,
            'memory that this process may take, in MB',
            '300',
        ),
    )
    requests_share: float = field(
        default=REQUESTS_SHARE,
        metadata=setting_metadata(
            parse_share,
            'share of that memory that the bodies of requests in progress may '
            'take',
            '0.2',
        ),
    )
    answers_share: float = field(
        default=ANSWERS_SHARE,
        metadata=setting_metadata(
            parse_share,
            'share of that memory that answers which are being read may take',
            '0.2',
        ),
    )
    first_start: bool = field(
        default=False,
        metadata=setting_metadata(
            parse_bool,
            'whether the whole system starts for the first time; else '
            'workspaces may owe what was let in before, and their bursts '
            'are taken for spent until another VM tells',
            'false',
        ),
    )
    core_share: float = field(
        default=1,
        metadata=setting_metadata(
            parse_amount,
            'share of a core that this VM has; work for all VMs goes to '
            'those that have most',
            '0.54',
        ),
    )
    core_speed: float = field(
        default=1,
        metadata=setting_metadata(
            parse_amount, 'how many times as fast as usual that core is', '2'
        ),
    )
    link_mbps: float = field(
        default=1000,
        metadata=setting_metadata(
            parse_amount,
            "bandwidth of this VM's link, in Mbit/s; work for all VMs goes "
            'to those with most',
            '1000',
        ),
    )
    log_level: str = field(default='INFO', metadata=log_level_metadata())

    def capacity_level(self) -> int:
        """Return the capacity of this VM, as a level on a log2 scale.

        VMs of similar capacity get the same level and are then ranked by
        hash; otherwise the slightly larger VM would carry the work of all
        services.
        """
        cores = self.core_share * self.core_speed
        units = min(cores / CAPACITY_CORES, self.link_mbps / CAPACITY_MBPS)
        return max(int(units), 1).bit_length()

    def seed_addresses(self) -> list[str]:
        """Return the hosts of the seeds, without this VM's own address."""
        hosts = [part.rpartition(':')[0] for part in self.seeds.split(',')]
        return [host for host in hosts if host and host != self.address]

    def allotment_tolerance(self) -> Tolerance:
        """Return how far a workspace may exceed its allotment."""
        return Tolerance(
            self.allotment_window_s,
            self.allotment_overage,
            self.allotment_slack,
        )

    def resend_budget(self) -> ResendBudget:
        """Return an unused budget of requests sent to a second runner."""
        return ResendBudget(
            ResendLimits(
                self.resend_ratio, self.resend_extra, self.resend_window_s
            )
        )

    def overload(self) -> OverloadBounds:
        """Return the settings that apply under overload."""
        return OverloadBounds(self.min_tier_share, self.standing_queue_s)

    def answer_bounds(self) -> MessageBounds:
        """Return the limits on the bytes read of one answer."""
        return MessageBounds(
            self.answer_bytes, self.event_bytes, self.filler_bytes
        )

    def answer_memory(self) -> MessageMemory:
        """Return the memory budget for answers that are being read."""
        return MessageMemory(self.memory_mb * MEGABYTE * self.answers_share)

    def request_memory(self) -> MessageMemory:
        """Return the memory budget for the bodies of requests."""
        return MessageMemory(self.memory_mb * MEGABYTE * self.requests_share)

    def make_identity(self) -> Identity:
        """Make the identity of a start of this VM."""
        return make_identity(self.vm, self.domain, self.address)

    def read_again(self) -> Result['EntrySettings', Problem]:
        """Return the settings that the settings file holds now."""
        variables = {variable_of(FILE_FIELD): self.settings}
        return parse_program(ENTRY_PROGRAM, (), variables)

    def logged_fields(self) -> dict[str, str]:
        """Return the settings that the `started` event shows."""
        return {
            'at': f'{self.front.host}:{self.front.port}',
            'store': f'{self.store.host}:{self.store.port}',
            'domain': self.domain,
            'seeds': self.seeds,
        }


ENTRY_PROGRAM: Final = Program(
    'bramleybend-entry', EntrySettings, bounded_log=True
)
