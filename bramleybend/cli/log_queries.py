"""Queries that read collected logs and ask no process."""

from bramleybend.cli.context import Context
from bramleybend.cli.event_logs import read_logs
from bramleybend.cli.exceptions import fail
from bramleybend.cli.output import Report
from bramleybend.errors import ErrorKind
from bramleybend.timeline.cause import Finding, findings
from bramleybend.timeline.merge import Filter, merge, select
from bramleybend.timeline.text import render

MOST_SHOWN = 5  # events of one step; the count in its text is of all


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
    steps = findings(merged.events, own[0].req)
    shown = ''.join(map(_step, steps))
    return Report(
        f'{render(own)}\n{shown}',
        {'request_id': req, 'cause': [step.text for step in steps]},
    )


def _step(finding: Finding) -> str:
    lines = render(finding.events[:MOST_SHOWN]).splitlines()
    indented = ''.join(f'    {line}\n' for line in lines)
    return f'- {finding.text}\n{indented}'
