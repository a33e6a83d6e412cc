"""What a metric is: its kind, unit, meaning and labels."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TypedDict


class MetricType(StrEnum):
    """How statsd treats a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMER = 'timer'


@dataclass(frozen=True)
class MetricInfo:
    """What an operator must know to read a metric."""

    name: str
    kind: MetricType
    unit: str
    meaning: str
    labels: tuple[str, ...] = ()


def counter(name: str, unit: str, meaning: str, *labels: str) -> MetricInfo:
    """Describe what is added up."""
    return MetricInfo(name, MetricType.COUNTER, unit, meaning, labels)


def gauge(name: str, unit: str, meaning: str, *labels: str) -> MetricInfo:
    """Describe a level."""
    return MetricInfo(name, MetricType.GAUGE, unit, meaning, labels)


def timer(name: str, meaning: str, *labels: str) -> MetricInfo:
    """Describe a duration."""
    return MetricInfo(name, MetricType.TIMER, 'ms', meaning, labels)


class Labels(TypedDict, total=False):
    """Every label; the type check refuses any other."""

    tier: int
    outcome: str
    reason: str
    service: str
    stream: str
    kind: str
