"""Read-only commands that query declaration files and the log."""

from dataclasses import asdict
from difflib import unified_diff

from result import Err, Ok

from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail
from bramleybend.cli.files import read_document
from bramleybend.cli.history import History, Publish
from bramleybend.cli.output import Report, format_table, replace_unprintable
from bramleybend.cli.processes import find_processes, query_status
from bramleybend.cli.status_tables import versions_table
from bramleybend.declarations import parse_terms
from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.exit_status import ExitStatus
from bramleybend.models import Terms


async def validate(ctx: Context) -> Report:
    """Validate declaration files without publishing them."""
    verdicts = {name: _validate_file(ctx, name) for name in ctx.flags.files}
    problems = [
        problem for problem in verdicts.values() if isinstance(problem, Problem)
    ]
    return Report(
        '\n'.join(
            _format_verdict(name, verdict) for name, verdict in verdicts.items()
        ),
        [_verdict_data(name, verdict) for name, verdict in verdicts.items()],
        ExitStatus.INVALID if problems else ExitStatus.OK,
    )


async def diff(ctx: Context) -> Report:
    """Compare a file with the terms in force."""
    document = read_document(ctx, ctx.flags.file)
    history = await ctx.read_recent_history()
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
    """List all publishes, including those that were not accepted."""
    terms_history = await ctx.read_history()
    rows = [_history_row(publish) for publish in terms_history.publishes]
    header = ('VERSION', 'BASE', 'BY', 'OFFSET', 'PUBLISH ID', 'NOT ACCEPTED')
    listing = format_table(header, rows)
    return Report(
        f'{listing}in force: version {terms_history.current}',
        {
            'current': terms_history.current,
            'publishes': [
                asdict(publish) for publish in terms_history.publishes
            ],
        },
    )


async def show(ctx: Context) -> Report:
    """Show the version in force by the log and on each VM, or a document."""
    if ctx.flags.version is not None:
        return _show_document(await ctx.read_history(), ctx.flags.version)
    terms_history = await ctx.read_recent_history()
    if ctx.flags.document:
        return _show_document(terms_history, terms_history.current)
    newest = f'in force by the log: version {terms_history.current}'
    if not ctx.flags.vms and not ctx.vm_list_url:
        return Report(
            newest, {'current': terms_history.current, 'processes': None}
        )
    results = await query_status(ctx, await find_processes(ctx))
    has_silent = any(result.reply.is_err() for result in results)
    text, data = versions_table(results)
    return Report(
        f'{newest}\n{text}',
        {'current': terms_history.current, 'processes': data},
        ExitStatus.UNAVAILABLE if has_silent else ExitStatus.OK,
    )


def _show_document(terms_history: History, number: int) -> Report:
    version = terms_history.versions.get(number)
    if version is None:
        available = (
            ', '.join(map(str, sorted(terms_history.versions))) or 'none'
        )
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'the log does not hold version {number}; it holds: {available}',
            'look for it in your version control',
        )
    return Report(version.document, asdict(version))


def _validate_file(ctx: Context, name: str) -> Terms | Problem:
    try:
        parsed = parse_terms(read_document(ctx, name), 0)
    except ProblemError as exc:
        return exc.problem
    match parsed:
        case Ok(terms):
            return terms
        case Err(problem):
            return problem


def _format_verdict(name: str, verdict: Terms | Problem) -> str:
    if isinstance(verdict, Problem):
        return replace_unprintable(f'{name}: {verdict}')
    services, profiles = len(verdict.services), len(verdict.profiles)
    workspaces = len(verdict.workspaces)
    return replace_unprintable(
        f'{name}: valid, with {services} services, {profiles} profiles and '
        f'{workspaces} workspaces',
    )


def _verdict_data(name: str, verdict: Terms | Problem) -> dict[str, object]:
    if isinstance(verdict, Problem):
        return {'file': name, 'valid': False, **asdict(verdict)}
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
