"""Writes docs/operators/METRICS.md: `python -m bramleybend.metrics_page`."""

import sys
from collections.abc import Iterator
from typing import Final

from bramleybend.metric_types import MetricInfo, MetricType
from bramleybend.metrics import PREFIX, Metric

INTRODUCTION: Final = """# Metrics

Written by `python -m bramleybend.metrics_page`; do not edit. A test compares
this page with the code.

Metrics go to the statsd given by `--statsd`, by UDP: a statsd that is away
costs nothing, and its metrics are lost. Labels are parts of the name, in the
order shown; a label without a value reads `none`. Gauges carry the VM's name,
since each VM sets its own. A name stands here as soon as the code declares
it; that a program sends it is for that program's tests to show.

Watch first: `goodput` by tier (Parwaz: bookings must not starve behind
debriefs) and `wasted_prefill_tokens` (Zvukopat: long prompts are costly to
process again). `terms_age_s` that grows on one VM means that it is cut off;
`log_errors` on all of them means that the log is down.

| Name | Type | Unit | Meaning |
|---|---|---|---|
"""


def metrics_page() -> str:
    """Return the whole page."""
    return INTRODUCTION + ''.join(_row(metric.value) for metric in Metric)


def _row(info: MetricInfo) -> str:
    cells = ' | '.join(_cells(info))
    return f'| {cells} |\n'


def _cells(info: MetricInfo) -> Iterator[str]:
    scope = ['vm', '<vm>'] if info.kind is MetricType.GAUGE else []
    labels = [f'<{label}>' for label in info.labels]
    name = '.'.join([PREFIX, *scope, info.name, *labels])
    yield f'`{name}`'
    yield info.kind.value
    yield info.unit
    yield info.meaning


if __name__ == '__main__':
    sys.stdout.write(metrics_page())
