"""Replays traces of the models against long-lived production objects.

The models rebuild their objects at each step. These tests keep one object for
a whole run, as a process does, and compare it with the model after each step.
"""

import random
from collections.abc import Iterator
from typing import Any

import pytest
from result import Ok

from bramleybend.clients.log_service import LogRecord
from bramleybend.decisions.actions import Grant, RunnerInfo
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.decisions.tier_floor import (
    FloorRound,
    FloorTimes,
    ShedPermits,
    TakeoverState,
)
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier
from bramleybend.state.journal_rules import HomeJournal, JournalView, NotRun
from bramleybend.state.terms_rules import TermsState
from spec import dispatch, floor, floor_state, terms
from spec.checking import Model
from spec.dispatch_rules import State as DispatchState
from spec.dispatch_rules import make_request_id, read_records

SEEDS = range(150)
STEPS = 40
TIMES = FloorTimes(
    floor_state.HOLD_TICKS,
    floor_state.MARGIN_TICKS,
    floor_state.FRESH_TICKS,
)
POOL = Service('bend-lm', ServiceKind.ENGINE, slots=2, shards=2)
LOWER_TIER_ASK = SlotRequest(
    request_id='draft',
    service=POOL.name,
    tier=Tier.NORMAL,
    workspace='sofia',
    cost=1,
    prompt_tokens=1,
    prefixes=(),
    deadline=10**6,
    cancellable=True,
)


def random_walk(model: Model, seed: int) -> Iterator[tuple[str, Any, Any]]:
    """Yield the label, old state and new state of each step of a random run."""
    rng = random.Random(seed)
    transitions = model.build('')
    before = model.initial
    for _ in range(STEPS):
        steps = transitions(before)
        if not steps:
            return
        label, after = rng.choice(steps)
        yield label, before, after
        before = after


@pytest.mark.parametrize('marked', [True, False])
def test_journal_follows_the_model(marked: bool) -> None:
    req = make_request_id(marked=marked)
    model = dispatch.MARKED if marked else dispatch.PLAIN
    not_run_count = 0
    for seed in SEEDS:
        home, peer = HomeJournal(), JournalView()
        may_dispatch = is_denied = False
        for label, before, after in random_walk(model, seed):
            if label == 'home reads its journal':
                unread = read_journal(after, home.next_offset, req)
                may_dispatch = str(req) in home.read(unread) or may_dispatch
                assert home.sealed == after.sealed
                assert may_dispatch == after.may_dispatch
            if label == 'another VM says not run':
                whole = JournalView()
                whole.add(read_journal(before, 0, req))
                assert isinstance(whole.fate(req), NotRun)
                not_run_count += 1
            peer.add(read_journal(after, peer.next_offset, req))
            is_denied = is_denied or isinstance(peer.fate(req), NotRun)
            assert not (is_denied and after.dispatch_count)
    assert not_run_count


def read_journal(state: DispatchState, start: int, req: Any) -> list[LogRecord]:
    return read_records(state.log, max(start, state.first_offset), req)


def test_terms_follow_the_model() -> None:
    renewal_count = 0
    for seed in SEEDS:
        vms = [TermsState(Ok), TermsState(Ok)]
        for label, before, after in random_walk(terms.TERMS, seed):
            index = 1 if label.startswith('VM 1') else 0
            if label.endswith('reads'):
                read_to_tail(vms[index], before)
            elif label.endswith('learns'):
                peer = vms[1 - index]
                vms[index].adopt_peer_state(
                    peer.version, peer.next_offset, peer.document
                )
            elif label.endswith('replaced'):
                vms[index] = TermsState(Ok)
            elif label.startswith('renewal'):
                renewal_count += 1
            vms.sort(key=terms.snapshot_terms)
            assert tuple(terms.snapshot_terms(vm) for vm in vms) == after.vms
    assert renewal_count


def read_to_tail(vm: TermsState, state: terms.State) -> None:
    vm.advance_first_offset(state.first_offset)
    for offset, record in enumerate(state.log):
        if offset >= max(vm.next_offset, state.first_offset):
            vm.apply(offset, terms.encode_record(record))


class FloorReplay:
    """Production objects for the owners and the caller of the floor models."""

    def __init__(self, *, watches_load: bool) -> None:
        self.watches_load = watches_load
        self.now = float(0)
        self.owners = [TakeoverState(times=TIMES) for _ in range(3)]
        self.policies = [make_policy() for _ in range(3)]
        self.permits = ShedPermits(TIMES)
        self.round: FloorRound | None = None
        self.old_rounds: list[FloorRound] = []

    def step(self, label: str, before: Any, after: Any) -> None:
        if label == 'a tick':
            self.now += 1
        elif label == 'B takes shard 1 over':
            # The owners' clocks are as fast as the model allows.
            self.owners[2] = TakeoverState(
                self.now - floor_state.DRIFT_TICKS,
                has_load_reports=self.watches_load,
                times=TIMES,
            )
            hold_s = TIMES.grace_s - floor_state.DRIFT_TICKS
            self.policies[2].set_floor(min(Tier), hold_s, self.now)
        elif label == 'the run is registered with B':
            self.owners[1].record_lost_run(self.now - floor_state.DRIFT_TICKS)
        elif label == 'a load report shows no surplus':
            self.owners[2].record_load_report(0, self.now)
        elif label == 'the caller opens a round':
            self.open_round(before)
        elif label.startswith('owner'):
            policy = self.policies['0AB'.index(label.split()[1])]
            policy.set_floor(
                Tier.HIGH,
                floor_state.HOLD_TICKS - floor_state.DRIFT_TICKS,
                self.now,
            )
        elif label.startswith('reply') and self.round:
            shard = int(label.split()[3])
            agrees = before.messages[shard] == 'ok'
            self.receive_reply(self.round, shard, lower_running=not agrees)
        elif label.startswith('old reply'):
            for old in self.old_rounds:
                self.receive_reply(
                    old, int(label.split()[3]), lower_running=False
                )
        self.compare(after)

    def open_round(self, before: floor_state.State) -> None:
        stale = before.taken_over and not (
            before.fresh_left or before.caller_knows
        )
        if self.round:
            self.old_rounds.append(self.round)
        self.round = self.permits.open_round(
            POOL.name,
            Tier.HIGH,
            frozenset({0, 1}),
            self.now,
            view_age=TIMES.max_view_age_s if stale else 0,
        )

    def receive_reply(
        self, opened: FloorRound, shard: int, *, lower_running: bool
    ) -> None:
        self.permits.handle_reply(
            opened,
            shard,
            self.now,
            settled=True,
            lower_running=int(lower_running),
        )

    def compare(self, state: floor_state.State) -> None:
        _, first, second = self.owners
        permit = self.permits.has_permit(POOL.name, Tier.HIGH, self.now)
        assert permit == bool(state.permit_left)
        assert self.would_start_lower(0) == (not state.floors_left[0])
        assert self.would_start_lower(1) == (not state.floors_left[1])
        assert first.is_settled(self.now) == (not state.lost_run_left)
        if state.taken_over:
            assert self.would_start_lower(2) == (
                not (state.grace_left or state.floors_left[2])
            )
            known = (
                state.load_clear if self.watches_load else not state.grace_left
            )
            assert second.is_settled(self.now) == known

    def would_start_lower(self, owner: int) -> bool:
        """Whether the owner would start a request of the lower tier."""
        policy = self.policies[owner]
        actions = policy.request_slot(LOWER_TIER_ASK, self.now)
        policy.withdraw(LOWER_TIER_ASK.request_id, self.now)
        return any(isinstance(action, Grant) for action in actions)


def make_policy() -> ShardPolicy:
    policy = make_shard_policy(POOL, random.Random(1))
    # Listed long before the first request, so that slow start has ended.
    policy.update_runners([RunnerInfo('engine-1')], -100)
    return policy


@pytest.mark.parametrize(
    'model',
    [floor.FLOOR, floor.TAKEOVER, floor.PLAIN_TAKEOVER],
    ids=lambda model: model.name,
)
def test_floor_follows_the_model(model: Model) -> None:
    permit_count = 0
    for seed in SEEDS:
        replay = FloorReplay(watches_load=model is not floor.PLAIN_TAKEOVER)
        for label, before, after in random_walk(model, seed):
            replay.step(label, before, after)
            permit_count += after.permit_left > 0
    assert permit_count
