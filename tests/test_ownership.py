"""Owners of shards as VMs join, leave and restart."""

from collections import Counter

import pytest

from bramleybend.decisions.ownership import rank_owners, shard_of
from bramleybend.state.member import Member

SERVICES = [f'model-{index}' for index in range(18)]
SHARDS = 40


def _members(size: int, domains: int) -> list[Member]:
    return [
        Member(
            vm=f'entry-{index}',
            address=f'10.0.0.{index}',
            domain=f'domain-{index % domains}',
            incarnation=f'{index}',
        )
        for index in range(size)
    ]


def _owners(members: list[Member]) -> dict[tuple[str, int], str]:
    return {
        (service, shard): rank_owners(service, shard, members)[0].vm
        for service in SERVICES
        for shard in range(SHARDS)
    }


def test_runners_spread_evenly_over_shards() -> None:
    counts = Counter(shard_of(f'runner-{idx}', 75) for idx in range(1200))

    assert len(counts) == 75
    assert max(counts.values()) <= 32


@pytest.mark.parametrize(('size', 'domains'), [(6, 3), (50, 3), (100, 7)])
def test_a_lost_vm_moves_only_its_own_shards(size: int, domains: int) -> None:
    members = _members(size, domains)
    before = _owners(members)
    after = _owners(members[1:])

    moved = [key for key, owner in before.items() if after[key] != owner]

    assert all(before[key] == 'entry-0' for key in moved)
    assert len(moved) / len(before) < 2.5 / size


def test_a_new_vm_takes_only_its_own_share() -> None:
    members = _members(50, 3)
    before = _owners(members[1:])
    after = _owners(members)

    moved = {key for key in before if before[key] != after[key]}

    assert {after[key] for key in moved} == {'entry-0'}
    assert len(moved) / len(before) < 2.5 / 50


def test_a_restarted_vm_gets_its_own_shards_back() -> None:
    members = _members(6, 3)
    first = members[0]
    restarted = Member(
        first.vm, first.address, first.domain, 'next', heartbeat=9
    )

    assert _owners([restarted, *members[1:]]) == _owners(members)


def test_the_order_in_which_members_are_known_does_not_matter() -> None:
    members = _members(6, 3)

    assert _owners(members[::-1]) == _owners(members)


def test_the_first_fallback_stands_in_another_domain() -> None:
    members = _members(50, 3)

    for service in SERVICES:
        owner, fallback, *_ = rank_owners(service, 0, members)
        assert owner.domain != fallback.domain


def test_one_domain_alone_still_has_fallbacks() -> None:
    members = _members(4, 1)

    assert len(rank_owners('model-0', 0, members)) == 4


def test_nobody_owns_a_shard_while_no_member_is_known() -> None:
    assert not rank_owners('model-0', 0, [])
