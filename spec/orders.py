"""Model of orders to engines: claims, fences, pauses, duplicate appends.

Two issuers use the production `IssuerClaims`. One has old terms and may be
paused anywhere, also between its last read of the log and its order; the other
has the new terms. The order of the log decides whose terms the engine should
follow.
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

UNFENCED_ENGINE: Final = 'the engine takes orders without fences'
GUESSED_FENCE: Final = 'a fence is guessed before the claim is read back'
COUNTED_COPIES: Final = 'a copy of a claim counts again'
NO_FIRST_ORDER: Final = 'a successor orders only where something is wrong'
UNCHECKED_LOG: Final = 'orders go on without a look at the log'


class Issuer(NamedTuple):
    """State of one issuer; `fence` is the one it believes to hold."""

    has_claimed: bool = False
    next_offset: int = 0
    fence: int = NO_FENCE
    is_superseded: bool = False
    pending_fence: int = NO_FENCE  # of an order not sent yet
    has_ordered: bool = False
    is_settled: bool = False  # reports that the engine matches its terms


class State(NamedTuple):
    """The log, the appends in flight, the issuers and the engine."""

    log: tuple[int, ...] = ()
    in_flight: tuple[int, ...] = ()
    is_log_up: bool = True
    issuers: tuple[Issuer, Issuer] = (Issuer(), Issuer())
    engine_fence: int = NO_FENCE
    engine_terms: int = NEW  # the issuer whose terms the engine matches
    ignored_claim: bool = False  # an order was decided despite a later claim
    was_refused: bool = False


class _CountsCopies(IssuerClaims):
    """Mutant: each copy of a claim counts, not only the first."""

    def _apply_claim(self, offset: int, claim: ClaimRecord) -> None:
        self._seen_claim_ids.clear()
        if claim.claim_id == self.own.claim_id:
            self._superseded = False
        super()._apply_claim(offset, claim)


def make_claim(issuer: int) -> ClaimRecord:
    """Return the claim of one issuer."""
    return ClaimRecord(claim_id=str(issuer), shard=0, shards=1, by='vm')


@lru_cache(maxsize=None)
def read_to_tail(
    index: int,
    issuer: Issuer,
    log: tuple[int, ...],
    mutant: str,
) -> Issuer:
    """Let an issuer read to the tail, by the production rules."""
    table = _CountsCopies if mutant == COUNTED_COPIES else IssuerClaims
    rules = table(make_claim(index))
    for offset, writer in enumerate(log):
        rules.apply(offset, make_claim(writer).encode())
    fence = NO_FENCE if rules.fence is None else rules.fence
    if mutant == GUESSED_FENCE and issuer.has_claimed and fence == NO_FENCE:
        fence = len(log)
    return issuer._replace(
        next_offset=rules.next_offset,
        fence=fence,
        is_superseded=rules.is_superseded,
        is_settled=issuer.is_settled and not rules.is_superseded,
    )


def last_claimant(log: tuple[int, ...]) -> int | None:
    """Return the issuer whose first copy of a claim is last in the log."""
    firsts = {writer: log.index(writer) for writer in set(log)}
    return max(firsts, key=lambda writer: firsts[writer], default=None)


def replace_issuer(state: State, index: int, issuer: Issuer) -> State:
    """Return the state with one issuer replaced."""
    issuers = list(state.issuers)
    issuers[index] = issuer
    return state._replace(issuers=(issuers[0], issuers[1]))


def may_order(state: State, index: int, rule: tuple[str, bool]) -> bool:
    """Whether an issuer may order now, by the records it has read."""
    mutant, checks = rule
    issuer = state.issuers[index]
    if issuer.fence == NO_FENCE or issuer.is_superseded:
        return False
    if mutant == UNCHECKED_LOG:
        return True
    if state.is_log_up:
        return issuer == read_to_tail(index, issuer, state.log, mutant)
    return checks


def apply_order(
    state: State, index: int, fence: int, mutant: str
) -> State | None:
    """Let the engine execute an order; return None if it refuses."""
    if mutant != UNFENCED_ENGINE and fence < state.engine_fence:
        return None
    return state._replace(
        engine_fence=max(fence, state.engine_fence),
        engine_terms=index,
    )


def issuer_steps(
    state: State,
    index: int,
    rule: tuple[str, bool],
) -> list[Step]:
    """Return the steps of one issuer."""
    mutant, checks = rule
    issuer = state.issuers[index]
    steps: list[Step] = []
    if not issuer.has_claimed and state.is_log_up:
        claimed = replace_issuer(
            state, index, issuer._replace(has_claimed=True)
        )
        in_flight = (*state.in_flight, index)
        steps.append((f'{index} claims', claimed._replace(in_flight=in_flight)))
    if state.is_log_up:
        updated = read_to_tail(index, issuer, state.log, mutant)
        steps.append((f'{index} reads', replace_issuer(state, index, updated)))
    if issuer.pending_fence == NO_FENCE and may_order(state, index, rule):
        is_wrong = state.engine_terms != index
        if is_wrong or not (issuer.has_ordered or mutant == NO_FIRST_ORDER):
            has_later_claim = last_claimant(state.log) not in {index, None}
            updated_issuer = issuer._replace(pending_fence=issuer.fence)
            decided = replace_issuer(state, index, updated_issuer)
            ignored_claim = state.ignored_claim or has_later_claim
            steps.append(
                (
                    f'{index} decides',
                    decided._replace(ignored_claim=ignored_claim),
                ),
            )
        elif not is_wrong:
            settled_issuer = issuer._replace(is_settled=True)
            steps.append(
                (
                    f'{index} settles',
                    replace_issuer(state, index, settled_issuer),
                )
            )
    if issuer.pending_fence != NO_FENCE:
        steps.append((f'{index} sends', send_order(state, index, rule)))
    return steps


def send_order(state: State, index: int, rule: tuple[str, bool]) -> State:
    """Send the pending order, however long ago it was decided."""
    mutant, checks = rule
    issuer = state.issuers[index]
    engine_mutant = mutant if checks else UNFENCED_ENGINE
    obeyed = apply_order(state, index, issuer.pending_fence, engine_mutant)
    sent = issuer._replace(pending_fence=NO_FENCE)
    if obeyed is None:
        dropped = sent._replace(is_superseded=True, is_settled=False)
        return replace_issuer(state, index, dropped)._replace(was_refused=True)
    return replace_issuer(obeyed, index, sent._replace(has_ordered=True))


def log_steps(state: State) -> list[Step]:
    """Return the steps of the log: it goes down or up, appends land."""
    steps: list[Step] = [
        ('the log turns', state._replace(is_log_up=not state.is_log_up))
    ]
    if len(state.log) >= MAX_LOG:
        return steps
    for writer in sorted(set(state.in_flight)):
        rest = list(state.in_flight)
        rest.remove(writer)
        landed = state._replace(log=(*state.log, writer))
        steps.append(
            (
                f'claim of {writer} lands',
                landed._replace(in_flight=tuple(rest)),
            ),
        )
        steps.append((f'a copy of {writer} lands', landed))
    return steps


def make_builder(*, checks: bool) -> Callable[[str], Transitions]:
    """Return `build` for engines that check fences, or that ignore them."""

    def build(mutant: str) -> Transitions:
        rule = (mutant, checks)
        return lambda raw: transitions(restore_types(raw), rule)

    return build


def transitions(state: State, rule: tuple[str, bool]) -> list[Step]:
    """Return the steps of both issuers and the log."""
    return [
        *issuer_steps(state, OLD, rule),
        *issuer_steps(state, NEW, rule),
        *log_steps(state),
    ]


def restore_types(raw: tuple[Any, ...]) -> State:
    """Restore the types, which the checker reduces to plain tuples."""
    state = State(*raw)
    old, new = state.issuers
    return state._replace(issuers=(Issuer(*old), Issuer(*new)))


def is_settlement_kept(
    log: tuple[int, ...], issuer: Issuer, engine_terms: int
) -> bool:
    """Whether the engine still matches what the last claimant settled."""
    return (
        last_claimant(log) != NEW
        or not issuer.is_settled
        or engine_terms == NEW
    )


ORDERS: Final = Model(
    name='orders, engines check fences',
    initial=State(),
    build=make_builder(checks=True),
    invariants={
        'no issuer undoes what its successor has settled': lambda now: (
            is_settlement_kept(
                now['log'],
                Issuer(*now['issuers'][NEW]),
                now['engine_terms'],
            )
        ),
    },
    mutants=(UNFENCED_ENGINE, GUESSED_FENCE, COUNTED_COPIES, NO_FIRST_ORDER),
    witnesses={
        'an overtaken issuer is refused': lambda now: now['was_refused'],
        'an issuer settles after another was obeyed': lambda now: (
            now['issuers'][NEW][-1] and now['issuers'][OLD][-2]
        ),
    },
)
UNFENCED_ORDERS: Final = Model(
    name='orders, engines ignore fences',
    initial=State(),
    build=make_builder(checks=False),
    invariants={
        'nothing is decided once a later claim stands in the log': lambda now: (
            not now['ignored_claim']
        ),
    },
    mutants=(UNCHECKED_LOG,),
    witnesses={
        # Engines that ignore fences can't prevent this. For that reason orders
        # declare a desired state, which the successor sends again.
        'an order decided in time undoes the successor': lambda now: (
            not is_settlement_kept(
                now['log'],
                Issuer(*now['issuers'][NEW]),
                now['engine_terms'],
            )
        ),
    },
)
