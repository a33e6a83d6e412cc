"""Measure the decisions beside the baselines: `python -m tests.benchmarks`.

Deterministic: counts and virtual time only, the seeds are on file.
"""

import argparse
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tests.benchmarks.patterns import DEPLOYMENTS, PATTERNS, SEEDS
from tests.benchmarks.report import (
    ABLATIONS,
    BenchmarkCase,
    CaseResult,
    format_ablations,
    format_comparison,
    format_goals,
    run_case,
    write_plots,
)
from tests.benchmarks.simulation import SCHEDULERS

ABLATION_SEEDS = 2
DOCS = Path(__file__).parents[2] / 'docs'
INTRO = """# Benchmarks

Written by `python -m tests.benchmarks --write`; name the commit and the seeds
here. All is virtual time and counts from the
fake in `tests/utils/queueing_fake.py`: about what engines of that kind would
do, not a measure of real ones. 50 engines of three speeds, 5 workspaces, 6
entry VMs with views up to a second old, 40 s of arrivals. Loads are parts of
the capacity that is needed when each document is prefilled once only.
"""


def comparison_cases(seeds: tuple[int, ...]) -> Iterator[BenchmarkCase]:
    for deployment in DEPLOYMENTS:
        for pattern in PATTERNS:
            for scheduler in SCHEDULERS:
                for seed in seeds:
                    yield BenchmarkCase(
                        deployment, pattern.name, scheduler, seed
                    )


def ablation_cases(seeds: tuple[int, ...]) -> Iterator[BenchmarkCase]:
    for ablation, pattern in ABLATIONS.items():
        for deployment in DEPLOYMENTS:
            for seed in seeds:
                yield BenchmarkCase(
                    deployment, pattern, SCHEDULERS[0], seed, ablation
                )


def run_cases(cases: list[BenchmarkCase], processes: int) -> list[CaseResult]:
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_case, cases))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=len(SEEDS))
    parser.add_argument('--processes', type=int, default=3)
    parser.add_argument('--write', action='store_true', help='write docs/')
    args = parser.parse_args()
    seeds = SEEDS[: args.seeds]
    results = run_cases(list(comparison_cases(seeds)), args.processes)
    lines = format_comparison(results) + format_goals(results)
    ablation_results = run_cases(
        list(ablation_cases(seeds[:ABLATION_SEEDS])), args.processes
    )
    lines += format_ablations(results, ablation_results)
    sys.stdout.write('\n'.join([*lines, '']))
    if args.write:
        text = '\n'.join([INTRO, *lines])
        (DOCS / 'BENCHMARKS.md').write_text(f'{text}\n')
        write_plots(results, DOCS / 'img')


if __name__ == '__main__':
    main()
