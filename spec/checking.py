"""Checks models, their mutants and their witnesses by exhaustive search."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from minicheck import Protocol, check_safety

MAX_STATES: Final = 1_500_000

Predicate = Callable[[dict[str, Any]], bool]
Step = tuple[str, Any]
Trace = list[Step]
Transitions = Callable[[Any], list[Step]]


@dataclass(frozen=True)
class Model:
    """A protocol with its invariants, mutants and witnesses.

    A mutant is the protocol without one of its safeguards, and must violate
    an invariant. `build` returns the transitions of a mutant, or of the whole
    protocol for an empty name. A witness is a state that must be reachable:
    otherwise invariants could hold merely because nothing happens.
    """

    name: str
    initial: Any
    build: Callable[[str], Transitions]
    invariants: Mapping[str, Predicate]
    mutants: tuple[str, ...]
    witnesses: Mapping[str, Predicate] = field(default_factory=dict)


@dataclass(frozen=True)
class Report:
    """Result of a search."""

    states: int
    exhaustive: bool
    traces: Mapping[str, Trace]  # shortest trace to each violated invariant


def check(model: Model, mutant: str = '') -> Report:
    """Search all reachable states; stop a mutant at its first violation."""
    return _search(model, mutant, model.invariants)


def find_witnesses(model: Model) -> Report:
    """Search for the witnesses; return the shortest trace to each."""
    unreachable = {
        name: _negate(reached) for name, reached in model.witnesses.items()
    }
    return _search(model, '', unreachable)


def _stop_at_violation(model: Model, transitions: Transitions) -> Transitions:
    violated = False

    def stepped(state: Any) -> list[Step]:
        nonlocal violated
        fields = dict(zip(model.initial._fields, state, strict=True))
        violated = violated or not all(
            holds(fields) for holds in model.invariants.values()
        )
        return [] if violated else transitions(state)

    return stepped


def _negate(predicate: Predicate) -> Predicate:
    return lambda state: not predicate(state)


def _search(
    model: Model,
    mutant: str,
    invariants: Mapping[str, Predicate],
) -> Report:
    transitions = model.build(mutant)
    if mutant:
        transitions = _stop_at_violation(model, transitions)
    found = check_safety(
        Protocol(
            name=model.name,
            candidate=False,
            fields=model.initial._fields,
            initial=model.initial,
            transitions=transitions,
            invariants=dict(invariants),
        ),
        max_states=MAX_STATES,
    )
    return Report(
        found['reachable_states'],
        found['exhaustive'],
        {
            name: [
                (step['label'], model.initial._make(step['state'].values()))
                for step in verdict['counterexample']
            ]
            for name, verdict in found['properties'].items()
            if verdict['holds'] is False
        },
    )
