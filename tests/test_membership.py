"""Tests of membership when nodes die, freeze, restart or are partitioned."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from bramleybend.models import RunnerState, Vm
from bramleybend.state.member import Member, MemberState
from bramleybend.state.member_table import (
    DEAD_RETENTION_S,
    MAX_NEWCOMER_RECORDS,
    MAX_RANDOM_RECORDS,
    MAX_UPDATES,
)
from bramleybend.state.membership import Membership
from tests.utils.membership_play import Play

SIZES = [6, 50, 350]
NOTICED_STATES = (MemberState.SUSPECT, MemberState.DEAD)
DEAD_STATES = (MemberState.DEAD,)
# A message also has the records of its sender and its receiver.
MAX_MESSAGE_RECORDS = (
    max(MAX_UPDATES + MAX_RANDOM_RECORDS, MAX_NEWCOMER_RECORDS) + 2
)


def _make_member(index: int, **changes: Any) -> Member:
    fields: dict[str, Any] = {
        'vm': f'entry-{index}',
        'address': f'10.0.0.{index}',
        'domain': 'walton',
        'incarnation': f'{index}-a',
        'heartbeat': 100,
    }
    return Member(**(fields | changes))


def _make_membership(now: float = 0) -> Membership:
    return Membership(_make_member(0), Random(1), now)


def _make_membership_of(index: int) -> Membership:
    return Membership(_make_member(index), Random(index), 0)


def _states_by_vm(members: Membership, now: float) -> dict[str, MemberState]:
    return {record.vm: record.state for record in members.list_records(now)}


def _make_listed_vm(index: int, state: RunnerState) -> Vm:
    return Vm(
        f'entry-{index}', f'10.0.0.{index}', 1, 'bramleybend', 'walton', state
    )


@pytest.mark.parametrize(
    ('size', 'noticed_s', 'dead_s'),
    [(6, 3.5, 5.5), (50, 6, 8), (350, 7, 10)],
)
def test_all_notice_a_killed_vm(
    size: int, noticed_s: float, dead_s: float
) -> None:
    """A VM is killed, and nothing answers at its address.

    The next node that probes it gets no answer, directly or through helpers,
    and suspects the VM; the suspicion spreads. No node refutes it, so after
    the timeout each node ranks owners without the VM. Until then requests to
    the VM's shards time out and go to the fallback.
    """
    play = Play(size)
    play.run(20)
    victim = next(iter(play.nodes))
    play.kill(victim)

    noticed = play.run_until(
        lambda: play.believers(victim, NOTICED_STATES) == size - 1, 30
    )
    dead = play.run_until(
        lambda: play.believers(victim, DEAD_STATES) == size - 1, 30
    )

    assert noticed <= noticed_s
    assert noticed + dead <= dead_s


@pytest.mark.parametrize('size', SIZES)
def test_loss_alone_makes_nobody_dead(size: int) -> None:
    """One message in twenty is lost for a minute, without other faults.

    Sometimes a probe or its reply is lost, and all indirect probes too. The
    suspect learns of the suspicion by the next probes and refutes it before
    the timeout, so no shard changes its owner.
    """
    play = Play(size)
    play.run(5)
    play.net.loss = 0.05

    for _ in range(20):
        play.run(3)
        assert not play.held_dead()


@pytest.mark.parametrize('size', SIZES)
def test_messages_stay_bounded_and_few(size: int) -> None:
    play = Play(size)
    play.run(20)
    play.net.split = {addr: idx % 2 for idx, addr in enumerate(play.nodes)}
    play.run(10)
    play.net.split = {}
    play.run(10)

    # A partition that heals causes the largest number of updates: each period
    # has four probes, three probes of suspects and three of listed addresses,
    # each with a reply, and three indirect probes for each that fails.
    assert (
        max(node.largest for node in play.nodes.values()) <= MAX_MESSAGE_RECORDS
    )
    sent = sum(node.messages for node in play.nodes.values())
    assert sent / len(play.nodes) / play.now < 30


@pytest.mark.parametrize('size', SIZES)
def test_a_quiet_node_costs_the_same_at_any_size(size: int) -> None:
    play = Play(size)
    play.run(20)
    before = sum(node.messages for node in play.nodes.values())
    play.run(20)
    sent = sum(node.messages for node in play.nodes.values()) - before

    assert sent / size / 20 == pytest.approx(4, rel=0.1)


@pytest.mark.parametrize('size', SIZES)
def test_a_restarted_vm_replaces_its_predecessor_at_once(size: int) -> None:
    """A VM dies, and another starts at its address before a node notices.

    The new VM's first messages carry a higher heartbeat, so each node replaces
    the old incarnation's record. Otherwise requests under the old tickets
    would be forwarded to the new VM. It learns the members from the replies.
    """
    play = Play(size)
    play.run(20)
    victim = next(iter(play.nodes))
    play.kill(victim)
    newcomer = play.start(0)
    incarnation = newcomer.members.own.member.incarnation

    took = play.run_until(
        lambda: all(
            any(
                record.incarnation == incarnation
                for record in node.members.owner_candidates(play.now)
            )
            for node in play.nodes.values()
        ),
        30,
    )
    play.run(5)

    assert took < 8
    assert len(newcomer.members.owner_candidates(play.now)) >= 0.8 * size
    assert play.run_until(play.all_agree, 60) < 60


def test_a_newcomer_with_a_slow_clock_still_replaces_its_predecessor() -> None:
    """The new VM's wall clock is behind that of its predecessor.

    Its first heartbeat is lower than the predecessor's, so other nodes ignore
    its record. It gets the predecessor's record in the reply and raises its
    heartbeat above it, so that its next message replaces that record.
    """
    old = _make_member(1, heartbeat=500)
    peer = _make_membership()
    peer.on_records([old], 0)
    newcomer = Membership(_make_member(1, incarnation='1-b'), Random(2), 0)

    for now in (1, 2):
        reply = peer.on_message(newcomer.own.member, [], now)
        newcomer.on_records(reply, now)

    held = [
        rec.incarnation
        for rec in peer.owner_candidates(2)
        if rec.vm == 'entry-1'
    ]
    assert held == ['1-b']


@pytest.mark.parametrize('size', SIZES)
def test_a_paused_vm_rejoins_and_declares_no_other_dead(size: int) -> None:
    """A VM is paused for a minute, and its clock jumps when it resumes.

    The other nodes declare it dead. When it resumes, all its own timeouts have
    expired. It restarts them, so that it declares no other node dead, and
    raises its heartbeat to be a member again, with the same incarnation.
    """
    play = Play(size)
    play.run(10)
    frozen = next(iter(play.nodes.values()))
    play.freeze(frozen.address, 60)
    play.run(59)
    assert play.believers(frozen.address, DEAD_STATES) == size - 1

    play.run(2.5)
    blamed = [
        record
        for record in frozen.members.list_records(play.now)
        if record.state is MemberState.DEAD
    ]

    assert frozen.members.pause_count == 1
    assert not blamed
    assert play.run_until(play.all_agree, 30) < 30


@pytest.mark.parametrize('size', SIZES)
def test_a_cut_of_one_path_one_way_makes_nobody_dead(size: int) -> None:
    """The messages of one VM to one peer are lost; all other paths work.

    Its direct probes of the peer fail, but its helpers reach the peer, so no
    node is suspected. Requests that time out go to the fallback.
    """
    play = Play(size)
    first, second, *_ = play.nodes
    play.net.cut = {(first, second)}

    for _ in range(20):
        play.run(3)
        assert not play.held_dead()


@pytest.mark.parametrize(
    ('size', 'split_s', 'healed_s'),
    [(6, 8, 8), (50, 15, 15), (350, 25, 40)],
)
def test_regions_rejoin_after_a_partition(
    size: int, split_s: float, healed_s: float
) -> None:
    """Two regions are partitioned for most of a minute.

    Each region declares the other's VMs dead and owns all shards itself. Two
    owners of a shard cost goodput only. Both regions keep probing the listed
    addresses. When the partition heals, each VM learns that it was declared
    dead and refutes that, and both regions rank the same owners again.
    """
    play = Play(size, domains=2)
    play.run(10)
    play.net.split = {addr: idx % 2 for idx, addr in enumerate(play.nodes)}

    def halved() -> bool:
        return all(
            len(node.members.owner_candidates(play.now)) == size / 2
            for node in play.nodes.values()
        )

    assert play.run_until(halved, 60) <= split_s
    play.run(30)
    assert halved()
    play.net.split = {}
    assert play.run_until(play.all_agree, 60) <= healed_s


def test_a_day_of_restarts_squeezed_into_minutes() -> None:
    """190 of 350 VMs are replaced, two per second: 900 times a day's rate.

    Each VM is killed and another starts at its address. No other VM may be
    declared dead, and all views must agree soon after the last restart.
    """
    play = Play(350, domains=7)
    play.run(5)
    first = list(play.nodes)

    for index in range(190):
        play.kill(first[index])
        play.start(index)
        play.run(0.5)
        assert not play.held_dead() & set(first[index + 1 :])

    assert play.run_until(play.all_agree, 90) < 90


def test_a_refused_connection_is_suspected_at_once() -> None:
    members = _make_membership()
    members.on_records([_make_member(1), _make_member(2)], 0)

    members.on_unreachable('entry-1', 0)

    assert _states_by_vm(members, 0)['entry-1'] is MemberState.SUSPECT
    # The node that raised the suspicion probes the suspect next.
    assert members.tick(1)[0].target == '10.0.0.1'
    assert _states_by_vm(members, 5)['entry-1'] is MemberState.DEAD


def test_a_suspect_refutes_the_suspicion_in_its_next_reply() -> None:
    suspect = Membership(_make_member(1), Random(2), 0)
    members = _make_membership()
    members.on_records([_make_member(1)], 0)
    members.on_unreachable('entry-1', 0)

    message = members.tick(1)[0]
    sender, *records = message.records
    members.on_records(suspect.on_message(sender, records, 1), 1)

    assert _states_by_vm(members, 10)['entry-1'] is MemberState.ALIVE


def test_a_leaving_vm_owns_nothing_but_is_still_known() -> None:
    peer = Membership(_make_member(1), Random(2), 0)
    members = _make_membership()
    peer.leave()

    members.on_records([peer.own.member], 0)

    assert 'entry-1' not in {
        record.vm for record in members.owner_candidates(0)
    }
    assert _states_by_vm(members, 0)['entry-1'] is MemberState.LEAVING


def test_a_vm_that_left_owns_no_shards_until_declared_dead() -> None:
    """A VM stops as planned: it announces that, moves its shards and ends.

    Its probes then fail. If it were suspected like other members, it could
    own shards again until it is declared dead: its shards would move back to
    a VM that has stopped, and low tiers would wait for two more takeovers.
    """
    members, peer = _make_membership(), _make_membership_of(1)
    peer.leave()
    members.on_message(peer.own.member, [], 1)
    members.on_unreachable('entry-1', 2)
    members.on_indirect_result('10.0.0.1', answered=False, now=3)
    suspected = replace(peer.own.member, state=MemberState.SUSPECT)
    members.on_records([suspected], 4)
    for now in range(4, 12):
        members.tick(now)
        assert [each.vm for each in members.owner_candidates(now)] == [
            'entry-0'
        ]
    assert _states_by_vm(members, 12)['entry-1'] is MemberState.DEAD


def test_a_vm_leaves_when_the_list_says_so_of_itself() -> None:
    members = _make_membership()
    members.update_listed_vms([_make_listed_vm(0, RunnerState.LIVE)], 0)
    members.update_listed_vms([_make_listed_vm(0, RunnerState.LEAVING)], 1)

    assert members.own.member.state is MemberState.LEAVING


def test_a_stale_list_does_not_make_a_successor_leave() -> None:
    members = _make_membership()
    members.update_listed_vms([_make_listed_vm(0, RunnerState.LEAVING)], 0)

    assert members.own.member.state is MemberState.ALIVE


def test_a_listed_vm_is_tried_but_no_member_until_it_answers() -> None:
    members = _make_membership()
    members.update_listed_vms([_make_listed_vm(1, RunnerState.LIVE)], 0)

    assert [sent.target for sent in members.tick(1)] == ['10.0.0.1']
    assert len(members.owner_candidates(1)) == 1


def test_a_dead_vm_is_forgotten_once_it_is_long_unlisted() -> None:
    members = _make_membership()
    members.update_listed_vms([_make_listed_vm(1, RunnerState.LIVE)], 0)
    members.on_records([_make_member(1, state=MemberState.SUSPECT)], 0)
    now = float(0)
    while now < DEAD_RETENTION_S:
        now += 1
        members.tick(now)
    assert 'entry-1' in _states_by_vm(members, now)

    for _ in range(10):
        now += 1
        members.update_listed_vms([], now)
        members.tick(now)

    assert 'entry-1' not in _states_by_vm(members, now)
