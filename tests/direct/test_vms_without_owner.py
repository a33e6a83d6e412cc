"""VMs that reach no owner and schedule an engine service on their own."""

import asyncio
from collections import Counter
from random import Random
from typing import Final

from bramleybend.clock import SystemClock
from bramleybend.decisions.actions import Grant, Refuse
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.service_queue import make_queue
from bramleybend.models import SlotRequest, Tier

VMS: Final = 100
RUNNERS: Final = 20
MAX_FIRST_REQUESTS: Final = 15  # at one runner; its even share is five


def entry(number: int) -> RunnerEntry:
    """Return a runner that differs from others in name and port only."""
    name = f'r{number}'
    return RunnerEntry(
        name, 1, 'lm', '10.0.0.9', number + 1, 'd', 4, RunnerState.READY
    )


async def test_vms_without_an_owner_start_at_different_runners() -> None:
    """If all VMs tried runners in list order, they would all pick the first."""
    entries = [entry(number) for number in range(RUNNERS)]
    chosen: Counter[str] = Counter()

    def record_grant(action: Grant | Refuse) -> None:
        assert isinstance(action, Grant)
        chosen[action.runner] += 1

    clock = SystemClock()
    for vm in range(VMS):
        queue = make_queue('lm', is_engine=True, clock=clock, rng=Random(vm))
        queue.update_runners(entries, warm=True)
        later = clock.monotonic() + 9
        ask = SlotRequest('a', 'lm', Tier.HIGH, 'w', 90, 50, (), later, False)
        queue.request_slot(ask, record_grant)
    await asyncio.sleep(0.01)
    assert chosen.total() == VMS
    assert max(chosen.values()) <= MAX_FIRST_REQUESTS
