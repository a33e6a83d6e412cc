"""Runs the soak test of one seed."""

import asyncio
import os
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, Final

from bramleybend.clock import Clock, SystemClock
from tests.soak.callers import SoakCaller
from tests.soak.checks import Violation, find_violations
from tests.soak.ledger import (
    LARGE_DEPLOYMENT,
    SMALL_DEPLOYMENT,
    Contract,
    Ledger,
)
from tests.soak.plan import Fault, FaultKind, draw_faults
from tests.soak.vms import SoakVm
from tests.soak.world import LARGE_CHANGE_ROUTES, SoakWorld, run_world
from tests.utils.path_cuts import PathState
from tests.utils.relay import Cut
from tests.utils.waiting import wait_until

CALLER_COUNT: Final = 12
SERVE_TIMEOUT_S: Final = 5.0  # for a VM without further faults
_SUBNET: Final = 20 + os.getpid() % 200


@dataclass(frozen=True)
class SoakResult:
    """The result of one run.

    `statuses` counts requests by answer status, 0 for those without answer.
    """

    seed: int
    faults: Sequence[Fault]
    sent: int
    statuses: Counter[int]
    violations: Sequence[Violation]


async def run_soak(
    seed: int,
    duration_s: float,
    vm_count: int,
    folder: Path,
    draw: Callable[[int, float], list[Fault]] = draw_faults,
) -> SoakResult:
    """Run one seed; write logs and the timeline of faults to a folder.

    `draw` returns the faults of a seed and a duration in seconds.
    """
    ledger = Ledger(contract_for(seed))
    clock = SystemClock()
    faults = draw(seed, duration_s)
    async with run_world(vm_count, _SUBNET, folder, ledger, clock) as (
        world,
        vms,
    ):
        await _wait_until_all_serve(vms, world, ledger, clock)
        await _inject_under_load(
            seed, duration_s, world, vms, clock, faults, folder
        )
        ledger.unserving_vms = await _find_unserving_vms(
            vms, world, ledger, clock
        )
        ledger.exited_vms.extend(vm.name for vm in vms if not vm.is_up)
    return SoakResult(
        seed,
        faults,
        len(ledger.sent_requests),
        Counter(request.status for request in ledger.sent_requests.values()),
        find_violations(ledger),
    )


def contract_for(seed: int) -> Contract:
    """Return the small contract for even seeds, the large one for odd."""
    return LARGE_DEPLOYMENT if seed % 2 else SMALL_DEPLOYMENT


async def _inject_under_load(
    seed: int,
    duration_s: float,
    world: SoakWorld,
    vms: list[SoakVm],
    clock: Clock,
    faults: Sequence[Fault],
    folder: Path,
) -> None:
    callers = [
        SoakCaller(
            number,
            vms,
            world.ledger,
            world.keys,
            clock,
            Random(seed * CALLER_COUNT + number),
        )
        for number in range(CALLER_COUNT)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks.append(asyncio.create_task(world.renew_entries()))
    started = clock.monotonic()
    with (folder / 'faults.txt').open('w') as timeline:
        fault_tasks = []
        for fault in faults:
            await asyncio.sleep(max(started + fault.at - clock.monotonic(), 0))
            timeline.write(f'{fault.at:.3f} {fault}\n')
            fault_tasks.append(asyncio.create_task(_inject(fault, world, vms)))
        await asyncio.gather(*fault_tasks)
    await asyncio.sleep(max(started + duration_s - clock.monotonic(), 0))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _inject(fault: Fault, world: SoakWorld, vms: list[SoakVm]) -> None:
    vm = vms[fault.pick % len(vms)]
    names = sorted(world.runners)
    runner = names[fault.pick % len(names)]
    match fault.kind:
        case FaultKind.CHANGE:
            world.add_routes(1)
        case FaultKind.LARGE_CHANGE:
            world.add_routes(LARGE_CHANGE_ROUTES)
        case FaultKind.REVOKE:
            world.revoke_key()
        case FaultKind.RELOAD:
            vm.reload()
        case FaultKind.KILL_ALL:
            await asyncio.gather(*(each.kill() for each in vms))
        case _:
            await _make_lasting_fault(fault, world, vm, runner)


def _make_lasting_fault(
    fault: Fault, world: SoakWorld, vm: SoakVm, runner: str
) -> Coroutine[Any, Any, None]:
    actions = {
        FaultKind.KILL: lambda: vm.kill(),
        FaultKind.STOP: lambda: vm.stop(),
        FaultKind.FREEZE: lambda: vm.freeze(fault.seconds),
        FaultKind.STORE_CUT: lambda: vm.cut_store(Cut.BOTH, fault.seconds),
        FaultKind.STORE_DEAF: lambda: vm.cut_store(
            Cut.FROM_TARGET, fault.seconds
        ),
        FaultKind.PATHS_SILENT: lambda: vm.cut_runners(
            PathState.SILENT, fault.seconds
        ),
        FaultKind.PATHS_RESET: lambda: vm.cut_runners(
            PathState.RESET, fault.seconds
        ),
        FaultKind.STORE_RESET: lambda: vm.reset_store(),
        FaultKind.STORE_AWAY: lambda: world.refuse_store_calls(fault.seconds),
        FaultKind.RUNNER_CRASH: lambda: world.crash_runner(runner),
        FaultKind.RUNNER_LEAVE: lambda: world.drain_runner(
            runner, announces=True
        ),
        FaultKind.RUNNER_DELIST: lambda: world.drain_runner(
            runner, announces=False
        ),
        FaultKind.RUNNER_MUTE: lambda: world.mute_runner(runner, fault.seconds),
    }
    return actions[fault.kind]()


async def _wait_until_all_serve(
    vms: list[SoakVm], world: SoakWorld, ledger: Ledger, clock: Clock
) -> None:
    unserving = await _find_unserving_vms(vms, world, ledger, clock)
    if unserving:
        raise TimeoutError(f'{unserving} served nobody before the first fault')


async def _find_unserving_vms(
    vms: list[SoakVm], world: SoakWorld, ledger: Ledger, clock: Clock
) -> list[str]:
    """Return the names of VMs that answer no request with 200 in time."""
    valid_keys = [key for key in world.keys if key not in ledger.revoked_at]
    caller = SoakCaller(
        CALLER_COUNT + len(ledger.sent_requests),
        vms,
        ledger,
        valid_keys,
        clock,
        Random(0),
    )
    unserving = []
    for vm in vms:

        async def serves(vm: SoakVm = vm) -> bool:
            return (await caller.send(vm)).status == 200

        try:
            await wait_until(serves, f'{vm.name} serves', SERVE_TIMEOUT_S)
        except TimeoutError:
            unserving.append(vm.name)
    return unserving
