"""Terms: racing operators, lost replies, renewals, a log that forgets.

Each VM runs the real `TermsLog`. What it should hold is told by `canon`, a
separate few lines that read the whole log, forgotten records included.
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
    Accepted,
    Lost,
    TermsLog,
)
from spec.checking import Model, Step, Transitions
from spec.terms_mutants import TABLE

MAX_LOG: Final = 4
PUBLISHERS: Final = ('ana', 'boyan')
CORRUPT: Final = '{"v":1,"kind":"publ'
# A publish is (operator, base); a renewal is (document, version, offset).
Publish: TypeAlias = tuple[str, int]
Renewal: TypeAlias = tuple[str, int, int]
Record: TypeAlias = Publish | Renewal


class Vm(NamedTuple):
    """What one VM holds: the state of its `TermsLog`."""

    version: int = 0
    document: str = ''
    position: int = 0
    first: int = 0
    winners: tuple[tuple[int, str], ...] = ()


class State(NamedTuple):
    """The log, appends under way, two VMs and what operators were told."""

    log: tuple[Record, ...] = ()
    forgotten: int = 0
    flying: tuple[Record, ...] = ()
    vms: tuple[Vm, ...] = (Vm(), Vm())
    reverted: bool = False
    lied: bool = False  # an operator was told what is not so
    told_lost: bool = False


def encode(record: Record) -> str:
    """Return the real record."""
    if len(record) == 3:
        return encode_renew(record[1], record[0], record[2])
    operator, base = record
    if operator not in PUBLISHERS:
        return CORRUPT
    return encode_publish(operator, base, document_of(record), operator)


def document_of(publish: Publish) -> str:
    """Return a document that no other publish has."""
    return f'{publish[0]} on {publish[1]}'


@lru_cache(maxsize=None)
def canon(log: tuple[Record, ...]) -> tuple[int, str]:
    """Return the terms that the whole log puts in force."""
    version, document = 0, ''
    for record in log:
        if len(record) == 2 and record[1] == version:
            version, document = version + 1, document_of(record)
    return version, document


@lru_cache(maxsize=None)
def accepted(log: tuple[Record, ...], operator: str) -> bool:
    """Whether the log has put a publish of the operator in force."""
    return any(
        canon(log[: at + 1])[1] != canon(log[:at])[1] and record[0] == operator
        for at, record in enumerate(log)
    )


def load(vm: Vm, mutant: str) -> TermsLog:
    """Return the VM's real terms log."""
    terms = TABLE[mutant](Ok)
    terms.version, terms.document = vm.version, vm.document
    terms.position, terms._first_offset = vm.position, vm.first
    terms._winners = OrderedDict(
        (version, Lost(by, by, version)) for version, by in vm.winners
    )
    return terms


def dump(terms: TermsLog) -> Vm:
    """Return what the terms log holds."""
    return Vm(
        terms.version,
        terms.document,
        terms.position,
        0 if terms.anchored else terms._first_offset,
        tuple((at, won.publish_id) for at, won in terms._winners.items()),
    )


@lru_cache(maxsize=None)
def read(
    vm: Vm,
    log: tuple[Record, ...],
    forgotten: int,
    mutant: str,
) -> tuple[Vm, tuple[str, ...]]:
    """Let a VM read on to the tail; also return what operators are told."""
    terms = load(vm, mutant)
    terms.see_first_offset(forgotten)
    for offset, record in list(enumerate(log))[forgotten:]:
        if offset >= terms.position:
            terms.apply(offset, encode(record))
    outcomes = [terms.outcome_of(operator) for operator in PUBLISHERS]
    told = tuple(
        'accepted'
        if isinstance(outcome, Accepted)
        else 'lost' * isinstance(outcome, Lost)
        for outcome in outcomes
    )
    return dump(terms), told


@lru_cache(maxsize=None)
def learn(vm: Vm, peer: Vm, mutant: str) -> Vm | None:
    """Let a VM ask its peer; return None where it stays as it is."""
    terms = load(vm, mutant)
    taken = terms.learn(peer.version, peer.position, peer.document)
    return dump(terms) if taken else None


@lru_cache(maxsize=None)
def renew(vm: Vm, mutant: str) -> Renewal | None:
    """Return the renewal that a VM would append."""
    text = load(vm, mutant).renewal()
    if text is None:
        return None
    record = RenewRecord.model_validate_json(text)
    return record.document, record.version, record.at


@lru_cache(maxsize=None)
def truthful(log: tuple[Record, ...], told: tuple[str, ...]) -> bool:
    """Whether what operators are told is so and stays so."""
    version = canon(log)[0]
    for operator, word in zip(PUBLISHERS, told, strict=True):
        stands = accepted(log, operator)
        bases = [it[1] for it in log if it[0] == operator]
        if word == 'accepted' and not stands:
            return False
        if word == 'lost' and (stands or max(bases) >= version):
            return False
    return True


def with_vm(state: State, index: int, vm: Vm) -> State:
    """Change one VM and note whether its terms went back."""
    vms = list(state.vms)
    back = vm.version < vms[index].version
    vms[index] = vm
    return state._replace(vms=tuple(vms), reverted=state.reverted or back)


def vm_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield what the VMs do."""
    for index, vm in enumerate(state.vms):
        seen, told = read(vm, state.log, state.forgotten, mutant)
        stepped = with_vm(state, index, seen)
        yield (
            f'VM {index} reads',
            stepped._replace(
                lied=state.lied or not truthful(state.log, told),
                told_lost=state.told_lost or 'lost' in told,
            ),
        )
        learned = learn(vm, state.vms[1 - index], mutant)
        if learned is not None:
            yield f'VM {index} learns', with_vm(state, index, learned)
        if vm != Vm():
            fresh = list(state.vms)
            fresh[index] = Vm()
            yield f'VM {index} is replaced', state._replace(vms=tuple(fresh))
        yield from renew_steps(state, vm, mutant)


def renew_steps(state: State, vm: Vm, mutant: str) -> Iterator[Step]:
    """Yield a renewal; one at most is under way."""
    renewal = renew(vm, mutant)
    if renewal is None or any(len(record) == 3 for record in state.flying):
        return
    yield (
        f'renewal {renewal} is sent',
        state._replace(flying=(*state.flying, renewal)),
    )


def operator_steps(state: State) -> Iterator[Step]:
    """Yield a publish based on what some VM shows, sent again if unsure."""
    for index, operator in enumerate(PUBLISHERS):
        sent = [it for it in state.log + state.flying if it[0] == operator]
        bases = {it[1] for it in sent} or {vm.version for vm in state.vms}
        for base in sorted(bases):
            if len(sent) < 2 - index:
                yield (
                    f'{operator} publishes on {base}',
                    state._replace(flying=(*state.flying, (operator, base))),
                )


def log_steps(state: State) -> Iterator[Step]:
    """Yield what the log does."""
    for at, record in enumerate(state.flying):
        left = state.flying[:at] + state.flying[at + 1 :]
        if len(state.log) < MAX_LOG:
            yield (
                f'{record} lands',
                state._replace(log=(*state.log, record), flying=left),
            )
    if state.forgotten < len(state.log):
        yield (
            'the log forgets',
            state._replace(forgotten=state.forgotten + 1),
        )
    corrupt = ('corrupt', -1)
    if not state.log:
        yield (
            'a corrupt record lands',
            state._replace(log=(*state.log, corrupt)),
        )


def normal(state: State) -> State:
    """Return one state for all that can do the same.

    Equals are sorted, and what can't land in a full log is left out.
    """
    landing = state.flying if len(state.log) < MAX_LOG else ()
    return state._replace(
        flying=tuple(sorted(landing, key=str)),
        vms=tuple(sorted(state.vms)),
    )


def build(mutant: str) -> Transitions:
    """Return the transitions."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        return [
            (label, normal(after))
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
            (vm.version, vm.document) == canon(now['log'][: vm.position])
            for vm in now['vms']
        ),
        'terms never revert': lambda now: not now['reverted'],
        'accepted or lost is told truthfully': lambda now: not now['lied'],
    },
    mutants=tuple(name for name in TABLE if name),
    witnesses={
        'a VM that starts after the log forgot takes a renewal': lambda now: (
            any(
                vm.version and not vm.winners and vm.position == len(now['log'])
                for vm in now['vms']
            )
        ),
        'an operator is told that the other was first': lambda now: now[
            'told_lost'
        ],
    },
)
