"""Queries that read collected logs and ask no process."""

from bramleybend.cli.context import Context
from bramleybend.cli.event_logs import read_logs
from bramleybend.cli.exceptions import fail
from bramleybend.cli.output import Report, table
from bramleybend.errors import ErrorKind
from bramleybend.timeline.cause import Finding, explain_request
from bramleybend.timeline.merge import Filter, merge, select
from bramleybend.timeline.text import render
from bramleybend.timeline.times import (
    TierTimes,
    format_served_by_size,
    format_durations,
    collect_tier_times,
)

MOST_SHOWN = 5  # events of one step; the count in its text is of all
MOST_REASONS = 8  # of a tier, the most frequent first
TIMES_HEADER = (
    'tier',
    'served',
    'waited ms',
    'to first ms',
    'rest ms',
    'served by size',
)


def explain_from_logs(ctx: Context) -> Report:
    """Show a request's lines, then the steps to its cause."""
    merged = merge(list(read_logs(ctx.flags.logs)))
    req = ctx.flags.request_id
    own = select(merged.events, Filter(req=req))
    if not own:
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'no line of request {req} in the logs',
            'give the logs of all VMs; see docs/OPERATIONS.md for what it '
            'means if there is none',
        )
    steps = explain_request(merged.events, own[0].req)
    shown = ''.join(map(_step, steps))
    return Report(
        f'{render(own)}\n{shown}',
        {'request_id': req, 'cause': [step.text for step in steps]},
    )


async def times(ctx: Context) -> Report:
    """Show by tier where the time of requests went, and what was not served.

    Times are the median, nine of ten and ninety-nine of a hundred; the
    shares served are of all, of the fifth below the largest tenth, and of
    that tenth.
    """
    rows = collect_tier_times(merge(list(read_logs(ctx.flags.logs))).events)
    shown = table(TIMES_HEADER, map(_times_row, rows))
    reasons = ''.join(map(_unserved, rows))
    return Report(
        f'{shown}\nnot served:\n{reasons}',
        [
            {
                'tier': row.tier,
                'served': row.served,
                'waited_ms': row.waited.values,
                'to_first_ms': row.to_first.values,
                'rest_ms': row.rest.values,
                'work_and_served': row.sizes.values,
                'unserved': row.unserved,
            }
            for row in rows
        ],
    )


def _times_row(row: TierTimes) -> tuple[str, ...]:
    spans = map(format_durations, (row.waited, row.to_first, row.rest))
    return (row.tier, str(row.served), *spans, format_served_by_size(row.sizes))


def _unserved(row: TierTimes) -> str:
    return ''.join(
        f'  tier {row.tier}: {count} of {reason}\n'
        for reason, count in row.unserved.most_common(MOST_REASONS)
    )


def _step(finding: Finding) -> str:
    lines = render(finding.events[:MOST_SHOWN]).splitlines()
    indented = ''.join(f'    {line}\n' for line in lines)
    return f'- {finding.text}\n{indented}'
