"""Several entry VMs: owners, changes in the store, planned stops."""

import asyncio
from collections import Counter

from bramleybend.direct.service_queue import UNCONFIRMED_RUN_TTL_S
from bramleybend.platform.platform_process import PlatformProcess
from tests.direct.cluster import (
    ENGINE,
    PLAIN,
    Cluster,
    manifest,
    running_cluster,
)
from tests.utils.raw_runner import Seen, chunk, event, streams
from tests.utils.waiting import wait_until


async def brief(seen: Seen) -> None:
    """Stream two events within 100 ms."""
    seen.writer.write(seen.stream_head() + chunk(event(1)))
    await asyncio.sleep(0.1)
    seen.writer.write(chunk(event(2)) + chunk(b''))


def owner_of(cluster: Cluster, service: str) -> PlatformProcess:
    """Return the VM that owns a service's queue."""
    now = cluster.vms[0].entry.catalog.now()
    found = [
        vm
        for vm in cluster.vms
        if vm.entry.members.owner(service, now, can_own=True) is None
    ]
    assert len(found) == 1
    return found[0]


async def wait_until_settled(cluster: Cluster) -> None:
    """Wait until the VMs agree on one owner."""
    await asyncio.sleep(1.2)
    await wait_until(lambda: bool(owner_of(cluster, ENGINE)), 'one owner')


async def test_a_runner_is_given_no_more_than_its_slots_by_all_vms() -> None:
    """No runner ever has more than its four slots in use.

    Three VMs receive 24 requests at once. One owner grants all slots, so that
    the queue decides the order under load and not the engine.
    """
    running: Counter[str] = Counter()
    max_running: Counter[str] = Counter()

    async def counted(seen: Seen) -> None:
        name = seen.headers['x-bramleybend-expect-instance']
        running[name] += 1
        max_running[name] = max(max_running[name], running[name])
        await brief(seen)
        running[name] -= 1

    async with running_cluster(vms=3) as cluster:
        for name in ('r1', 'r2'):
            await cluster.add_runner(name, ENGINE, counted)
        await cluster.wait_for_runners(ENGINE, 2)
        await wait_until_settled(cluster)
        answers = await asyncio.gather(
            *(
                cluster.call('/draft/x', vm=number % 3, attempt=f'a{number}')
                for number in range(24)
            )
        )
        assert all(answer.status == 200 for answer in answers)
        assert all(answer.is_whole for answer in answers)
        assert max(max_running.values()) <= 4
        assert len(max_running) == 2


async def test_a_long_run_keeps_its_slot() -> None:
    """A VM's own runs keep their slots without being confirmed.

    One VM is its own owner. Four streams last longer than a grant may stay
    unconfirmed by heartbeats; a fifth and a sixth request wait for them to end.
    """
    gate = asyncio.Event()

    async def behave(seen: Seen) -> None:
        await gate.wait()
        await streams(seen)

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', ENGINE, behave)
        await cluster.wait_for_runners(ENGINE)
        calls = [
            asyncio.create_task(
                cluster.call(
                    '/draft/x', attempt=f'a{number}', body=b'%d' % number
                )
            )
            for number in range(6)
        ]
        await asyncio.sleep(UNCONFIRMED_RUN_TTL_S * 2)
        assert len(runner.seen) == 4
        gate.set()
        assert [(await call).status for call in calls] == [200] * 6


async def test_the_loss_of_an_owner_costs_callers_little() -> None:
    """After an owner's crash, callers of other VMs are served within 0.5 s.

    The owner of an engine service dies. A VM whose slot request it doesn't
    answer grants the slot itself.
    """
    async with running_cluster(vms=3) as cluster:
        await cluster.add_runner('r1', ENGINE, streams)
        await cluster.wait_for_runners(ENGINE)
        await wait_until_settled(cluster)
        owner = owner_of(cluster, ENGINE)
        owner_index = cluster.vms.index(owner)
        await owner.kill()
        others = [number for number in range(3) if number != owner_index]
        async with asyncio.timeout(0.5):
            answers = await asyncio.gather(
                *(cluster.call('/draft/x', vm=number) for number in others)
            )
        assert all(answer.status == 200 for answer in answers)


async def test_slots_of_a_lost_vm_come_free() -> None:
    """The slots of a crashed VM are released.

    One VM holds all four slots of the only runner and crashes. Its runs end
    with its connections, and without its heartbeats its slots are free for
    requests at the other VM.
    """

    async def until_left(seen: Seen) -> None:
        if seen.attempt.startswith('held'):
            seen.writer.write(seen.stream_head() + chunk(event(1)))
            await seen.left.wait()
        else:
            await streams(seen)

    async with running_cluster(vms=2) as cluster:
        runner = await cluster.add_runner('r1', ENGINE, until_left)
        await cluster.wait_for_runners(ENGINE)
        await wait_until_settled(cluster)
        holder = cluster.vms.index(owner_of(cluster, ENGINE))
        other = 1 - holder
        callers = [await cluster.connect(holder) for _ in range(4)]
        for number, caller in enumerate(callers):
            await caller.send('/draft/x', attempt=f'held{number}')
        await wait_until(lambda: len(runner.seen) == 4, 'four runs')
        await asyncio.sleep(0.3)
        await cluster.vms[holder].kill()
        async with asyncio.timeout(1.5):
            answer = await cluster.call('/draft/x', vm=other, attempt='after')
        assert (answer.status, answer.is_whole) == (200, True)
        for caller in callers:
            caller.close()


async def test_a_vm_that_the_store_turns_away_hears_from_the_others() -> None:
    """A VM that the store rejects follows the logs through other VMs.

    The store answers 429 to one of two VMs. A runner starts to leave and a
    manifest is published; both changes reach that VM through the heartbeats of
    the other one, within the two seconds that the platform allows.
    """
    async with running_cluster(vms=2) as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        cut = cluster.vms[1]
        _reject_store_calls(cut)
        runner = cluster.runners['r1']
        cluster.store.put(
            'keyed.servers', 'r1', runner.entry(PLAIN, 'draining')
        )
        cluster.publish(manifest(5))
        catalog = cut.entry.catalog
        await wait_until(
            lambda: (
                catalog.manifest is not None
                and catalog.manifest.version == 5
                and catalog.runners_by_service[PLAIN][0].state == 'leaving'
            ),
            'the news',
            limit_s=2,
        )


async def test_the_calls_to_the_store_do_not_grow_with_the_vms() -> None:
    """Two VMs read the store for all, so five VMs make as many calls as two.

    A read of the manifest waits for 1.5 s and the runner list is polled each
    0.7 s, by two VMs: about 4.2 calls a second.
    """
    async with running_cluster(vms=5) as cluster:
        await asyncio.sleep(1)
        before = len(cluster.store.calls)
        await asyncio.sleep(3)
        assert len(cluster.store.calls) - before <= 3 * 4.2 * 1.5


async def test_runners_outlive_a_lapse_of_their_entries() -> None:
    """Callers are served although all runner entries expire in an outage.

    The store is down for three seconds. When it is back, the entries have
    expired; the runners register again two seconds later.
    """
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        cluster.store.status = 503
        await asyncio.sleep(3)
        cluster.store.topic('keyed.servers').put('r1', b'')
        cluster.store.status = None
        await asyncio.sleep(1.5)
        assert (await cluster.call('/book/x')).status == 200
        cluster.store.put('keyed.servers', 'r1', runner.entry(PLAIN))
        await asyncio.sleep(2)
        assert (await cluster.call('/book/x')).status == 200


async def test_a_runner_whose_entry_stays_away_is_gone() -> None:
    """A runner whose expired entry doesn't return is no longer used."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        cluster.store.topic('keyed.servers').put('r1', b'')
        await wait_until(
            lambda: (
                not cluster.vms[0].entry.catalog.runners_by_service.get(PLAIN)
            ),
            'the runner gone',
            limit_s=2,
        )
        assert (await cluster.call('/book/x')).status == 503


async def test_a_planned_stop_cuts_no_request_off() -> None:
    """Requests in flight complete, and callers are told to connect elsewhere.

    A stream is in progress when the VM is told to stop. The VM leaves the
    directory at once, completes the stream, answers requests on open
    connections with `Connection: close`, and then ends.
    """

    async def long(seen: Seen) -> None:
        seen.writer.write(seen.stream_head())
        for number in range(1, 11):
            seen.writer.write(chunk(event(number)))
            await asyncio.sleep(0.3)
        seen.writer.write(chunk(b''))

    async with running_cluster(vms=2) as cluster:
        await cluster.add_runner('r1', ENGINE, long)
        await cluster.add_runner('r2', PLAIN)
        await cluster.wait_for_runners(ENGINE)
        await cluster.wait_for_runners(PLAIN)
        stopping = cluster.vms[0]
        streaming = asyncio.create_task(cluster.call('/draft/x'))
        caller = await cluster.connect()
        await caller.send('/read/x')
        assert 'connection' not in (await caller.answer()).headers
        draining = asyncio.create_task(stopping.entry.drain())
        await asyncio.sleep(0.3)
        assert len(cluster.vms[1].entry.front_addresses()) == 1
        assert len(stopping.entry.front_addresses()) == 1
        await caller.send('/read/x')
        answer = await caller.answer()
        assert answer.status == 200
        assert answer.headers['connection'] == 'close'
        assert (await streaming).is_whole
        await draining
        caller.close()


def _reject_store_calls(vm: PlatformProcess) -> None:
    """Make a VM's calls to the store fail as if it answered 429."""
    store = vm.store
    store.close()
    # Connections to a port without a listener fail at once, as calls to a busy
    # store do.
    store.port = 1
