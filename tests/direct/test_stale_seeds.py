"""Entry VMs find each other although their seeds are stale."""

from tests.direct.cluster import running_cluster
from tests.utils.waiting import wait_until

# Nothing listens there.
STALE_SEEDS = '127.0.0.250:1,127.0.0.251:1'


async def test_a_vm_with_stale_seeds_joins_the_others() -> None:
    """A VM whose seeds are gone must not admit as if it were alone."""
    async with running_cluster(vms=2) as cluster:
        cluster.extra_settings = {'seeds': STALE_SEEDS}
        await cluster.add_vm()
        await wait_until(
            lambda: all(vm.entry.members.count() == 3 for vm in cluster.vms),
            'the added VM is a member everywhere',
        )


async def test_vms_that_start_together_need_no_seeds() -> None:
    """A fleet whose seeds are all gone must not split into single VMs."""
    async with running_cluster(vms=3, seeds=STALE_SEEDS) as cluster:
        assert [vm.entry.members.count() for vm in cluster.vms] == [3, 3, 3]
