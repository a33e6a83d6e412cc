"""The commands of `bramleybend-ctl` that publish terms."""

from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail
from bramleybend.cli.files import read_document
from bramleybend.cli.output import Report
from bramleybend.cli.processes import StatusResult, find_processes, query_status
from bramleybend.cli.publishing import Draft, Published, publish_draft
from bramleybend.cli.recovery import recover_terms
from bramleybend.errors import ErrorKind


async def publish(ctx: Context) -> Report:
    """Publish a file as the version after its base."""
    draft = Draft(
        read_document(ctx, ctx.flags.file),
        ctx.flags.base or 0,
        ctx.flags.publish_id or ctx.env.new_id(),
        ctx.user,
    )
    return _make_report(await publish_draft(ctx, draft))


async def restore(ctx: Context) -> Report:
    """Publish the content of an old version as a new version."""
    wanted_version = ctx.flags.version or 0
    history = await ctx.read_history()
    version = history.versions.get(wanted_version)
    if version is None:
        available = ', '.join(map(str, sorted(history.versions))) or 'none'
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'the log does not hold version {wanted_version}; '
            f'it holds: {available}',
            'publish the file from your version control instead',
        )
    base = ctx.flags.base
    draft = Draft(
        version.document,
        history.current if base is None else base,
        ctx.flags.publish_id or ctx.env.new_id(),
        ctx.user,
    )
    return _make_report(await publish_draft(ctx, draft))


async def recover(ctx: Context) -> Report:
    """Put terms in force that the log and all VMs have lost."""
    document = read_document(ctx, ctx.flags.file)
    results = await query_status(ctx, await find_processes(ctx))
    with_terms = [result for result in results if _has_terms(result)]
    if with_terms:
        process = with_terms[0].process
        fail(
            ErrorKind.CONFLICT,
            f'{process.vm} {process.kind} still knows the terms',
            'wait a minute: it writes them to the log again',
        )
    version = ctx.flags.version or 0
    await recover_terms(ctx, document, version)
    return Report(
        f'version {version} is in force by the log\n'
        f'next: bramleybend-ctl wait {version}',
        {'version': version},
    )


def _has_terms(result: StatusResult) -> bool:
    status = result.reply.ok()
    return status is not None and status.terms_version > 0


def _make_report(published: Published) -> Report:
    lines = [f'version {published.version} is accepted']
    if published.reply_lost:
        lines.append("the log's reply was lost; its stream shows the publish")
    if published.repeated:
        lines.append('it was published before under this id; nothing was sent')
    lines.append(f'next: bramleybend-ctl wait {published.version}')
    data = {
        'version': published.version,
        'publish_id': published.publish_id,
        'reply_lost': published.reply_lost,
        'repeated': published.repeated,
    }
    return Report('\n'.join(lines), data)
