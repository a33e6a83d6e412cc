"""Generates docs/operators/METRICS.md by `-m bramleybend.metrics_page`."""

import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from bramleybend.direct.meters import COUNTERS, GAUGES, HISTOGRAMS
from bramleybend.direct.meters import PREFIX as ENTRY_PREFIX
from bramleybend.metric_types import MetricInfo, MetricType
from bramleybend.metrics import PREFIX, Metric

METRIC_USE: Final = re.compile(r'\bMetric\.([A-Z_]+)')
INTRODUCTION: Final = """# Metrics

Written by `python -m bramleybend.metrics_page`; do not edit. A test compares
this page with the code.

Metrics go to the statsd given by `--statsd`, by UDP: a statsd that is away
costs nothing, and its metrics are lost. Labels are parts of the name, in the
order shown; a label without a value reads `none`. Gauges carry the VM's name,
since each VM sets its own. "not yet" marks a name that is declared and that
no program sends so far.

Watch first: `goodput` by tier (Parwaz: bookings must not starve behind
debriefs) and `wasted_prefill_tokens` (Zvukopat: long prompts are costly to
process again). `log_errors` from all VMs means that the log is down; from one,
that this VM is cut off, which `bramleybend-ctl status` shows by name.

| Name | Type | Unit | Sent | Meaning |
|---|---|---|---|---|
"""


ENTRY_INTRODUCTION: Final = """
## bramleybend-entry

Served as text on the address of `--metrics`, and beside the readiness check.
Counters carry `_total`, histograms `_bucket`, `_sum` and `_count`. Labels:
`service`, `tier` (1 is the most important), `status` and `cause` or `fate`
(`not_run`: no runner ran it; `may_have_run`: one may have).

| Name | Labels | Meaning |
|---|---|---|
"""


def metrics_page() -> str:
    """Return the whole page."""
    sent = _names_sent()
    rows = (_row(metric.value, metric.name in sent) for metric in Metric)
    return INTRODUCTION + ''.join(rows) + ENTRY_INTRODUCTION + _entry_rows()


def _entry_rows() -> str:
    infos = {**COUNTERS, **HISTOGRAMS, **GAUGES}
    return ''.join(
        f'| `{ENTRY_PREFIX}_{name}` | {", ".join(info.labels)} '
        f'| {info.description} |\n'
        for name, info in infos.items()
    )


def _names_sent() -> frozenset[str]:
    """Return the names of metrics that any module of the package uses."""
    modules = Path(__file__).parent.rglob('*.py')
    sources = (module.read_text(encoding='utf-8') for module in modules)
    return frozenset(
        name for text in sources for name in METRIC_USE.findall(text)
    )


def _row(info: MetricInfo, is_sent: bool) -> str:
    cells = ' | '.join(_cells(info, is_sent))
    return f'| {cells} |\n'


def _cells(info: MetricInfo, is_sent: bool) -> Iterator[str]:
    scope = ['vm', '<vm>'] if info.kind is MetricType.GAUGE else []
    labels = [f'<{label}>' for label in info.labels]
    name = '.'.join([PREFIX, *scope, info.name, *labels])
    yield f'`{name}`'
    yield info.kind.value
    yield info.unit
    yield 'yes' if is_sent else 'not yet'
    yield info.meaning


if __name__ == '__main__':
    sys.stdout.write(metrics_page())
