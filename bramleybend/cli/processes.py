"""Finds the serving processes and asks them all at once."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from result import Result

from bramleybend.cli.argtypes import VmAddress
from bramleybend.cli.constants import ENV_VM_LIST
from bramleybend.cli.context import Context
from bramleybend.cli.control import ControlClient, ProcessStatus
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.clients.vm_list import ENTRY_SERVICE
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import Vm

# Two hundred processes are asked in about ten rounds, without the burst of
# connections that asking them all at once would be.
ASKED_AT_ONCE: Final = 32
GATEWAY: Final = 'gateway'
SCHEDULER: Final = 'scheduler'

Reply = TypeVar('Reply')


@dataclass(frozen=True)
class Process:
    """One program on one VM."""

    vm: str  # its name, or its address when no list was read
    kind: str
    endpoint: str


@dataclass(frozen=True)
class Told:
    """What one process said of itself, or why it said nothing."""

    process: Process
    reply: Result[ProcessStatus, Problem]


async def find_processes(ctx: Context) -> list[Process]:
    """Return both programs of every VM that the flags or the list name."""
    if ctx.flags.vms:
        return [
            process
            for address in ctx.flags.vms
            for process in _at(ctx, address)
        ]
    return [
        process
        for vm in await entry_vms(ctx)
        for process in of_vm(ctx, vm.name, vm.address)
    ]


async def entry_vms(ctx: Context) -> list[Vm]:
    """Return the entry VMs of the VM list, leaving ones included."""
    if not ctx.vm_list_url:
        fail(
            ErrorKind.BAD_SETTING,
            'no VM is named',
            f'give --vm 10.0.1.11 or --vm-list URL, or set {ENV_VM_LIST}',
        )
    vm_list = ctx.env.make_vm_list(ctx.vm_list_url)
    listed = await vm_list.fetch()
    vms = unwrap(listed.map_err(_name_vms))
    found = [vm for vm in vms if vm.service == ENTRY_SERVICE]
    if not found:
        fail(
            ErrorKind.UNKNOWN_NAME,
            'the VM list holds no entry VM',
            f'see whether they are listed under the service {ENTRY_SERVICE}, '
            'or give --vm',
        )
    return sorted(found, key=_name)


def of_vm(ctx: Context, name: str, address: str) -> list[Process]:
    """Return both programs of one VM."""
    ports = {
        GATEWAY: ctx.flags.gateway_port,
        SCHEDULER: ctx.flags.scheduler_port,
    }
    return [
        Process(name, kind, f'{address}:{port}') for kind, port in ports.items()
    ]


async def ask_all(
    ctx: Context,
    processes: Sequence[Process],
    ask: Callable[[ControlClient], Awaitable[Reply]],
) -> list[Reply]:
    """Ask each process, in the order given."""
    free = asyncio.Semaphore(ASKED_AT_ONCE)

    async def ask_one(process: Process) -> Reply:  # noqa: WPS430
        async with free:
            return await ask(ctx.env.make_control(process.endpoint))

    return await asyncio.gather(*map(ask_one, processes))


async def ask_status(ctx: Context, processes: Sequence[Process]) -> list[Told]:
    """Return what each process says of itself."""
    replies = await ask_all(ctx, processes, lambda client: client.status())
    pairs = zip(processes, replies, strict=True)
    return [Told(process, reply) for process, reply in pairs]


def _at(ctx: Context, address: VmAddress) -> Iterator[Process]:
    for process in of_vm(ctx, address.address, address.address):
        if address.port is None:
            yield process
        elif process.endpoint == f'{address.address}:{address.port}':
            yield process


def _name(vm: Vm) -> str:
    return vm.name


def _name_vms(problem: Problem) -> Problem:
    return Problem(
        problem.kind, problem.detail, 'name the VMs by --vm 10.0.1.11'
    )
