"""Drains one VM: a command that changes something."""

from ipaddress import ip_address

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.cli.control import ProcessStatus
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.cli.output import Report
from bramleybend.cli.persistence import ask_until
from bramleybend.cli.processes import (
    Process,
    Told,
    ask_status,
    entry_vms,
    of_vm,
)
from bramleybend.errors import ErrorKind, ProblemError


async def drain(ctx: Context) -> Report:
    """Stop a VM's gateway, wait for its requests, then its scheduler.

    The scheduler goes last: requests that still wait at the gateway need it.
    A program that has ended already is passed over, so the command can be
    given again after it ran out of time.
    """
    gateway, scheduler = await _find_vm(ctx)
    in_flight = 0
    gateway_took_it = await _order(ctx, gateway)
    if gateway_took_it:
        ctx.progress(f'{gateway.vm}: takes no new requests')
        in_flight = await _wait_until_empty(ctx, gateway)
    scheduler_took_it = await _order(ctx, scheduler)
    if not gateway_took_it and not scheduler_took_it:
        fail(
            ErrorKind.PEER_UNAVAILABLE,
            f'neither program of {gateway.vm} is there',
            'see `bramleybend-ctl status`; it may have ended already',
        )
    last = ''
    if in_flight:
        last = f'; its gateway ended, last heard with {in_flight} in flight'
    return Report(
        f'{gateway.vm} is drained{last}',
        {'vm': gateway.vm, 'drained': True, 'last_in_flight': in_flight},
    )


async def _order(ctx: Context, process: Process) -> bool:
    """Give the order until it is taken; false if the program has ended.

    Draining is idempotent, so an order without an answer is given again: a
    program that stood still for a moment must not leave its VM half drained.
    """

    async def give() -> None:  # noqa: WPS430
        unwrap(await ctx.env.make_control(process.endpoint).drain())

    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    try:
        await ask_until(ctx, deadline, ErrorKind.TIMEOUT, give)
    except ProblemError as exc:
        if exc.problem.kind is ErrorKind.PEER_UNAVAILABLE:
            return False
        raise
    return True


async def _wait_until_empty(ctx: Context, gateway: Process) -> int:
    """Return how many requests were in flight when it was last heard."""
    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    in_flight = -1
    while True:
        told = (await ask_status(ctx, [gateway]))[0]
        status = told.reply.ok()
        if status and status.in_flight != in_flight:
            in_flight = status.in_flight
            ctx.progress(f'{gateway.vm}: {in_flight} in flight')
        if _has_ended(told) or _is_empty(status):
            return max(in_flight, 0)
        if ctx.env.clock.monotonic() >= deadline:
            _fail_waiting(gateway, in_flight)
        await ctx.env.sleep(POLL_S)


def _is_empty(status: ProcessStatus | None) -> bool:
    return status is not None and status.draining and not status.in_flight


def _has_ended(told: Told) -> bool:
    """Tell a gateway that has gone from one that is only slow or cut off.

    A drained gateway ends by itself and its port closes. One that is frozen
    or cut off closes nothing, and its requests are still in flight.
    """
    problem = told.reply.err()
    return problem is not None and problem.kind is ErrorKind.PEER_UNAVAILABLE


def _fail_waiting(gateway: Process, in_flight: int) -> None:
    known = f'{in_flight}' if in_flight >= 0 else 'an unknown number of'
    fail(
        ErrorKind.TIMEOUT,
        f'{gateway.vm} was last heard with {known} requests in flight',
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
