"""Membership as nodes die, freeze, restart and lose each other."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from bramleybend.models import RunnerState, Vm
from bramleybend.state.member import Member, MemberState
from bramleybend.state.membership import Members
from bramleybend.state.records import FORGET_S, MAX_FILL, MAX_UPDATES, SLICE
from tests.utils.membership_play import Play

SIZES = [6, 50, 350]
NOTICED = (MemberState.SUSPECT, MemberState.DEAD)
DEAD = (MemberState.DEAD,)
# A peer's own record and the one of whom the message goes to come on top.
LARGEST = max(MAX_UPDATES + MAX_FILL, SLICE) + 2


def _member(index: int, **changes: Any) -> Member:
    fields: dict[str, Any] = {
        'vm': f'entry-{index}',
        'address': f'10.0.0.{index}',
        'domain': 'walton',
        'incarnation': f'{index}-a',
        'heartbeat': 100,
    }
    return Member(**(fields | changes))


def _members(now: float = 0) -> Members:
    return Members(_member(0), Random(1), now)


def _members_of(index: int) -> Members:
    return Members(_member(index), Random(index), 0)


def _states(members: Members, now: float) -> dict[str, MemberState]:
    return {record.vm: record.state for record in members.known(now)}


def _vm(index: int, state: RunnerState) -> Vm:
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
    """A VM vanishes without a word, and nothing answers at its address.

    The next node to probe it gets no answer, nor do its helpers; it suspects
    the VM and the news spreads. Nobody takes it back, so after the wait each
    node ranks owners without it. Until then its shards' asks time out and go
    to the fallback.
    """
    play = Play(size)
    play.run(20)
    victim = next(iter(play.nodes))
    play.kill(victim)

    noticed = play.run_until(
        lambda: play.believers(victim, NOTICED) == size - 1, 30
    )
    dead = play.run_until(lambda: play.believers(victim, DEAD) == size - 1, 30)

    assert noticed <= noticed_s
    assert noticed + dead <= dead_s


@pytest.mark.parametrize('size', SIZES)
def test_loss_alone_makes_nobody_dead(size: int) -> None:
    """One message in twenty is lost, for a minute, and nothing else is wrong.

    A probe or its answer is lost now and then, and sometimes all helpers'
    probes too. The suspect hears of it by the next probes and takes it back
    before the wait is over, so no shard changes hands.
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

    # A region lost and found is the most news there can be at once: four
    # probes, three doubts and three candidates a period, each answered, and
    # three helpers for each that fails.
    assert max(node.largest for node in play.nodes.values()) <= LARGEST
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
    """A VM dies and another starts at its address before anyone noticed.

    The newcomer's first messages carry a newer heartbeat, so each node that
    hears of it drops the old incarnation, whose tickets nobody will forward
    to the newcomer. The newcomer learns the others from their answers.
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
                for record in node.members.alive(play.now)
            )
            for node in play.nodes.values()
        ),
        30,
    )
    play.run(5)

    assert took < 8
    assert len(newcomer.members.alive(play.now)) >= 0.8 * size
    assert play.run_until(play.all_agree, 60) < 60


def test_a_newcomer_with_a_slow_clock_still_replaces_its_predecessor() -> None:
    """The new VM's wall clock is behind that of the one it replaces.

    Its first heartbeat is lower than its predecessor's, so others would hold
    its record to be old. It sees the predecessor's record in the answer,
    moves its heartbeat past it, and the next message takes the address over.
    """
    old = _member(1, heartbeat=500)
    peer = _members()
    peer.on_records([old], 0)
    newcomer = Members(_member(1, incarnation='1-b'), Random(2), 0)

    for now in (1, 2):
        reply = peer.on_message(newcomer.own.member, [], now)
        newcomer.on_records(reply, now)

    held = [rec.incarnation for rec in peer.alive(2) if rec.vm == 'entry-1']
    assert held == ['1-b']


@pytest.mark.parametrize('size', SIZES)
def test_a_frozen_vm_comes_back_and_blames_nobody(size: int) -> None:
    """A VM is paused for a minute, and its clock jumps when it goes on.

    The others declare it dead. When it wakes, all its own waits have run out;
    it counts them afresh, so it declares nobody dead, raises its heartbeat
    and is a member again. It kept its incarnation: nobody took its place.
    """
    play = Play(size)
    play.run(10)
    frozen = next(iter(play.nodes.values()))
    play.freeze(frozen.address, 60)
    play.run(59)
    assert play.believers(frozen.address, DEAD) == size - 1

    play.run(2.5)
    blamed = [
        record
        for record in frozen.members.known(play.now)
        if record.state is MemberState.DEAD
    ]

    assert frozen.members.pauses == 1
    assert not blamed
    assert play.run_until(play.all_agree, 30) < 30


@pytest.mark.parametrize('size', SIZES)
def test_a_cut_of_one_path_one_way_makes_nobody_dead(size: int) -> None:
    """One VM's messages to one other are lost; all other paths work.

    Its probes of that peer go unanswered, but its helpers reach the peer, so
    nobody is suspected, and the asks that time out go to the fallback.
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
def test_regions_that_lose_each_other_find_each_other_again(
    size: int, split_s: float, healed_s: float
) -> None:
    """Two regions lose each other for most of a minute.

    Each declares the other's VMs dead and owns all shards itself: two owners
    for a while, which costs goodput only. Each goes on trying the listed
    addresses. When the path heals, every VM hears that it was held dead, takes
    it back, and both sides rank the same owners again.
    """
    play = Play(size, domains=2)
    play.run(10)
    play.net.split = {addr: idx % 2 for idx, addr in enumerate(play.nodes)}

    def halved() -> bool:
        return all(
            len(node.members.alive(play.now)) == size / 2
            for node in play.nodes.values()
        )

    assert play.run_until(halved, 60) <= split_s
    play.run(30)
    assert halved()
    play.net.split = {}
    assert play.run_until(play.all_agree, 60) <= healed_s


def test_a_day_of_restarts_squeezed_into_minutes() -> None:
    """190 of 350 VMs are replaced, two a second: 900 times a day's rate.

    Each vanishes without a word and another starts at its address. Nobody
    else is declared dead, and soon after the last all views agree again.
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
    members = _members()
    members.on_records([_member(1), _member(2)], 0)

    members.on_unreachable('entry-1', 0)

    assert _states(members, 0)['entry-1'] is MemberState.SUSPECT
    # Whoever raised the suspicion asks the suspect itself next.
    assert members.tick(1)[0].target == '10.0.0.1'
    assert _states(members, 5)['entry-1'] is MemberState.DEAD


def test_a_suspect_takes_it_back_with_its_next_answer() -> None:
    suspect = Members(_member(1), Random(2), 0)
    members = _members()
    members.on_records([_member(1)], 0)
    members.on_unreachable('entry-1', 0)

    message = members.tick(1)[0]
    sender, *records = message.records
    members.on_records(suspect.on_message(sender, records, 1), 1)

    assert _states(members, 10)['entry-1'] is MemberState.ALIVE


def test_a_leaving_vm_owns_nothing_but_is_still_known() -> None:
    peer = Members(_member(1), Random(2), 0)
    members = _members()
    peer.leave()

    members.on_records([peer.own.member], 0)

    assert 'entry-1' not in {record.vm for record in members.alive(0)}
    assert _states(members, 0)['entry-1'] is MemberState.LEAVING


def test_a_vm_that_left_never_owns_again_while_it_is_buried() -> None:
    """A planned stop: the VM says it leaves, moves its shards and is gone.

    Probes then go unanswered. Were it suspected like any other, it would
    count as an owner again until its death, its shards would move back to
    nobody, and callers of low tiers would wait for two more takeovers.
    """
    members, peer = _members(), _members_of(1)
    peer.leave()
    members.on_message(peer.own.member, [], 1)
    members.on_unreachable('entry-1', 2)
    members.on_indirect_result('10.0.0.1', answered=False, now=3)
    suspected = replace(peer.own.member, state=MemberState.SUSPECT)
    members.on_records([suspected], 4)
    for now in range(4, 12):
        members.tick(now)
        assert [each.vm for each in members.alive(now)] == ['entry-0']
    assert _states(members, 12)['entry-1'] is MemberState.DEAD


def test_a_vm_leaves_when_the_list_says_so_of_itself() -> None:
    members = _members()
    members.learn_listed([_vm(0, RunnerState.LIVE)], 0)
    members.learn_listed([_vm(0, RunnerState.LEAVING)], 1)

    assert members.own.member.state is MemberState.LEAVING


def test_a_stale_list_does_not_turn_a_successor_away() -> None:
    members = _members()
    members.learn_listed([_vm(0, RunnerState.LEAVING)], 0)

    assert members.own.member.state is MemberState.ALIVE


def test_a_listed_vm_is_tried_but_no_member_until_it_answers() -> None:
    members = _members()
    members.learn_listed([_vm(1, RunnerState.LIVE)], 0)

    assert [sent.target for sent in members.tick(1)] == ['10.0.0.1']
    assert len(members.alive(1)) == 1


def test_a_dead_vm_is_forgotten_once_it_is_long_unlisted() -> None:
    members = _members()
    members.learn_listed([_vm(1, RunnerState.LIVE)], 0)
    members.on_records([_member(1, state=MemberState.SUSPECT)], 0)
    now = float(0)
    while now < FORGET_S:
        now += 1
        members.tick(now)
    assert 'entry-1' in _states(members, now)

    for _ in range(10):
        now += 1
        members.learn_listed([], now)
        members.tick(now)

    assert 'entry-1' not in _states(members, now)
