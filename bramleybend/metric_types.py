"""Definitions of metrics: kind, unit, meaning and labels."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TypedDict


class MetricType(StrEnum):
    """The statsd type of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMER = 'timer'


@dataclass(frozen=True)
class MetricInfo:
    """Definition of a metric, as the operators' page shows it."""

    name: str
    kind: MetricType
    unit: str
    meaning: str
    labels: tuple[str, ...] = ()


def counter(name: str, unit: str, meaning: str, *labels: str) -> MetricInfo:
    """Define a counter."""
    return MetricInfo(name, MetricType.COUNTER, unit, meaning, labels)


def gauge(name: str, unit: str, meaning: str, *labels: str) -> MetricInfo:
    """Define a gauge."""
    return MetricInfo(name, MetricType.GAUGE, unit, meaning, labels)


def timer(name: str, meaning: str, *labels: str) -> MetricInfo:
    """Define a timer in milliseconds."""
    return MetricInfo(name, MetricType.TIMER, 'ms', meaning, labels)


class Labels(TypedDict, total=False):
    """Every label; the type checker rejects any other."""

    tier: int
    outcome: str
    reason: str
    service: str
    stream: str
    kind: str
