"""VMs that order an engine service by themselves, as they reach no owner."""

import asyncio
from collections import Counter
from random import Random
from typing import Final

from bramleybend.clock import SystemClock
from bramleybend.decisions.actions import Grant, Refuse
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.owner import make_queue
from bramleybend.models import Ask, Tier

VMS: Final = 100
RUNNERS: Final = 20
MOST: Final = 15  # of all first requests, at one runner; five are its share


def entry(number: int) -> RunnerEntry:
    """Return a runner like all others."""
    name = f'r{number}'
    return RunnerEntry(
        name, 1, 'lm', '10.0.0.9', number + 1, 'd', 4, RunnerState.READY
    )


async def test_vms_without_an_owner_start_at_different_runners() -> None:
    """In the order of the list, all would send to the first one."""
    entries = [entry(number) for number in range(RUNNERS)]
    chosen: Counter[str] = Counter()

    def note(action: Grant | Refuse) -> None:
        assert isinstance(action, Grant)
        chosen[action.runner] += 1

    clock = SystemClock()
    for vm in range(VMS):
        queue = make_queue('lm', is_engine=True, clock=clock, rng=Random(vm))
        queue.take_runners(entries, warm=True)
        later = clock.monotonic() + 9
        ask = Ask('a', 'lm', Tier.HIGH, 'w', 90, 50, (), later, False)
        queue.ask(ask, note)
    await asyncio.sleep(0.01)
    assert chosen.total() == VMS
    assert max(chosen.values()) <= MOST
