"""Which VM is asked for a slot at an engine."""

import asyncio
from dataclasses import replace
from random import Random
from typing import Final

import pytest

from bramleybend.clock import SystemClock
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.members import Member, Members, OwnVm
from bramleybend.direct.messages import (
    Granted,
    Message,
    Queued,
    SlotRequestMessage,
)
from bramleybend.direct.models import (
    DeclaredService,
    Manifest,
    RunnerEntry,
    RunnerState,
)
from bramleybend.direct.placement import Placement, Placer
from bramleybend.direct.queues import make_queues
from bramleybend.events import EventLog
from bramleybend.models import SlotRequest, Tier
from tests.utils.waiting import wait_until

SERVICE: Final = 'lm'
RUNNER: Final = RunnerEntry(
    'r1', 0, SERVICE, '127.0.0.1', 90, 'd', 4, RunnerState.READY
)
CAPACITIES: Final = {'owner': 3, 'successor': 2}


class Asker:
    """A VM that knows two other VMs and one engine."""

    def __init__(self) -> None:
        """Register members that were heard long enough to be asked."""
        clock = SystemClock()
        events = EventLog('vm', 'i', clock, max_kept_events=0)
        members = Members(OwnVm('vm', 'i', 'vm', 'vm:80'))
        now = clock.monotonic() + 60
        for vm, capacity in CAPACITIES.items():
            member = Member(vm, 'i', vm, f'{vm}:80', True, False, now, 0)
            member.capacity = capacity
            members.update(member)
        catalog = self.catalog = Catalog(clock, events)
        services = {SERVICE: DeclaredService(SERVICE, 10, True, 7)}
        catalog.apply_manifest(
            Manifest(1, {}, services, {}, requires_key=False)
        )
        catalog.replace_runner_list({'r1': RUNNER})
        queues = make_queues(catalog, members, clock, events, Random(1))
        self.placer = Placer(catalog, members, queues, clock, events)
        self.placer.send = self.record_ask
        self.asks: list[tuple[SlotRequestMessage, str]] = []

    def record_ask(self, message: Message, address: str) -> None:
        """Record the receiver of a slot request."""
        if isinstance(message, SlotRequestMessage):
            self.asks.append((message, address))

    def place(self) -> 'asyncio.Task[object]':
        """Start to ask for a slot."""
        later = SystemClock().monotonic() + 60
        ask = SlotRequest(
            'a', SERVICE, Tier.HIGH, 'w', 9, 5, (), later, cancellable=False
        )
        return asyncio.create_task(self.placer.place(ask))

    def grant(self, runner: str) -> None:
        """Answer the last slot request with a grant of a runner."""
        self.answer(Granted(self.asks[-1][0].request_id, runner))

    def answer(self, message: Message) -> None:
        """Deliver a message about a slot request."""
        self.placer.handle_message(message, '', lambda reply: None)

    def count_asks(self, vm: str) -> int:
        """Return the number of slot requests sent to one VM."""
        return sum(one == vm for _, one in self.asks)


@pytest.fixture
async def asker() -> Asker:
    """Return a VM that asks for slots."""
    return Asker()


async def test_an_owner_that_grants_an_unknown_runner_is_asked_again(
    asker: Asker,
) -> None:
    """Runner lists of VMs differ briefly; the owner still schedules.

    The next slot request excludes the unknown runner.
    """
    placing = asker.place()
    await wait_until(lambda: len(asker.asks) == 1, 'an ask')
    asker.grant('unheard-of')
    await wait_until(lambda: len(asker.asks) == 2, 'a second ask')
    news, vm = asker.asks[-1]
    assert vm == 'owner'
    assert news.excluded == ['unheard-of']
    asker.grant('r1')
    placed = await placing
    assert isinstance(placed, Placement)
    assert placed.owner is not None


async def test_an_owner_that_grants_a_leaving_runner_is_asked_again(
    asker: Asker,
) -> None:
    """An owner that was frozen must not have work sent to leaving runners."""
    leaving = replace(RUNNER, name='r2', state=RunnerState.LEAVING)
    asker.catalog.replace_runner_list({'r1': RUNNER, 'r2': leaving})
    placing = asker.place()
    await wait_until(lambda: len(asker.asks) == 1, 'an ask')
    asker.grant('r2')
    await wait_until(lambda: len(asker.asks) == 2, 'a second ask')
    assert asker.asks[-1][0].excluded == ['r2']
    asker.grant('r1')
    placed = await placing
    assert isinstance(placed, Placement)
    assert placed.runner is RUNNER


async def test_the_successor_of_a_silent_owner_is_asked(asker: Asker) -> None:
    """If VMs scheduled on their own, they would overload the same runners."""
    placing = asker.place()
    await wait_until(lambda: asker.count_asks('successor') > 0, 'the successor')
    assert asker.asks[-1][1] == 'successor'
    asker.grant('r1')
    placed = await placing
    assert isinstance(placed, Placement)
    assert placed.owner is not None
    assert placed.owner.vm == 'successor'


async def test_a_late_grant_of_a_silent_owner_is_not_its_successors(
    asker: Asker,
) -> None:
    """The slot of a late grant belongs to the VM that granted it."""
    placing = asker.place()
    await wait_until(lambda: asker.count_asks('successor') > 0, 'the successor')
    asker.answer(Queued(asker.asks[-1][0].request_id))
    asker.answer(Granted(asker.asks[0][0].request_id, 'r1'))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await asyncio.shield(placing)
    asker.grant('r1')
    placed = await placing
    assert isinstance(placed, Placement)
    assert placed.ask.request_id == asker.asks[-1][0].request_id


async def test_an_ask_goes_back_to_an_owner_that_answers_again(
    asker: Asker,
) -> None:
    """Otherwise it would wait while the owner gives slots to lower tiers."""
    placing = asker.place()
    await wait_until(lambda: asker.count_asks('successor') > 0, 'the successor')
    asked = asker.count_asks('owner')

    def is_back() -> bool:
        asker.answer(Queued(asker.asks[-1][0].request_id))
        return asker.count_asks('owner') > asked

    await wait_until(is_back, 'the owner', 3)
    asker.grant('r1')
    placed = await placing
    assert isinstance(placed, Placement)
    assert placed.owner is not None
    assert placed.owner.vm == 'owner'


async def test_a_vm_that_reaches_no_owner_orders_for_itself(
    asker: Asker,
) -> None:
    """A VM that is cut off from all others schedules on its own."""
    placed = await asker.place()
    assert isinstance(placed, Placement)
    assert placed.owner is None
