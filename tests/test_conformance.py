"""Traces of the models, replayed against long-lived production objects.

The models rebuild small states at each step; these tests hold one object over
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
from bramleybend.state.terms_rules import TermsLog
from spec import dispatch, floor, floor_state, terms
from spec.checking import Model
from spec.dispatch_rules import State as DispatchState
from spec.dispatch_rules import records, request

SEEDS = range(150)
STEPS = 40
TIMES = FloorTimes(floor_state.HOLD, floor_state.MARGIN, floor_state.FRESH)
POOL = Service('bend-lm', ServiceKind.ENGINE, slots=2, shards=2)
LOWER = SlotRequest(
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


def walk(model: Model, seed: int) -> Iterator[tuple[str, Any, Any]]:
    """Yield label, state before and state after of one random run."""
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
    req = request(marked=marked)
    model = dispatch.MARKED if marked else dispatch.PLAIN
    not_run = 0
    for seed in SEEDS:
        home, peer = HomeJournal(), JournalView()
        right = denied = False
        for label, before, after in walk(model, seed):
            if label == 'home reads its journal':
                fresh = read(after, home.next_offset, req)
                right = str(req) in home.read(fresh) or right
                assert home.sealed == after.sealed
                assert right == after.right
            if label == 'another VM says not run':
                whole = JournalView()
                whole.add(read(before, 0, req))
                assert isinstance(whole.fate(req), NotRun)
                not_run += 1
            peer.add(read(after, peer.next_offset, req))
            denied = denied or isinstance(peer.fate(req), NotRun)
            assert not (denied and after.ran)
    assert not_run


def read(state: DispatchState, start: int, req: Any) -> list[LogRecord]:
    return records(state.log, max(start, state.first), req)


def test_terms_follow_the_model() -> None:
    renewed = 0
    for seed in SEEDS:
        vms = [TermsLog(Ok), TermsLog(Ok)]
        for label, before, after in walk(terms.TERMS, seed):
            index = 1 if label.startswith('VM 1') else 0
            if label.endswith('reads'):
                read_on(vms[index], before)
            elif label.endswith('learns'):
                peer = vms[1 - index]
                vms[index].learn(peer.version, peer.position, peer.document)
            elif label.endswith('replaced'):
                vms[index] = TermsLog(Ok)
            elif label.startswith('renewal'):
                renewed += 1
            vms.sort(key=terms.dump)
            assert tuple(terms.dump(vm) for vm in vms) == after.vms
    assert renewed


def read_on(vm: TermsLog, state: terms.State) -> None:
    vm.see_first_offset(state.forgotten)
    for offset, record in enumerate(state.log):
        if offset >= max(vm.position, state.forgotten):
            vm.apply(offset, terms.encode(record))


class FloorReplay:
    """The owners and the caller of the floor's models, as real objects."""

    def __init__(self, *, load: bool) -> None:
        self.load = load
        self.now = float(0)
        self.owners = [TakeoverState(times=TIMES) for _ in range(3)]
        self.policies = [make_policy() for _ in range(3)]
        self.permits = ShedPermits(TIMES)
        self.round: FloorRound | None = None
        self.old: list[FloorRound] = []

    def step(self, label: str, before: Any, after: Any) -> None:
        if label == 'a tick':
            self.now += 1
        elif label == 'B takes shard 1 over':
            # Owners' clocks are fast, by as much as the model lets them be.
            self.owners[2] = TakeoverState(
                self.now - floor_state.DRIFT,
                has_load_reports=self.load,
                times=TIMES,
            )
            hold_s = TIMES.grace_s - floor_state.DRIFT
            self.policies[2].set_floor(min(Tier), hold_s, self.now)
        elif label == 'the run is registered with B':
            self.owners[1].record_lost_run(self.now - floor_state.DRIFT)
        elif label == 'a load report shows no surplus':
            self.owners[2].record_load_report(0, self.now)
        elif label == 'the caller opens a round':
            self.open_round(before)
        elif label.startswith('owner'):
            policy = self.policies['0AB'.index(label.split()[1])]
            policy.set_floor(
                Tier.HIGH, floor_state.HOLD - floor_state.DRIFT, self.now
            )
        elif label.startswith('reply') and self.round:
            shard = int(label.split()[3])
            agrees = before.asked[shard] == 'ok'
            self.reply(self.round, shard, lower_running=not agrees)
        elif label.startswith('old reply'):
            for old in self.old:
                self.reply(old, int(label.split()[3]), lower_running=False)
        self.compare(after)

    def open_round(self, before: floor_state.State) -> None:
        stale = before.taken and not (before.fresh or before.caller_knows)
        if self.round:
            self.old.append(self.round)
        self.round = self.permits.open_round(
            POOL.name,
            Tier.HIGH,
            frozenset({0, 1}),
            self.now,
            view_age=TIMES.max_view_age_s if stale else 0,
        )

    def reply(
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
        assert permit == bool(state.permit)
        assert self.starts(0) == (not state.floors[0])
        assert self.starts(1) == (not state.floors[1])
        assert first.is_settled(self.now) == (not state.lost_run)
        if state.taken:
            assert self.starts(2) == (not (state.grace or state.floors[2]))
            known = state.load_clear if self.load else not state.grace
            assert second.is_settled(self.now) == known

    def starts(self, owner: int) -> bool:
        """Whether the owner would start a request of the lower tier."""
        policy = self.policies[owner]
        actions = policy.request_slot(LOWER, self.now)
        policy.withdraw(LOWER.request_id, self.now)
        return any(isinstance(action, Grant) for action in actions)


def make_policy() -> ShardPolicy:
    policy = make_shard_policy(POOL, random.Random(1))
    # Listed long before the first ask, so that slow start is over.
    policy.update_runners([RunnerInfo('engine-1')], -100)
    return policy


@pytest.mark.parametrize(
    'model',
    [floor.FLOOR, floor.TAKEOVER, floor.PLAIN_TAKEOVER],
    ids=lambda model: model.name,
)
def test_floor_follows_the_model(model: Model) -> None:
    permits = 0
    for seed in SEEDS:
        replay = FloorReplay(load=model is not floor.PLAIN_TAKEOVER)
        for label, before, after in walk(model, seed):
            replay.step(label, before, after)
            permits += after.permit > 0
    assert permits
