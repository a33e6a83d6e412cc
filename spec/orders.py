"""Orders to engines: claims, fences, pauses, late and doubled appends.

Two issuers run the real `IssuerClaims`. One has old terms in hand and may be
paused anywhere, also between its last look at the log and its order; the
other has the new terms. What the engine should do is told by the log alone.
"""

from collections.abc import Callable
from functools import lru_cache
from typing import Any, Final, NamedTuple

from bramleybend.state.order_records import ClaimRecord
from bramleybend.state.order_rules import IssuerClaims
from spec.checking import Model, Step, Transitions

OLD: Final = 0  # the issuer with old terms
NEW: Final = 1
MAX_LOG: Final = 3
NO_FENCE: Final = -1

NO_FENCES: Final = 'the engine takes orders without fences'
GUESSED: Final = 'a fence is guessed before the claim is read back'
COPIES: Final = 'a copy of a claim counts again'
NOT_PLANTED: Final = 'a successor orders only where something is wrong'
GOES_ON: Final = 'orders go on without a look at the log'


class Issuer(NamedTuple):
    """How far one issuer is; `fence` is what it believes."""

    asked: bool = False
    position: int = 0
    fence: int = NO_FENCE
    superseded: bool = False
    in_hand: int = NO_FENCE  # fence of an order that was decided, not sent
    planted: bool = False
    settled: bool = False  # says that the engine is as its terms want it


class State(NamedTuple):
    """The log, appends under way, the issuers and the engine."""

    log: tuple[int, ...] = ()
    flying: tuple[int, ...] = ()
    is_up: bool = True
    issuers: tuple[Issuer, Issuer] = (Issuer(), Issuer())
    engine_fence: int = NO_FENCE
    holds: int = NEW  # whose terms the engine is in line with
    blind: bool = False  # an order was decided after a later claim stood
    refused: bool = False


class _CountsCopies(IssuerClaims):
    """Mutant: a claim counts wherever a copy of it lands."""

    def _take(self, offset: int, claim: ClaimRecord) -> None:
        self._seen.clear()
        if claim.claim_id == self.own.claim_id:
            self._superseded = False
        super()._take(offset, claim)


def claim_of(issuer: int) -> ClaimRecord:
    """Return the claim of one issuer."""
    return ClaimRecord(claim_id=str(issuer), shard=0, shards=1, by='vm')


@lru_cache(maxsize=None)
def read(
    index: int,
    issuer: Issuer,
    log: tuple[int, ...],
    mutant: str,
) -> Issuer:
    """Let an issuer read to the tail by the real rules."""
    table = _CountsCopies if mutant == COPIES else IssuerClaims
    rules = table(claim_of(index))
    for offset, writer in enumerate(log):
        rules.apply(offset, claim_of(writer).encode())
    fence = NO_FENCE if rules.fence is None else rules.fence
    if mutant == GUESSED and issuer.asked and fence == NO_FENCE:
        fence = len(log)
    return issuer._replace(
        position=rules.position,
        fence=fence,
        superseded=rules.superseded,
        settled=issuer.settled and not rules.superseded,
    )


def holder(log: tuple[int, ...]) -> int | None:
    """Return whose claim, where it landed first, is the last in the log."""
    firsts = {writer: log.index(writer) for writer in set(log)}
    return max(firsts, key=lambda writer: firsts[writer], default=None)


def with_issuer(state: State, index: int, issuer: Issuer) -> State:
    """Change one issuer."""
    issuers = list(state.issuers)
    issuers[index] = issuer
    return state._replace(issuers=(issuers[0], issuers[1]))


def may_decide(state: State, index: int, rule: tuple[str, bool]) -> bool:
    """Whether an issuer gives an order now, by what it has read."""
    mutant, checks = rule
    issuer = state.issuers[index]
    if issuer.fence == NO_FENCE or issuer.superseded:
        return False
    if mutant == GOES_ON:
        return True
    if state.is_up:
        return issuer == read(index, issuer, state.log, mutant)
    return checks


def obey(state: State, index: int, fence: int, mutant: str) -> State | None:
    """Let the engine judge an order; none if it refuses."""
    if mutant != NO_FENCES and fence < state.engine_fence:
        return None
    return state._replace(
        engine_fence=max(fence, state.engine_fence),
        holds=index,
    )


def issuer_steps(
    state: State,
    index: int,
    rule: tuple[str, bool],
) -> list[Step]:
    """Return what one issuer may do next."""
    mutant, checks = rule
    issuer = state.issuers[index]
    steps: list[Step] = []
    if not issuer.asked and state.is_up:
        asked = with_issuer(state, index, issuer._replace(asked=True))
        flying = (*state.flying, index)
        steps.append((f'{index} claims', asked._replace(flying=flying)))
    if state.is_up:
        seen = read(index, issuer, state.log, mutant)
        steps.append((f'{index} reads', with_issuer(state, index, seen)))
    if issuer.in_hand == NO_FENCE and may_decide(state, index, rule):
        wrong = state.holds != index
        if wrong or not (issuer.planted or mutant == NOT_PLANTED):
            later = holder(state.log) not in {index, None}
            chosen = issuer._replace(in_hand=issuer.fence)
            decided = with_issuer(state, index, chosen)
            blind = state.blind or later
            steps.append(
                (f'{index} decides', decided._replace(blind=blind)),
            )
        elif not wrong:
            done = issuer._replace(settled=True)
            steps.append((f'{index} settles', with_issuer(state, index, done)))
    if issuer.in_hand != NO_FENCE:
        steps.append((f'{index} sends', send(state, index, rule)))
    return steps


def send(state: State, index: int, rule: tuple[str, bool]) -> State:
    """Send the order in hand, however long ago it was decided."""
    mutant, checks = rule
    issuer = state.issuers[index]
    laws = mutant if checks else NO_FENCES
    obeyed = obey(state, index, issuer.in_hand, laws)
    left = issuer._replace(in_hand=NO_FENCE)
    if obeyed is None:
        dropped = left._replace(superseded=True, settled=False)
        return with_issuer(state, index, dropped)._replace(refused=True)
    return with_issuer(obeyed, index, left._replace(planted=True))


def log_steps(state: State) -> list[Step]:
    """Return what the log does: lands appends, also twice, goes down, up."""
    steps: list[Step] = [
        ('the log turns', state._replace(is_up=not state.is_up))
    ]
    if len(state.log) >= MAX_LOG:
        return steps
    for writer in sorted(set(state.flying)):
        rest = list(state.flying)
        rest.remove(writer)
        landed = state._replace(log=(*state.log, writer))
        steps.append(
            (f'claim of {writer} lands', landed._replace(flying=tuple(rest))),
        )
        steps.append((f'a copy of {writer} lands', landed))
    return steps


def build_for(*, checks: bool) -> Callable[[str], Transitions]:
    """Return the builder for engines that check fences, or don't."""

    def build(mutant: str) -> Transitions:
        rule = (mutant, checks)
        return lambda raw: transitions(typed(raw), rule)

    return build


def transitions(state: State, rule: tuple[str, bool]) -> list[Step]:
    """Return all that may happen next."""
    return [
        *issuer_steps(state, OLD, rule),
        *issuer_steps(state, NEW, rule),
        *log_steps(state),
    ]


def typed(raw: tuple[Any, ...]) -> State:
    """Give back the types that the checker took off."""
    state = State(*raw)
    old, new = state.issuers
    return state._replace(issuers=(Issuer(*old), Issuer(*new)))


def is_kept(log: tuple[int, ...], issuer: Issuer, holds: int) -> bool:
    """Whether what the last claimant has settled is still so."""
    return holder(log) != NEW or not issuer.settled or holds == NEW


ORDERS: Final = Model(
    name='orders, engines check fences',
    initial=State(),
    build=build_for(checks=True),
    invariants={
        'no issuer undoes what its successor has settled': lambda now: is_kept(
            now['log'],
            Issuer(*now['issuers'][NEW]),
            now['holds'],
        ),
    },
    mutants=(NO_FENCES, GUESSED, COPIES, NOT_PLANTED),
    witnesses={
        'an overtaken issuer is refused': lambda now: now['refused'],
        'an issuer settles after another was obeyed': lambda now: (
            now['issuers'][NEW][-1] and now['issuers'][OLD][-2]
        ),
    },
)
UNCHECKED: Final = Model(
    name='orders, engines ignore fences',
    initial=State(),
    build=build_for(checks=False),
    invariants={
        'nothing is decided once a later claim stands in the log': lambda now: (
            not now['blind']
        ),
    },
    mutants=(GOES_ON,),
    witnesses={
        # What remains possible here, and why such orders are desired state.
        'an order decided in time undoes the successor': lambda now: (
            not is_kept(
                now['log'],
                Issuer(*now['issuers'][NEW]),
                now['holds'],
            )
        ),
    },
)
