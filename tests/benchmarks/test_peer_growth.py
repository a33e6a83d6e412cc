"""Traffic between VMs must not grow with the square of their number."""

from tests.benchmarks.capacity_peers import measure_peer_cost

# Without hubs, each VM sends a message to each other VM five times a second:
# by calculation 40 messages a second of each of 9 VMs, 145 of 30, 415 of 84.
# Measured with hubs: 41, 43 and 32 messages, and 7, 24 and 39 kB a second.
MAX_MESSAGES_PER_S = 50
MAX_BYTES_PER_S_PER_VM = 1000  # sent by one VM, for each VM in total


def test_messages_of_a_vm_do_not_grow_with_the_vms() -> None:
    """A VM on a slow link must not send more among 30 VMs than among 9."""
    small, large = (
        measure_peer_cost(9, seconds=2),
        measure_peer_cost(30, seconds=2),
    )
    assert small.messages_per_s <= MAX_MESSAGES_PER_S
    assert large.messages_per_s <= MAX_MESSAGES_PER_S
    assert (
        large.cross_domain_bytes_per_s <= small.cross_domain_bytes_per_s * 1.5
    )
    assert large.bytes_per_s <= large.vms * MAX_BYTES_PER_S_PER_VM
