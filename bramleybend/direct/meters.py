"""Counters, gauges and latency histograms of an entry VM.

They are kept as plain numbers, because the library that writes them takes 0.07
s of processor time to import, on the path of a start of 0.42 to 0.5 s, for
which callers wait after every power loss. `exposition` imports the library when
metrics are first requested.

Label values come from the published configuration, so their number is bounded.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final, TypeAlias

PREFIX: Final = 'bramleybend'
# Seconds. The latency objectives of callers lie between 0.2 and 0.8 s, their
# timeouts between 1 and 8 s.
BUCKET_BOUNDS_S: Final = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8)

Labels: TypeAlias = tuple[str, ...]


@dataclass(frozen=True)
class MeterInfo:
    """The description and label names of a metric."""

    description: str
    labels: Labels


COUNTERS: Final = MappingProxyType(
    {
        'answers': MeterInfo(
            'Requests answered.', ('service', 'tier', 'status', 'cause')
        ),
        'callers_left': MeterInfo(
            'Callers that left before their answer.', ('service', 'stage')
        ),
        'denied': MeterInfo(
            'Requests turned away before a service was chosen.', ('status',)
        ),
        'tunnels_opened': MeterInfo(
            'Connections to runners opened through another entry VM.',
            ('service',),
        ),
        'tries_failed': MeterInfo(
            'Sends to a runner that brought no answer.', ('service', 'fate')
        ),
    }
)
HISTOGRAMS: Final = MappingProxyType(
    {
        'answer_seconds': MeterInfo(
            'Seconds from a request to the end of its answer.',
            ('service', 'tier'),
        ),
        'first_event_seconds': MeterInfo(
            'Seconds from a request to the first event of its stream.',
            ('service', 'tier'),
        ),
        'queue_seconds': MeterInfo(
            'Seconds from a request to its slot at a runner.',
            ('service', 'tier'),
        ),
    }
)
GAUGES: Final = MappingProxyType(
    {
        'manifest_age_seconds': MeterInfo(
            'Seconds for which a newer manifest may have been missed.', ()
        ),
        'manifest_version': MeterInfo(
            'Version of the manifest in force; 0 before the first.', ()
        ),
        'runners': MeterInfo('Runners known, leaving ones included.', ()),
        'peers_alive': MeterInfo(
            'Other entry VMs heard within the last heartbeats.', ()
        ),
        'tunnels_served': MeterInfo(
            'Connections to runners kept open for other entry VMs.', ()
        ),
        'services_unreached': MeterInfo(
            'Services whose runners this VM reaches only through others.', ()
        ),
        'peer_messages': MeterInfo(
            'Messages sent to other entry VMs since the start.', ()
        ),
        'peer_bytes': MeterInfo(
            'Bytes sent to other entry VMs since the start.', ()
        ),
        'in_flight': MeterInfo(
            'Connections of callers with a request on them.', ()
        ),
    }
)


@dataclass
class HistogramSeries:
    """A histogram's observations for one set of label values."""

    counts: list[int] = field(
        default_factory=lambda: [0 for _ in (*BUCKET_BOUNDS_S, 0)]
    )
    total: float = 0


class Meters:
    """All metrics of one process."""

    def __init__(self, gauges: Mapping[str, Callable[[], float]]) -> None:
        """Create metrics at zero; gauges are read when they are scraped."""
        self.gauges = gauges
        self.counters: dict[str, Counter[Labels]] = {
            name: Counter() for name in COUNTERS
        }
        self.histograms: dict[str, dict[Labels, HistogramSeries]] = {
            name: {} for name in HISTOGRAMS
        }

    def count(self, name: str, *labels: str | int) -> None:
        """Add one to a counter."""
        self.counters[name][tuple(map(str, labels))] += 1

    def observe(self, name: str, seconds: float, *labels: str | int) -> None:
        """Add an observation to a histogram."""
        key = tuple(map(str, labels))
        series = self.histograms[name].setdefault(key, HistogramSeries())
        series.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        series.total += seconds
