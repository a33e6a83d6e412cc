"""`python -m spec`: check every model and every mutant, and print them."""

import sys
import time
from typing import Final

from spec.checking import Model, check, reach
from spec.dispatch import MARKED, PLAIN
from spec.floor import FLOOR, PLAIN_TAKEOVER, TAKEOVER
from spec.loads import LOADS
from spec.orders import ORDERS, UNCHECKED
from spec.resends import RESENDS
from spec.terms import TERMS

MODELS: Final = (
    RESENDS,
    MARKED,
    PLAIN,
    TERMS,
    FLOOR,
    TAKEOVER,
    PLAIN_TAKEOVER,
    ORDERS,
    UNCHECKED,
    LOADS,
)


def say(line: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def run_model(model: Model) -> bool:
    """Check the model and its witnesses; return whether all is well."""
    started = time.monotonic()
    report = check(model)
    spent = time.monotonic() - started
    say(f'{model.name}: {report.states} states, {spent:.1f} s')
    for invariant in model.invariants:
        verdict = 'VIOLATED' if invariant in report.traces else 'holds'
        say(f'  {verdict}: {invariant}')
    reached = reach(model).traces
    for witness in model.witnesses:
        found = len(reached.get(witness, ())) - 1
        say(f'  reached in {found} steps: {witness}')
    return (
        report.exhaustive
        and not report.traces
        and len(reached) == len(model.witnesses)
    )


def run_mutants(model: Model) -> bool:
    """Check that each mutant is rejected; return whether all are."""
    killed = 0
    for mutant in model.mutants:
        traces = check(model, mutant).traces
        shortest = min((len(trace) - 1 for trace in traces.values()), default=0)
        verdict = f'killed in {shortest} steps' if traces else 'SURVIVED'
        say(f'  {verdict}: {mutant}')
        killed += bool(traces)
    say(f'  mutants killed: {killed} of {len(model.mutants)}')
    return killed == len(model.mutants)


def main() -> int:
    """Run all models; return a status for the shell."""
    verdicts = [run_model(model) & run_mutants(model) for model in MODELS]
    say('all models hold' if all(verdicts) else 'FAILED')
    return 0 if all(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
