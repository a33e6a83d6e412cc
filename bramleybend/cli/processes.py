"""Finds the serving processes and queries them concurrently."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from result import Result

from bramleybend.cli.argument_types import VmAddress
from bramleybend.cli.constants import ENV_VM_LIST
from bramleybend.cli.context import Context
from bramleybend.cli.control import ControlClient, ProcessStatus
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.clients.vm_list import ENTRY_SERVICE
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import Vm

# Queries two hundred processes in about ten rounds, without the burst of
# connections of querying them all at the same time.
MAX_CONCURRENT_CALLS: Final = 32
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
class StatusResult:
    """The status reply of one process, or the problem of the call."""

    process: Process
    reply: Result[ProcessStatus, Problem]


async def find_processes(ctx: Context) -> list[Process]:
    """Return both programs of every VM in the flags, or in the VM list."""
    if ctx.flags.vms:
        return [
            process
            for address in ctx.flags.vms
            for process in _programs_at(ctx, address)
        ]
    return [
        process
        for vm in await fetch_entry_vms(ctx)
        for process in programs_of(ctx, vm.name, vm.address)
    ]


async def fetch_entry_vms(ctx: Context) -> list[Vm]:
    """Return the entry VMs of the VM list, including leaving ones."""
    if not ctx.vm_list_url:
        fail(
            ErrorKind.BAD_SETTING,
            'no VM is named',
            f'give --vm 10.0.1.11 or --vm-list URL, or set {ENV_VM_LIST}',
        )
    vm_list = ctx.env.make_vm_list(ctx.vm_list_url)
    fetched = await vm_list.fetch()
    vms = unwrap(fetched.map_err(_suggest_vm_flag))
    listed_vms = [vm for vm in vms if vm.service == ENTRY_SERVICE]
    if not listed_vms:
        fail(
            ErrorKind.UNKNOWN_NAME,
            'the VM list holds no entry VM',
            f'see whether they are listed under the service {ENTRY_SERVICE}, '
            'or give --vm',
        )
    return sorted(listed_vms, key=_vm_name)


def programs_of(ctx: Context, name: str, address: str) -> list[Process]:
    """Return both programs of one VM."""
    ports = {
        GATEWAY: ctx.flags.gateway_port,
        SCHEDULER: ctx.flags.scheduler_port,
    }
    return [
        Process(name, kind, f'{address}:{port}') for kind, port in ports.items()
    ]


async def query_all(
    ctx: Context,
    processes: Sequence[Process],
    query: Callable[[ControlClient], Awaitable[Reply]],
) -> list[Reply]:
    """Query each process; replies are in the order of `processes`."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def query_one(process: Process) -> Reply:  # noqa: WPS430
        async with semaphore:
            return await query(ctx.env.make_control(process.endpoint))

    return await asyncio.gather(*map(query_one, processes))


async def query_status(
    ctx: Context, processes: Sequence[Process]
) -> list[StatusResult]:
    """Return the status reply of each process."""
    replies = await query_all(ctx, processes, lambda client: client.status())
    pairs = zip(processes, replies, strict=True)
    return [StatusResult(process, reply) for process, reply in pairs]


def _programs_at(ctx: Context, address: VmAddress) -> Iterator[Process]:
    for process in programs_of(ctx, address.address, address.address):
        if address.port is None:
            yield process
        elif process.endpoint == f'{address.address}:{address.port}':
            yield process


def _vm_name(vm: Vm) -> str:
    return vm.name


def _suggest_vm_flag(problem: Problem) -> Problem:
    return Problem(
        problem.kind, problem.detail, 'name the VMs by --vm 10.0.1.11'
    )
