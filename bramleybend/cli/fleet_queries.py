"""Read-only commands that query the serving processes."""

from collections.abc import Sequence
from functools import partial

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail
from bramleybend.cli.log_queries import explain_from_logs
from bramleybend.cli.output import Report
from bramleybend.cli.processes import (
    Process,
    StatusResult,
    find_processes,
    query_all,
    query_status,
)
from bramleybend.cli.retries import retry_until
from bramleybend.cli.status_tables import status_tables
from bramleybend.errors import ErrorKind
from bramleybend.exit_status import ExitStatus
from bramleybend.timeline.merge import merge
from bramleybend.timeline.read import read_lines
from bramleybend.timeline.text import render


async def status(ctx: Context) -> Report:
    """Show the programs, terms, queues, owners and runners of every VM."""
    results = await query_status(ctx, await find_processes(ctx))
    silent = any(result.reply.is_err() for result in results)
    text, data = status_tables(results)
    return Report(
        text,
        data,
        ExitStatus.UNAVAILABLE if silent else ExitStatus.OK,
    )


async def wait(ctx: Context) -> Report:
    """Wait until every process has a version in force."""
    version = ctx.flags.version
    if version is None:
        version = (await ctx.read_recent_history()).current
    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    last_done = -1
    while True:
        processes = await _find_processes(ctx, deadline)
        results = await query_status(ctx, processes)
        outdated = [
            result for result in results if not _has_version(result, version)
        ]
        done = len(results) - len(outdated)
        if done != last_done:
            last_done = done
            ctx.report_progress(
                f'version {version}: in force on {done} of {len(results)}'
            )
        if not outdated:
            return Report(
                f'version {version} is in force on all '
                f'{len(results)} processes',
                {'version': version, 'processes': len(results)},
            )
        if ctx.env.clock.monotonic() >= deadline:
            _fail_outdated(version, outdated)
        await ctx.env.sleep(POLL_S)


async def _find_processes(ctx: Context, deadline: float) -> list[Process]:
    return await retry_until(
        ctx,
        deadline,
        ErrorKind.LIST_UNAVAILABLE,
        partial(find_processes, ctx),
    )


async def explain(ctx: Context) -> Report:
    """Show the events of a request, from the processes or collected logs."""
    if ctx.flags.logs:
        return explain_from_logs(ctx)
    processes = await find_processes(ctx)
    request_id = ctx.flags.request_id
    replies = await query_all(
        ctx,
        processes,
        lambda client: client.explain(request_id),
    )
    lines = [line for reply in replies for line in reply.unwrap_or([])]
    silent = [
        process
        for process, reply in zip(processes, replies, strict=True)
        if reply.is_err()
    ]
    if not lines:
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'no process remembers request {request_id}; '
            f'{_describe_silent(silent)}',
            'look for it in the event logs by `bramleybend-timeline '
            '--request ID FILE...`',
        )
    merged = merge([read_lines('explain', lines)])
    note = f'\n{_describe_silent(silent)}' if silent else ''
    return Report(
        render(merged.events) + note,
        {'request_id': request_id, 'events': lines},
        ExitStatus.UNAVAILABLE if silent else ExitStatus.OK,
    )


def _has_version(result: StatusResult, version: int) -> bool:
    process_status = result.reply.ok()
    return (
        process_status is not None and process_status.terms_version >= version
    )


def _fail_outdated(version: int, outdated: Sequence[StatusResult]) -> None:
    names = ', '.join(map(_describe_outdated, outdated))
    fail(
        ErrorKind.TIMEOUT,
        f'version {version} is not in force on: {names}',
        'see `bramleybend-ctl status`; a VM that is gone leaves the VM list '
        'by itself',
    )


def _describe_outdated(result: StatusResult) -> str:
    process_status = result.reply.ok()
    location = f'{result.process.vm} {result.process.kind}'
    if process_status is None:
        return f'{location} (no answer)'
    return f'{location} (version {process_status.terms_version})'


def _describe_silent(silent: Sequence[Process]) -> str:
    if not silent:
        return 'all processes answered'
    names = ', '.join(f'{process.vm} {process.kind}' for process in silent)
    return f'no answer from: {names}'
