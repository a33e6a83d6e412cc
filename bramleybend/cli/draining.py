"""The `drain` command: shuts down the programs of one VM gracefully."""

from ipaddress import ip_address

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.cli.control import ProcessStatus
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.cli.output import Report
from bramleybend.cli.processes import (
    Process,
    StatusResult,
    fetch_entry_vms,
    programs_of,
    query_status,
)
from bramleybend.cli.retries import retry_until
from bramleybend.errors import ErrorKind, ProblemError


async def drain(ctx: Context) -> Report:
    """Drain a VM's gateway, wait for its requests, then drain its scheduler.

    The scheduler is drained last because requests waiting at the gateway
    need it. Programs that have already ended are skipped, so the command can
    be repeated after a timeout.
    """
    gateway, scheduler = await _find_vm(ctx)
    in_flight = 0
    gateway_accepted = await _send_drain(ctx, gateway)
    if gateway_accepted:
        ctx.report_progress(f'{gateway.vm}: takes no new requests')
        in_flight = await _wait_until_empty(ctx, gateway)
    scheduler_accepted = await _send_drain(ctx, scheduler)
    if not gateway_accepted and not scheduler_accepted:
        fail(
            ErrorKind.PEER_UNAVAILABLE,
            f'neither program of {gateway.vm} is running',
            'see `bramleybend-ctl status`; it may have ended already',
        )
    note = ''
    if in_flight:
        note = f'; its gateway ended, last heard with {in_flight} in flight'
    return Report(
        f'{gateway.vm} is drained{note}',
        {'vm': gateway.vm, 'drained': True, 'last_in_flight': in_flight},
    )


async def _send_drain(ctx: Context, process: Process) -> bool:
    """Send the drain call until it is answered; false if the program ended.

    Draining is idempotent, so a call that times out is repeated: a brief
    pause of a program must not leave its VM partially drained.
    """

    async def send() -> None:  # noqa: WPS430
        unwrap(await ctx.env.make_control(process.endpoint).drain())

    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    try:
        await retry_until(ctx, deadline, ErrorKind.TIMEOUT, send)
    except ProblemError as exc:
        if exc.problem.kind is ErrorKind.PEER_UNAVAILABLE:
            return False
        raise
    return True


async def _wait_until_empty(ctx: Context, gateway: Process) -> int:
    """Return the number of requests in flight in the last status received."""
    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    in_flight = -1
    while True:
        result = (await query_status(ctx, [gateway]))[0]
        status = result.reply.ok()
        if status and status.in_flight != in_flight:
            in_flight = status.in_flight
            ctx.report_progress(f'{gateway.vm}: {in_flight} in flight')
        if _has_ended(result) or _is_empty(status):
            return max(in_flight, 0)
        if ctx.env.clock.monotonic() >= deadline:
            _fail_timeout(gateway, in_flight)
        await ctx.env.sleep(POLL_S)


def _is_empty(status: ProcessStatus | None) -> bool:
    return status is not None and status.draining and not status.in_flight


def _has_ended(result: StatusResult) -> bool:
    """Return whether the gateway has ended, not just slow or unreachable.

    A drained gateway exits, which closes its port. The port of a gateway that
    is frozen or partitioned stays open, and its requests are still in flight.
    """
    problem = result.reply.err()
    return problem is not None and problem.kind is ErrorKind.PEER_UNAVAILABLE


def _fail_timeout(gateway: Process, in_flight: int) -> None:
    count_text = f'{in_flight}' if in_flight >= 0 else 'an unknown number of'
    fail(
        ErrorKind.TIMEOUT,
        f'{gateway.vm} was last heard with {count_text} requests in flight',
        'they continue; repeat the command to keep waiting, and stop the VM '
        'only after it is reported as drained',
    )


async def _find_vm(ctx: Context) -> list[Process]:
    target = ctx.flags.target
    if not ctx.vm_list_url:
        _check_address(target)
        return programs_of(ctx, target, target)
    for vm in await fetch_entry_vms(ctx):
        if target in {vm.name, vm.address}:
            return programs_of(ctx, vm.name, vm.address)
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
