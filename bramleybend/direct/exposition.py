"""Writes metrics in the Prometheus text format."""

from collections.abc import Iterator
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from bramleybend.direct.meters import (
    BUCKET_BOUNDS_S,
    COUNTERS,
    GAUGES,
    HISTOGRAMS,
    PREFIX,
    HistogramSeries,
    Meters,
)


class _MeterCollector(Collector):
    """Converts a process's metrics to the library's metric families."""

    def __init__(self, meters: Meters) -> None:
        self._meters = meters

    def collect(self) -> Iterator[Metric]:
        yield from self._counters()
        yield from self._histograms()
        for name, info in GAUGES.items():
            gauge_reading = self._meters.gauges[name]()
            yield GaugeMetricFamily(
                _full_name(name), info.description, gauge_reading
            )

    def _counters(self) -> Iterator[Metric]:
        for name, info in COUNTERS.items():
            family = CounterMetricFamily(
                _full_name(name), info.description, labels=info.labels
            )
            for labels, count in self._meters.counters[name].items():
                family.add_metric(labels, count)
            yield family

    def _histograms(self) -> Iterator[Metric]:
        for name, info in HISTOGRAMS.items():
            family = HistogramMetricFamily(
                _full_name(name), info.description, labels=info.labels
            )
            for labels, series in self._meters.histograms[name].items():
                family.add_metric(
                    labels, _cumulative_buckets(series), series.total
                )
            yield family


def render_metrics(meters: Meters) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_MeterCollector(meters))
    return generate_latest(registry)


def _full_name(name: str) -> str:
    return f'{PREFIX}_{name}'


def _cumulative_buckets(series: HistogramSeries) -> list[tuple[str, float]]:
    bounds = [str(float(bound)) for bound in BUCKET_BOUNDS_S]
    counts = accumulate(series.counts)
    return list(zip([*bounds, '+Inf'], counts, strict=True))
