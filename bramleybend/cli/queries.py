"""Queries of files and of the log: they change nothing."""

from dataclasses import asdict
from difflib import unified_diff

from result import Err, Ok

from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail
from bramleybend.cli.files import read_document
from bramleybend.cli.history import History, Publish
from bramleybend.cli.output import Report, clean, table
from bramleybend.cli.processes import ask_status, find_processes
from bramleybend.cli.status_tables import versions_table
from bramleybend.declarations import parse_terms
from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.models import Terms
from bramleybend.status import ExitStatus


async def validate(ctx: Context) -> Report:
    """Check files without publishing them."""
    checked = {name: _checked(ctx, name) for name in ctx.flags.files}
    problems = [
        problem for problem in checked.values() if isinstance(problem, Problem)
    ]
    return Report(
        '\n'.join(_verdict(name, found) for name, found in checked.items()),
        [_verdict_data(name, found) for name, found in checked.items()],
        ExitStatus.INVALID if problems else ExitStatus.OK,
    )


async def diff(ctx: Context) -> Report:
    """Compare a file with the terms in force."""
    document = read_document(ctx, ctx.flags.file)
    history = await ctx.recent()
    base = history.current
    lines = unified_diff(
        history.document.splitlines(),
        document.splitlines(),
        f'version {base}',
        ctx.flags.file,
        lineterm='',
    )
    changes = '\n'.join(lines)
    text = changes or f'no difference from version {base}'
    return Report(
        f'{text}\npublish it by: bramleybend-ctl publish '
        f'{ctx.flags.file} --base {base}',
        {'base': base, 'diff': changes},
    )


async def history(ctx: Context) -> Report:
    """List what was published, and what was not accepted."""
    read = await ctx.history()
    rows = [_history_row(publish) for publish in read.publishes]
    header = ('VERSION', 'BASE', 'BY', 'OFFSET', 'PUBLISH ID', 'NOT ACCEPTED')
    listing = table(header, rows)
    return Report(
        f'{listing}in force: version {read.current}',
        {
            'current': read.current,
            'publishes': [asdict(publish) for publish in read.publishes],
        },
    )


async def show(ctx: Context) -> Report:
    """Show the terms in force: on the log, on each VM, or their text."""
    if ctx.flags.version is not None:
        return _document(await ctx.history(), ctx.flags.version)
    read = await ctx.recent()
    if ctx.flags.document:
        return _document(read, read.current)
    newest = f'in force by the log: version {read.current}'
    if not ctx.flags.vms and not ctx.vm_list_url:
        return Report(newest, {'current': read.current, 'processes': None})
    told = await ask_status(ctx, await find_processes(ctx))
    silent = any(each.reply.is_err() for each in told)
    text, data = versions_table(told)
    return Report(
        f'{newest}\n{text}',
        {'current': read.current, 'processes': data},
        ExitStatus.UNAVAILABLE if silent else ExitStatus.OK,
    )


def _document(read: History, number: int) -> Report:
    version = read.versions.get(number)
    if version is None:
        held = ', '.join(map(str, sorted(read.versions))) or 'none'
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'the log does not hold version {number}; it holds: {held}',
            'look for it in your version control',
        )
    return Report(version.document, asdict(version))


def _checked(ctx: Context, name: str) -> Terms | Problem:
    try:
        parsed = parse_terms(read_document(ctx, name), 0)
    except ProblemError as exc:
        return exc.problem
    match parsed:
        case Ok(terms):
            return terms
        case Err(problem):
            return problem


def _verdict(name: str, found: Terms | Problem) -> str:
    if isinstance(found, Problem):
        return clean(f'{name}: {found}')
    services, profiles = len(found.services), len(found.profiles)
    workspaces = len(found.workspaces)
    return clean(
        f'{name}: valid, with {services} services, {profiles} profiles and '
        f'{workspaces} workspaces',
    )


def _verdict_data(name: str, found: Terms | Problem) -> dict[str, object]:
    if isinstance(found, Problem):
        return {'file': name, 'valid': False, **asdict(found)}
    return {'file': name, 'valid': True}


def _history_row(publish: Publish) -> list[object]:
    return [
        publish.version,
        publish.base,
        publish.by,
        publish.offset,
        publish.publish_id,
        publish.refused,
    ]
