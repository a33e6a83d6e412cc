"""Commands: they change something, and say what."""

from ipaddress import ip_address
from typing import NoReturn

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.cli.control import ProcessStatus
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.cli.files import read_document
from bramleybend.cli.output import Report
from bramleybend.cli.processes import (
    Process,
    Told,
    ask_status,
    entry_vms,
    find_processes,
    of_vm,
)
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
    return _report(await publish_draft(ctx, draft))


async def restore(ctx: Context) -> Report:
    """Publish an old version's content as a new version."""
    wanted = ctx.flags.version or 0
    history = await ctx.history()
    version = history.versions.get(wanted)
    if version is None:
        held = ', '.join(map(str, sorted(history.versions))) or 'none'
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'the log does not hold version {wanted}; it holds: {held}',
            'publish the file from your version control instead',
        )
    base = ctx.flags.base
    draft = Draft(
        version.document,
        history.current if base is None else base,
        ctx.flags.publish_id or ctx.env.new_id(),
        ctx.user,
    )
    return _report(await publish_draft(ctx, draft))


async def recover(ctx: Context) -> Report:
    """Put terms in force that neither the log nor any VM knows any more."""
    document = read_document(ctx, ctx.flags.file)
    told = await ask_status(ctx, await find_processes(ctx))
    knowing = [each for each in told if _knows_terms(each)]
    if knowing:
        where = knowing[0].process
        fail(
            ErrorKind.CONFLICT,
            f'{where.vm} {where.kind} still knows the terms',
            'wait a minute: it writes them to the log again',
        )
    version = ctx.flags.version or 0
    await recover_terms(ctx, document, version)
    return Report(
        f'version {version} is in force by the log\n'
        f'next: bramleybend-ctl wait {version}',
        {'version': version},
    )


def _knows_terms(told: Told) -> bool:
    status = told.reply.ok()
    return status is not None and status.terms_version > 0


async def drain(ctx: Context) -> Report:
    """Stop a VM's gateway, wait for its requests, then its scheduler.

    The scheduler goes last: requests that still wait at the gateway need it.
    """
    gateway, scheduler = await _find_vm(ctx)
    unwrap(await ctx.env.make_control(gateway.endpoint).drain())
    ctx.progress(f'{gateway.vm}: takes no new requests')
    in_flight = await _wait_until_empty(ctx, gateway)
    unwrap(await ctx.env.make_control(scheduler.endpoint).drain())
    last = ''
    if in_flight:
        last = f'; its gateway ended, last heard with {in_flight} in flight'
    return Report(
        f'{gateway.vm} is drained{last}',
        {'vm': gateway.vm, 'drained': True, 'last_in_flight': in_flight},
    )


async def _wait_until_empty(ctx: Context, gateway: Process) -> int:
    """Return how many requests were in flight when it was last heard."""
    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    in_flight = 0
    while True:
        told = (await ask_status(ctx, [gateway]))[0]
        status = told.reply.ok()
        if status is not None:
            in_flight = status.in_flight
            ctx.progress(f'{gateway.vm}: {in_flight} in flight')
        if _has_ended(told) or _is_empty(status):
            return in_flight
        if ctx.env.clock.monotonic() >= deadline:
            _fail_waiting(gateway, in_flight)
        await ctx.env.sleep(POLL_S)


def _is_empty(status: ProcessStatus | None) -> bool:
    return status is not None and status.draining and not status.in_flight


def _has_ended(told: Told) -> bool:
    """Tell a gateway that has gone from one that is only slow.

    A drained gateway ends by itself and its port closes. One that is frozen
    keeps its port, and its requests are still in flight.
    """
    problem = told.reply.err()
    return problem is not None and problem.kind is ErrorKind.PEER_UNAVAILABLE


def _fail_waiting(gateway: Process, in_flight: int) -> NoReturn:
    fail(
        ErrorKind.TIMEOUT,
        f'{gateway.vm} was last heard with {in_flight} requests in flight',
        'they go on; give the command again to wait on, and stop the VM '
        'only after it says drained',
    )


async def _find_vm(ctx: Context) -> list[Process]:
    target = ctx.flags.target
    if not ctx.vm_list_url:
        _check_address(target)
        return of_vm(ctx, target, target)
    for vm in await entry_vms(ctx):
        if target in {vm.name, vm.address}:
            return of_vm(ctx, vm.name, vm.address)
    fail(
        ErrorKind.UNKNOWN_NAME,
        f'the VM list holds no entry VM {target}',
        'see `bramleybend-ctl status` for their names',
    )


def _check_address(target: str) -> None:
    try:
        ip_address(target)
    except ValueError:
        fail(
            ErrorKind.BAD_SETTING,
            f'{target} is not an IP address, and no VM list is set',
            'give --vm-list URL to drain by name, or the IP address',
        )


def _report(published: Published) -> Report:
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
