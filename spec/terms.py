"""Model of the terms: racing operators, lost replies, renewals, log gaps.

Each VM uses the production `TermsState`. Its expected content comes from
`expected_terms`, a separate short implementation that reads the whole log,
including the records that the log has dropped.
"""

from collections import OrderedDict
from collections.abc import Iterator
from functools import lru_cache
from typing import Final, NamedTuple, TypeAlias

from result import Ok

from bramleybend.state.terms_records import (
    RenewRecord,
    encode_publish,
    encode_renew,
)
from bramleybend.state.terms_rules import (
    PublishAccepted,
    PublishConflict,
    TermsState,
)
from spec.checking import Model, Step, Transitions
from spec.terms_mutants import TERMS_VARIANTS

MAX_LOG: Final = 4
PUBLISHERS: Final = ('ana', 'boyan')
CORRUPT: Final = '{"v":1,"kind":"publ'
# A publish is (operator, base); a renewal is (document, version, offset).
Publish: TypeAlias = tuple[str, int]
Renewal: TypeAlias = tuple[str, int, int]
Record: TypeAlias = Publish | Renewal


class VmState(NamedTuple):
    """The contents of one VM's `TermsState`."""

    version: int = 0
    document: str = ''
    next_offset: int = 0
    first_offset: int = 0
    winners: tuple[tuple[int, str], ...] = ()


class State(NamedTuple):
    """The log, the appends in flight, two VMs and what operators were told."""

    log: tuple[Record, ...] = ()
    first_offset: int = 0
    in_flight: tuple[Record, ...] = ()
    vms: tuple[VmState, ...] = (VmState(), VmState())
    reverted: bool = False
    misreported: bool = False  # an operator got a wrong result
    told_lost: bool = False


def encode_record(record: Record) -> str:
    """Return the production record."""
    if len(record) == 3:
        return encode_renew(record[1], record[0], record[2])
    operator, base = record
    if operator not in PUBLISHERS:
        return CORRUPT
    return encode_publish(operator, base, document_of(record), operator)


def document_of(publish: Publish) -> str:
    """Return a document that is unique to the publish."""
    return f'{publish[0]} on {publish[1]}'


@lru_cache(maxsize=None)
def expected_terms(log: tuple[Record, ...]) -> tuple[int, str]:
    """Return version and document that the whole log puts in force."""
    version, document = 0, ''
    for record in log:
        if len(record) == 2 and record[1] == version:
            version, document = version + 1, document_of(record)
    return version, document


@lru_cache(maxsize=None)
def was_accepted(log: tuple[Record, ...], operator: str) -> bool:
    """Whether a publish of the operator has been in force."""
    return any(
        expected_terms(log[: at + 1])[1] != expected_terms(log[:at])[1]
        and record[0] == operator
        for at, record in enumerate(log)
    )


def restore_terms(vm: VmState, mutant: str) -> TermsState:
    """Return a `TermsState` with the VM's contents."""
    terms = TERMS_VARIANTS[mutant](Ok)
    terms.version, terms.document = vm.version, vm.document
    terms.next_offset, terms._first_offset = vm.next_offset, vm.first_offset
    terms._winners = OrderedDict(
        (version, PublishConflict(by, by, version))
        for version, by in vm.winners
    )
    return terms


def snapshot_terms(terms: TermsState) -> VmState:
    """Return the contents of a `TermsState`."""
    return VmState(
        terms.version,
        terms.document,
        terms.next_offset,
        0 if terms.is_gapless else terms._first_offset,
        tuple((at, won.publish_id) for at, won in terms._winners.items()),
    )


@lru_cache(maxsize=None)
def read_to_tail(
    vm: VmState,
    log: tuple[Record, ...],
    first_offset: int,
    mutant: str,
) -> tuple[VmState, tuple[str, ...]]:
    """Let a VM read to the tail; also return what operators are told."""
    terms = restore_terms(vm, mutant)
    terms.advance_first_offset(first_offset)
    for offset, record in list(enumerate(log))[first_offset:]:
        if offset >= terms.next_offset:
            terms.apply(offset, encode_record(record))
    outcomes = [terms.publish_outcome(operator) for operator in PUBLISHERS]
    told = tuple(
        'accepted'
        if isinstance(outcome, PublishAccepted)
        else 'lost' * isinstance(outcome, PublishConflict)
        for outcome in outcomes
    )
    return snapshot_terms(terms), told


@lru_cache(maxsize=None)
def adopt_from_peer(vm: VmState, peer: VmState, mutant: str) -> VmState | None:
    """Let a VM adopt its peer's state; return None if nothing changes."""
    terms = restore_terms(vm, mutant)
    is_adopted = terms.adopt_peer_state(
        peer.version, peer.next_offset, peer.document
    )
    return snapshot_terms(terms) if is_adopted else None


@lru_cache(maxsize=None)
def build_renewal(vm: VmState, mutant: str) -> Renewal | None:
    """Return the renewal that a VM would append, if any."""
    text = restore_terms(vm, mutant).build_renewal()
    if text is None:
        return None
    record = RenewRecord.model_validate_json(text)
    return record.document, record.version, record.at


@lru_cache(maxsize=None)
def is_truthful(log: tuple[Record, ...], told: tuple[str, ...]) -> bool:
    """Whether the results that operators are told are final and correct."""
    version = expected_terms(log)[0]
    for operator, reply in zip(PUBLISHERS, told, strict=True):
        is_accepted = was_accepted(log, operator)
        bases = [it[1] for it in log if it[0] == operator]
        if reply == 'accepted' and not is_accepted:
            return False
        if reply == 'lost' and (is_accepted or max(bases) >= version):
            return False
    return True


def replace_vm(state: State, index: int, vm: VmState) -> State:
    """Replace one VM's contents and record whether its terms reverted."""
    vms = list(state.vms)
    has_reverted = vm.version < vms[index].version
    vms[index] = vm
    return state._replace(
        vms=tuple(vms), reverted=state.reverted or has_reverted
    )


def vm_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield the steps of the VMs."""
    for index, vm in enumerate(state.vms):
        updated, told = read_to_tail(vm, state.log, state.first_offset, mutant)
        stepped = replace_vm(state, index, updated)
        yield (
            f'VM {index} reads',
            stepped._replace(
                misreported=state.misreported
                or not is_truthful(state.log, told),
                told_lost=state.told_lost or 'lost' in told,
            ),
        )
        adopted = adopt_from_peer(vm, state.vms[1 - index], mutant)
        if adopted is not None:
            yield f'VM {index} learns', replace_vm(state, index, adopted)
        if vm != VmState():
            vms = list(state.vms)
            vms[index] = VmState()
            yield f'VM {index} is replaced', state._replace(vms=tuple(vms))
        yield from renew_steps(state, vm, mutant)


def renew_steps(state: State, vm: VmState, mutant: str) -> Iterator[Step]:
    """Yield a renewal, unless one is in flight."""
    renewal = build_renewal(vm, mutant)
    if renewal is None or any(len(record) == 3 for record in state.in_flight):
        return
    yield (
        f'renewal {renewal} is sent',
        state._replace(in_flight=(*state.in_flight, renewal)),
    )


def operator_steps(state: State) -> Iterator[Step]:
    """Yield publishes based on a VM's version, and repeats of earlier ones."""
    for index, operator in enumerate(PUBLISHERS):
        sent = [it for it in state.log + state.in_flight if it[0] == operator]
        bases = {it[1] for it in sent} or {vm.version for vm in state.vms}
        for base in sorted(bases):
            if len(sent) < 2 - index:
                yield (
                    f'{operator} publishes on {base}',
                    state._replace(
                        in_flight=(*state.in_flight, (operator, base))
                    ),
                )


def log_steps(state: State) -> Iterator[Step]:
    """Yield the steps of the log."""
    for at, record in enumerate(state.in_flight):
        left = state.in_flight[:at] + state.in_flight[at + 1 :]
        if len(state.log) < MAX_LOG:
            yield (
                f'{record} lands',
                state._replace(log=(*state.log, record), in_flight=left),
            )
    if state.first_offset < len(state.log):
        yield (
            'the log forgets',
            state._replace(first_offset=state.first_offset + 1),
        )
    corrupt = ('corrupt', -1)
    if not state.log:
        yield (
            'a corrupt record lands',
            state._replace(log=(*state.log, corrupt)),
        )


def normalize(state: State) -> State:
    """Return the representative of all states with the same future steps.

    Sorts VMs and appends, and removes appends that can't land in a full log.
    """
    landing = state.in_flight if len(state.log) < MAX_LOG else ()
    return state._replace(
        in_flight=tuple(sorted(landing, key=str)),
        vms=tuple(sorted(state.vms)),
    )


def build(mutant: str) -> Transitions:
    """Return a mutant's transitions, or the protocol's for an empty name."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        return [
            (label, normalize(after))
            for label, after in (
                *vm_steps(state, mutant),
                *operator_steps(state),
                *log_steps(state),
            )
        ]

    return transitions


TERMS: Final = Model(
    name='terms',
    initial=State(),
    build=build,
    invariants={
        'accepted terms are the same everywhere': lambda now: all(
            (vm.version, vm.document)
            == expected_terms(now['log'][: vm.next_offset])
            for vm in now['vms']
        ),
        'terms never revert': lambda now: not now['reverted'],
        'accepted or lost is told truthfully': lambda now: (
            not now['misreported']
        ),
    },
    mutants=tuple(name for name in TERMS_VARIANTS if name),
    witnesses={
        'a VM that starts after the log forgot takes a renewal': lambda now: (
            any(
                vm.version
                and not vm.winners
                and vm.next_offset == len(now['log'])
                for vm in now['vms']
            )
        ),
        'an operator is told that the other was first': lambda now: now[
            'told_lost'
        ],
    },
)
