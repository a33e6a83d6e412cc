"""`python -m spec`: check all models and mutants, and print the results."""

import sys
import time
from typing import Final

from spec.checking import Model, check, find_witnesses
from spec.dispatch import MARKED, PLAIN
from spec.floor import FLOOR, PLAIN_TAKEOVER, TAKEOVER
from spec.loads import LOADS
from spec.orders import ORDERS, UNFENCED_ORDERS
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
    UNFENCED_ORDERS,
    LOADS,
)


def print_line(line: str) -> None:
    """Print one line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def run_model(model: Model) -> bool:
    """Check the model; return whether it holds and reaches its witnesses."""
    started = time.monotonic()
    report = check(model)
    spent = time.monotonic() - started
    print_line(f'{model.name}: {report.states} states, {spent:.1f} s')
    for invariant in model.invariants:
        verdict = 'VIOLATED' if invariant in report.traces else 'holds'
        print_line(f'  {verdict}: {invariant}')
    reached = find_witnesses(model).traces
    for witness in model.witnesses:
        found = len(reached.get(witness, ())) - 1
        print_line(f'  reached in {found} steps: {witness}')
    return (
        report.exhaustive
        and not report.traces
        and len(reached) == len(model.witnesses)
    )


def run_mutants(model: Model) -> bool:
    """Check all mutants of the model; return whether each is rejected."""
    rejected = 0
    for mutant in model.mutants:
        traces = check(model, mutant).traces
        shortest = min((len(trace) - 1 for trace in traces.values()), default=0)
        verdict = f'killed in {shortest} steps' if traces else 'SURVIVED'
        print_line(f'  {verdict}: {mutant}')
        rejected += bool(traces)
    print_line(f'  mutants killed: {rejected} of {len(model.mutants)}')
    return rejected == len(model.mutants)


def main() -> int:
    """Check all models and mutants; return the exit status."""
    verdicts = [run_model(model) & run_mutants(model) for model in MODELS]
    print_line('all models hold' if all(verdicts) else 'FAILED')
    return 0 if all(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
