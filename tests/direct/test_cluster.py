"""Several entry VMs: owners, news of the store, planned stops."""

import asyncio
from collections import Counter

from bramleybend.direct.owner import UNCONFIRMED_S
from bramleybend.platform.program import PlatformProcess
from tests.direct.world import ENGINE, PLAIN, World, manifest, playing
from tests.utils.raw_runner import Seen, chunk, event, streams
from tests.utils.waiting import wait_until


async def brief(seen: Seen) -> None:
    """Stream for 100 ms."""
    seen.writer.write(seen.stream_head() + chunk(event(1)))
    await asyncio.sleep(0.1)
    seen.writer.write(chunk(event(2)) + chunk(b''))


def owner_of(world: World, service: str) -> PlatformProcess:
    """Return the VM that orders a service's requests."""
    now = world.vms[0].entry.book.now()
    found = [
        vm
        for vm in world.vms
        if vm.entry.members.owner(service, now, able=True) is None
    ]
    assert len(found) == 1
    return found[0]


async def settled(world: World) -> None:
    """Wait until the VMs trust each other as owners."""
    await asyncio.sleep(1.2)
    await wait_until(lambda: bool(owner_of(world, ENGINE)), 'one owner')


async def test_a_runner_is_given_no_more_than_its_slots_by_all_vms() -> None:
    """Every caller gets its stream; no runner ever has more than four.

    Twenty-four requests come at once, over three VMs. One owner hands out
    the slots, so the order under shortage is ours and not the engine's.
    """
    running: Counter[str] = Counter()
    most: Counter[str] = Counter()

    async def counted(seen: Seen) -> None:
        name = seen.headers['x-bramleybend-expect-instance']
        running[name] += 1
        most[name] = max(most[name], running[name])
        await brief(seen)
        running[name] -= 1

    async with playing(vms=3) as world:
        for name in ('r1', 'r2'):
            await world.add_runner(name, ENGINE, counted)
        await world.knows(ENGINE, 2)
        await settled(world)
        answers = await asyncio.gather(
            *(
                world.call('/draft/x', vm=number % 3, attempt=f'a{number}')
                for number in range(24)
            )
        )
        assert all(answer.status == 200 for answer in answers)
        assert all(answer.whole for answer in answers)
        assert max(most.values()) <= 4
        assert len(most) == 2


async def test_a_long_run_keeps_its_slot() -> None:
    """A VM's own runs need nobody's word that they go on.

    One VM orders its own requests. Four streams last longer than a grant may
    stay unconfirmed by heartbeats; the fifth and sixth wait for their ends.
    """
    gate = asyncio.Event()

    async def behave(seen: Seen) -> None:
        await gate.wait()
        await streams(seen)

    async with playing() as world:
        runner = await world.add_runner('r1', ENGINE, behave)
        await world.knows(ENGINE)
        calls = [
            asyncio.create_task(
                world.call(
                    '/draft/x', attempt=f'a{number}', body=b'%d' % number
                )
            )
            for number in range(6)
        ]
        await asyncio.sleep(UNCONFIRMED_S * 2)
        assert len(runner.seen) == 4
        gate.set()
        assert [(await call).status for call in calls] == [200] * 6


async def test_the_loss_of_an_owner_costs_callers_little() -> None:
    """Callers of the other VMs get their streams within half a second.

    The VM that hands out the engines' slots dies without a word. An ask that
    it doesn't answer is placed by the asking VM itself.
    """
    async with playing(vms=3) as world:
        await world.add_runner('r1', ENGINE, streams)
        await world.knows(ENGINE)
        await settled(world)
        owner = owner_of(world, ENGINE)
        at = world.vms.index(owner)
        await owner.kill()
        others = [number for number in range(3) if number != at]
        async with asyncio.timeout(0.5):
            answers = await asyncio.gather(
                *(world.call('/draft/x', vm=number) for number in others)
            )
        assert all(answer.status == 200 for answer in answers)


async def test_slots_of_a_lost_vm_come_free() -> None:
    """Requests that wait at another VM are served after it died.

    One VM holds all four slots of the only runner and dies; its runs end
    with its connections. Its heartbeats stop, so the slots are free again.
    """

    async def until_left(seen: Seen) -> None:
        if seen.attempt.startswith('held'):
            seen.writer.write(seen.stream_head() + chunk(event(1)))
            await seen.left.wait()
        else:
            await streams(seen)

    async with playing(vms=2) as world:
        runner = await world.add_runner('r1', ENGINE, until_left)
        await world.knows(ENGINE)
        await settled(world)
        holder = world.vms.index(owner_of(world, ENGINE))
        other = 1 - holder
        callers = [await world.connect(holder) for _ in range(4)]
        for number, caller in enumerate(callers):
            await caller.send('/draft/x', attempt=f'held{number}')
        await wait_until(lambda: len(runner.seen) == 4, 'four runs')
        await asyncio.sleep(0.3)
        await world.vms[holder].kill()
        async with asyncio.timeout(1.5):
            answer = await world.call('/draft/x', vm=other, attempt='after')
        assert (answer.status, answer.whole) == (200, True)
        for caller in callers:
            caller.close()


async def test_a_vm_that_the_store_turns_away_hears_from_the_others() -> None:
    """Its callers are served by the new manifest and the new runner list.

    The store answers 429 to one VM and serves the other. A runner says that
    it leaves and a manifest is published; both reach the VM by the other's
    heartbeats, within the two seconds that the platform gives.
    """
    async with playing(vms=2) as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        cut = world.vms[1]
        _turn_away(cut)
        runner = world.runners['r1']
        world.store.put('keyed.servers', 'r1', runner.entry(PLAIN, 'draining'))
        world.publish(manifest(5))
        book = cut.entry.book
        await wait_until(
            lambda: (
                book.manifest is not None
                and book.manifest.version == 5
                and book.runners[PLAIN][0].state == 'leaving'
            ),
            'the news',
            limit_s=2,
        )


async def test_the_calls_to_the_store_do_not_grow_with_the_vms() -> None:
    """Two VMs read for all: five make no more calls than two would.

    A read of the manifest waits for 1.5 s and the runners are polled each
    0.7 s, by two VMs: about 4.2 calls a second.
    """
    async with playing(vms=5) as world:
        await asyncio.sleep(1)
        before = len(world.store.calls)
        await asyncio.sleep(3)
        assert len(world.store.calls) - before <= 3 * 4.2 * 1.5


async def test_runners_outlive_a_lapse_of_their_entries() -> None:
    """Callers are served while the store forgets its runners.

    The store is away for three seconds. On its return the entries have
    lapsed; the runners are back two seconds later.
    """
    async with playing() as world:
        runner = await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        world.store.status = 503
        await asyncio.sleep(3)
        world.store.topic('keyed.servers').put('r1', b'')
        world.store.status = None
        await asyncio.sleep(1.5)
        assert (await world.call('/book/x')).status == 200
        world.store.put('keyed.servers', 'r1', runner.entry(PLAIN))
        await asyncio.sleep(2)
        assert (await world.call('/book/x')).status == 200


async def test_a_runner_whose_entry_stays_away_is_gone() -> None:
    """Callers are refused once a lapsed entry had its time to return."""
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        world.store.topic('keyed.servers').put('r1', b'')
        await wait_until(
            lambda: not world.vms[0].entry.book.runners.get(PLAIN),
            'the runner gone',
            limit_s=2,
        )
        assert (await world.call('/book/x')).status == 503


async def test_a_planned_stop_cuts_no_request_off() -> None:
    """Callers get whole answers, and are told to connect elsewhere.

    A stream runs when the VM is told to stop. The VM leaves the directory at
    once, ends the stream, answers what still comes over kept connections
    with `Connection: close`, and then ends.
    """

    async def long(seen: Seen) -> None:
        seen.writer.write(seen.stream_head())
        for number in range(1, 11):
            seen.writer.write(chunk(event(number)))
            await asyncio.sleep(0.3)
        seen.writer.write(chunk(b''))

    async with playing(vms=2) as world:
        await world.add_runner('r1', ENGINE, long)
        await world.add_runner('r2', PLAIN)
        await world.knows(ENGINE)
        await world.knows(PLAIN)
        stopping = world.vms[0]
        streaming = asyncio.create_task(world.call('/draft/x'))
        kept = await world.connect()
        await kept.send('/read/x')
        assert 'connection' not in (await kept.answer()).headers
        draining = asyncio.create_task(stopping.entry.drain())
        await asyncio.sleep(0.3)
        assert len(world.vms[1].entry.front_addresses()) == 1
        assert len(stopping.entry.front_addresses()) == 1
        await kept.send('/read/x')
        answer = await kept.answer()
        assert answer.status == 200
        assert answer.headers['connection'] == 'close'
        assert (await streaming).whole
        await draining
        kept.close()


def _turn_away(vm: PlatformProcess) -> None:
    """Let a VM's calls to the store fail as if it answered 429."""
    store = vm.store
    store.close()
    # A port where nobody listens refuses at once, as a busy store does.
    store.port = 1
