"""Stateful tests of the id table and the terms, with fixed seeds."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.state.id_table import (
    OPEN_EPOCHS,
    IdTable,
    Known,
    New,
    TableLimits,
)
from bramleybend.state.terms_records import (
    PublishRecord,
    encode_publish,
    encode_renew,
)
from bramleybend.state.terms_rules import (
    Applied,
    PublishAccepted,
    PublishNotSeen,
    TermsState,
)
from bramleybend.state.tickets import RequestId, Ticket

LIMITS = TableLimits(epoch_s=10, grace_s=15, capacity=3)
SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)
INVALID_PROBLEM = Problem(
    ErrorKind.BAD_DECLARATION, 'no such profile', 'add it'
)


class IdTableMachine(RuleBasedStateMachine):
    """One table with late resends and clock readings that go back."""

    def __init__(self) -> None:
        super().__init__()
        self.table = IdTable[str]('a1', 100, LIMITS)
        self.now = float(100)
        self.ran: set[RequestId] = set()
        self.refused: set[RequestId] = set()

    @rule(seconds=st.floats(0, 12))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(
        back=st.integers(0, 3),
        own=st.sampled_from('abcd'),
        skew=st.sampled_from([0, 0, -40]),
    )
    def send(self, back: int, own: str, skew: int) -> None:
        epoch = max(0, self.table.current_epoch(self.now) - back)
        req = RequestId(Ticket('10.0.0.1', 80, 'a1', epoch), own)
        verdict = self.table.add(req, str(req), self.now + skew)
        if isinstance(verdict, New):
            assert req not in self.ran | self.refused
            self.ran.add(req)
        elif isinstance(verdict, Known):
            assert verdict.entry == str(req)
        elif req not in self.ran:
            self.refused.add(req)

    @rule(own=st.sampled_from('ab'))
    def send_foreign(self, own: str) -> None:
        for incarnation, epoch in (('b2', 0), ('a1', 10**6)):
            ticket = Ticket('10.0.0.1', 80, incarnation, epoch)
            verdict = self.table.add(RequestId(ticket, own), '', self.now)
            assert not isinstance(verdict, New | Known)

    @invariant()
    def memory_is_bounded(self) -> None:
        epochs = OPEN_EPOCHS + LIMITS.grace_s // LIMITS.epoch_s + 2
        assert len(self.table) <= epochs * LIMITS.capacity


def validate_document(document: str) -> Result[str, Problem]:
    return Err(INVALID_PROBLEM) if document == 'invalid' else Ok(document)


class TermsMachine(RuleBasedStateMachine):
    """Several VMs read a log that duplicates, delays and drops records."""

    publishes = Bundle('publishes')
    renewals = Bundle('renewals')

    def __init__(self) -> None:
        super().__init__()
        self.log: list[str] = []
        self.first_offset = 0
        self.publish_count = 0
        self.complete = TermsState(validate_document)  # has read every record
        self.accepted: set[str] = set()
        self.vms = [TermsState(validate_document) for _ in range(3)]
        self.history = {0: (0, '')}  # terms in force before each offset

    @rule(target=publishes, document=st.sampled_from(['a', 'b', 'invalid']))
    def publish(self, document: str) -> tuple[str, str]:
        self.publish_count += 1
        name = f'publish-{self.publish_count}'
        text = encode_publish(name, self.complete.version, document, 'ana')
        return name, text

    @rule(published=publishes)
    def land_publish(self, published: tuple[str, str]) -> None:
        self.append(published[1])

    @rule(text=st.sampled_from(['', '{', '{"v":2}', '{"v":1,"kind":"x"}']))
    def land_bad_record(self, text: str) -> None:
        before = self.complete.version
        self.append(text)
        assert self.complete.version == before

    @rule(target=renewals, index=st.integers(0, 2))
    def renew(self, index: int) -> str | None:
        return self.vms[index].build_renewal()

    @rule(text=renewals)
    def land_renewal(self, text: str | None) -> None:
        if text is not None:
            self.append(text)

    @rule(index=st.integers(0, 2), limit=st.integers(1, 5))
    def read(self, index: int, limit: int) -> None:
        vm = self.vms[index]
        before = vm.version
        start = max(vm.next_offset, self.first_offset)
        vm.advance_first_offset(self.first_offset)
        for offset, text in enumerate(self.log[start : start + limit], start):
            vm.apply(offset, text)
        assert vm.version >= before

    @rule(index=st.integers(0, 2), other=st.integers(0, 2))
    def adopt_from_peer(self, index: int, other: int) -> None:
        peer = self.vms[other]
        before = self.vms[index].version
        self.vms[index].adopt_peer_state(
            peer.version, peer.next_offset, peer.document
        )
        assert self.vms[index].version >= before

    @rule(index=st.integers(0, 2))
    def replace_vm(self, index: int) -> None:
        self.vms[index] = TermsState(validate_document)

    @rule(kept=st.integers(0, 4))
    def drop_records(self, kept: int) -> None:
        self.first_offset = max(self.first_offset, len(self.log) - kept)

    @rule(published=publishes)
    def check_outcome(self, published: tuple[str, str]) -> None:
        accepted = published[0] in self.accepted
        for vm in (self.complete, *self.vms):
            told = vm.publish_outcome(published[0])
            if not isinstance(told, PublishNotSeen):
                assert isinstance(told, PublishAccepted) == accepted

    @invariant()
    def every_vm_holds_what_the_log_says(self) -> None:
        for vm in self.vms:
            assert (vm.version, vm.document) == self.history[vm.next_offset]

    def append(self, text: str) -> None:
        version = self.complete.version
        verdict = self.complete.apply(len(self.log), text)
        assert self.complete.version == version + isinstance(verdict, Applied)
        if isinstance(verdict, Applied):
            self.accepted.add(
                PublishRecord.model_validate_json(text).publish_id
            )
        self.log.append(text)
        state = (self.complete.version, self.complete.document)
        self.history[len(self.log)] = state


def test_publish_on_a_version_not_there_yet_is_ignored() -> None:
    terms = TermsState(validate_document)
    terms.apply(0, encode_publish('p', 5, 'a', 'ana'))

    assert (terms.version, terms.publish_outcome('p')) == (0, PublishNotSeen())


def test_vm_that_starts_late_does_not_revert_to_an_overtaken_renewal() -> None:
    """A VM doesn't revert to terms that were replaced.

    A VM renews version 1, but version 2 lands before the renewal. The log then
    drops all records but the renewal. If a new VM adopted the renewal, it
    would serve callers under version 1 again.
    """
    old = TermsState(validate_document)
    old.apply(0, encode_publish('p', 0, 'a', 'ana'))
    overtaken = str(old.build_renewal())
    old.apply(1, encode_publish('q', 1, 'b', 'boyan'))
    old.apply(2, overtaken)
    fresh = TermsState(validate_document)
    fresh.advance_first_offset(2)
    fresh.apply(2, overtaken)
    assert (fresh.version, fresh.is_gapless) == (0, False)

    fresh.apply(3, str(old.build_renewal()))
    assert (fresh.version, fresh.document, fresh.is_gapless) == (2, 'b', True)


def test_terms_put_back_by_an_operator_hold_for_old_and_new_vms() -> None:
    old, fresh = TermsState(validate_document), TermsState(validate_document)
    old.apply(0, encode_publish('p', 0, 'a', 'ana'))
    fresh.advance_first_offset(1)
    for vm in (old, fresh):
        vm.apply(1, encode_renew(7, 'b', 1))
        assert (vm.version, vm.document, vm.is_gapless) == (7, 'b', True)


TestIdTable = IdTableMachine.TestCase
TestIdTable.settings = SETTINGS
TestTerms = TermsMachine.TestCase
TestTerms.settings = SETTINGS
