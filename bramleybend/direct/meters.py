"""Counters and latency histograms of an entry VM, as text for a scraper.

Labels come from what operators declare, so their number stays bounded.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

PREFIX: Final = 'bramleybend'
# Seconds; the objectives of today's callers lie between 0.2 and 0.8, their
# patience between 1 and 8.
BUCKETS: Final = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8)

GAUGES: Final = MappingProxyType(
    {
        'manifest_age_seconds': 'Seconds for which a newer manifest may have '
        'been missed.',
        'manifest_version': 'Version of the manifest in force; 0 before the '
        'first.',
        'runners': 'Runners known, leaving ones included.',
        'peers_alive': 'Other entry VMs heard within the last heartbeats.',
        'in_flight': 'Connections of callers with a request on them.',
    }
)


class Meters:
    """All meters of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.registry = CollectorRegistry()
        self.answers = Counter(
            'answers',
            'Requests answered, by service, tier, status and cause.',
            ('service', 'tier', 'status', 'cause'),
            namespace=PREFIX,
            registry=self.registry,
        )
        self.denied = Counter(
            'denied',
            'Requests turned away before a service was chosen, by status.',
            ('status',),
            namespace=PREFIX,
            registry=self.registry,
        )
        self.tries_failed = Counter(
            'tries_failed',
            'Sends to a runner without an answer, by service and fate.',
            ('service', 'fate'),
            namespace=PREFIX,
            registry=self.registry,
        )
        self.answer_seconds = self._histogram(
            'answer_seconds',
            'Seconds from a request to the end of its answer.',
        )
        self.first_event_seconds = self._histogram(
            'first_event_seconds',
            'Seconds from a request to the first event of its stream.',
        )
        self.queue_seconds = self._histogram(
            'queue_seconds',
            'Seconds from a request to its slot at a runner.',
        )

    def read_gauges(self, readings: Mapping[str, Callable[[], float]]) -> None:
        """Read each of `GAUGES` when it is asked for."""
        for name, meaning in GAUGES.items():
            gauge = Gauge(
                name, meaning, namespace=PREFIX, registry=self.registry
            )
            gauge.set_function(readings[name])

    def text(self) -> bytes:
        """Return all meters in the text form of their library."""
        return generate_latest(self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name,
            text,
            ('service', 'tier'),
            namespace=PREFIX,
            registry=self.registry,
            buckets=BUCKETS,
        )


def meters_of_an_entry_vm() -> Mapping[str, str]:
    """Return every meter's name and meaning, for the operators' page."""
    families = {
        family.name: family.documentation
        for family in Meters().registry.collect()
    }
    gauges = {f'{PREFIX}_{name}': text for name, text in GAUGES.items()}
    return families | gauges
