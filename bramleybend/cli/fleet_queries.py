"""Queries of the serving processes: they change nothing."""

from collections.abc import Sequence
from functools import partial

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail
from bramleybend.cli.log_queries import explain_from_logs
from bramleybend.cli.output import Report
from bramleybend.cli.persistence import ask_until
from bramleybend.cli.processes import (
    Process,
    Told,
    ask_all,
    ask_status,
    find_processes,
)
from bramleybend.cli.status_tables import status_tables
from bramleybend.errors import ErrorKind
from bramleybend.status import ExitStatus
from bramleybend.timeline.merge import merge
from bramleybend.timeline.read import read_lines
from bramleybend.timeline.text import render


async def status(ctx: Context) -> Report:
    """Show every VM: programs, terms, queues, owners, runners."""
    told = await ask_status(ctx, await find_processes(ctx))
    silent = any(each.reply.is_err() for each in told)
    text, data = status_tables(told)
    return Report(
        text,
        data,
        ExitStatus.UNAVAILABLE if silent else ExitStatus.OK,
    )


async def wait(ctx: Context) -> Report:
    """Wait until every process has a version in force."""
    wanted = ctx.flags.version
    if wanted is None:
        wanted = (await ctx.recent()).current
    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    shown = -1
    while True:
        processes = await _find_processes(ctx, deadline)
        told = await ask_status(ctx, processes)
        behind = [each for each in told if not _has(each, wanted)]
        done = len(told) - len(behind)
        if done != shown:
            shown = done
            ctx.progress(f'version {wanted}: in force on {done} of {len(told)}')
        if not behind:
            return Report(
                f'version {wanted} is in force on all {len(told)} processes',
                {'version': wanted, 'processes': len(told)},
            )
        if ctx.env.clock.monotonic() >= deadline:
            _fail_behind(wanted, behind)
        await ctx.env.sleep(POLL_S)


async def _find_processes(ctx: Context, deadline: float) -> list[Process]:
    return await ask_until(
        ctx,
        deadline,
        ErrorKind.LIST_UNAVAILABLE,
        partial(find_processes, ctx),
    )


async def explain(ctx: Context) -> Report:
    """Show where a request went and why, from records or collected logs."""
    if ctx.flags.logs:
        return explain_from_logs(ctx)
    processes = await find_processes(ctx)
    request_id = ctx.flags.request_id
    replies = await ask_all(
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
            f'no process remembers request {request_id}; {_silence(silent)}',
            'look for it in the event logs by `bramleybend-timeline '
            '--request ID FILE...`',
        )
    found = merge([read_lines('explain', lines)])
    note = f'\n{_silence(silent)}' if silent else ''
    return Report(
        render(found.events) + note,
        {'request_id': request_id, 'events': lines},
        ExitStatus.UNAVAILABLE if silent else ExitStatus.OK,
    )


def _has(told: Told, wanted: int) -> bool:
    said = told.reply.ok()
    return said is not None and said.terms_version >= wanted


def _fail_behind(wanted: int, behind: Sequence[Told]) -> None:
    named = ', '.join(map(_behind, behind))
    fail(
        ErrorKind.TIMEOUT,
        f'version {wanted} is not in force on: {named}',
        'see `bramleybend-ctl status`; a VM that is gone leaves the VM list '
        'by itself',
    )


def _behind(told: Told) -> str:
    said = told.reply.ok()
    where = f'{told.process.vm} {told.process.kind}'
    if said is None:
        return f'{where} (no answer)'
    return f'{where} (version {said.terms_version})'


def _silence(silent: Sequence[Process]) -> str:
    if not silent:
        return 'all processes answered'
    named = ', '.join(f'{each.vm} {each.kind}' for each in silent)
    return f'no answer from: {named}'
