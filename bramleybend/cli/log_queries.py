"""Queries that read collected event logs and contact no process."""

from bramleybend.cli.context import Context
from bramleybend.cli.event_logs import read_logs
from bramleybend.cli.exceptions import fail
from bramleybend.cli.output import Report, format_table
from bramleybend.errors import ErrorKind
from bramleybend.timeline.explanation import Finding, explain_request
from bramleybend.timeline.latencies import (
    TierTimes,
    collect_tier_times,
    format_durations,
    format_served_by_size,
)
from bramleybend.timeline.merge import Filter, merge, select
from bramleybend.timeline.text import render

MAX_STEP_EVENTS = 5  # events printed for one step; its text counts all of them
MAX_REASONS = 8  # reasons printed for one tier, the most frequent ones
TIMES_HEADER = (
    'tier',
    'served',
    'waited ms',
    'to first ms',
    'rest ms',
    'served by size',
)


def explain_from_logs(ctx: Context) -> Report:
    """Show the events of a request, then the steps that explain its outcome."""
    merged = merge(list(read_logs(ctx.flags.logs)))
    req = ctx.flags.request_id
    own_events = select(merged.events, Filter(req=req))
    if not own_events:
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'no line of request {req} in the logs',
            'give the logs of all VMs; see docs/OPERATIONS.md for what it '
            'means if there is none',
        )
    steps = explain_request(merged.events, own_events[0].req)
    shown = ''.join(map(_format_step, steps))
    return Report(
        f'{render(own_events)}\n{shown}',
        {'request_id': req, 'cause': [step.text for step in steps]},
    )


async def times(ctx: Context) -> Report:
    """Show the latency breakdown by tier and the reasons of unserved requests.

    Times are the 50th, 90th and 99th percentile. Shares served are those of
    all requests, of the fifth below the largest tenth, and of that tenth.
    """
    rows = collect_tier_times(merge(list(read_logs(ctx.flags.logs))).events)
    shown = format_table(TIMES_HEADER, map(_times_row, rows))
    reasons = ''.join(map(_format_unserved, rows))
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
    durations = map(format_durations, (row.waited, row.to_first, row.rest))
    return (
        row.tier,
        str(row.served),
        *durations,
        format_served_by_size(row.sizes),
    )


def _format_unserved(row: TierTimes) -> str:
    return ''.join(
        f'  tier {row.tier}: {count} of {reason}\n'
        for reason, count in row.unserved.most_common(MAX_REASONS)
    )


def _format_step(finding: Finding) -> str:
    lines = render(finding.events[:MAX_STEP_EVENTS]).splitlines()
    indented = ''.join(f'    {line}\n' for line in lines)
    return f'- {finding.text}\n{indented}'
