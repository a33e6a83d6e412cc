"""Runs, tables and plots of the benchmark."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median

from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Tier
from tests.benchmarks.patterns import DEPLOYMENTS, PATTERNS
from tests.benchmarks.simulation import PATTERNS_BY_NAME, SCHEDULERS, simulate

BRAMLEYBEND = SCHEDULERS[0]
AFFINITY = 'affinity'
# The switch of each decision, and the load pattern that it addresses.
ABLATIONS = {
    'tiers': 'saturation',
    'fair': 'skew',
    'short_first': 'long among short',
    'expiry': 'saturation',
    'preemption': 'bulk first',
    'speeds': 'burst',
    'limits': 'saturation',
    'filling': 'long among short',
    'holding': 'steady',
    'pacing': 'crash',
    'admission': 'saturation',
    AFFINITY: 'steady',
}


@dataclass(frozen=True)
class BenchmarkCase:
    """Parameters of one simulated run."""

    deployment: str
    pattern: str
    scheduler: str
    seed: int
    disabled: str = ''


@dataclass(frozen=True)
class CaseResult:
    """Scores of one simulated run."""

    case: BenchmarkCase
    tiers: tuple[float, ...]
    total_goodput: float
    wasted_prefill: float  # thousands of tokens
    fairness: float
    inversions: tuple[int, ...]
    refused_late: int
    refused: int


def run_case(case: BenchmarkCase) -> CaseResult:
    switches = PolicySwitches()
    if case.disabled not in {'', AFFINITY}:
        switches = replace(switches, **{case.disabled: False})
    scores = simulate(
        case.scheduler,
        DEPLOYMENTS[case.deployment],
        PATTERNS_BY_NAME[case.pattern],
        case.seed,
        switches,
        affinity=case.disabled != AFFINITY,
    )
    return CaseResult(
        case,
        tuple(scores.goodput(tier) for tier in Tier),
        scores.total_goodput(),
        scores.wasted_prefill / 1000,
        scores.fairness(),
        tuple(scores.inversions[tier] for tier in Tier),
        scores.refused_late,
        scores.refused,
    )


def filter_results(
    results: Iterable[CaseResult],
    deployment: str,
    pattern: str,
    scheduler: str = BRAMLEYBEND,
) -> list[CaseResult]:
    return [
        result
        for result in results
        if result.case.deployment == deployment
        and result.case.pattern == pattern
        and result.case.scheduler == scheduler
    ]


def _format_measures(results: Sequence[CaseResult]) -> str:
    """Format each measure as median (worst) over the seeds."""
    cells = [
        _format_percent([result.tiers[tier - 1] for result in results], min)
        for tier in Tier
    ]
    cells.append(
        _format_percent([result.total_goodput for result in results], min)
    )
    wasted_prefill = [result.wasted_prefill for result in results]
    cells.append(f'{median(wasted_prefill):.0f} ({max(wasted_prefill):.0f})')
    fairness_values = [result.fairness for result in results]
    cells.append(f'{median(fairness_values):.3f} ({min(fairness_values):.3f})')
    return ' | '.join(cells)


def _format_percent(
    parts: list[float],
    worst: Callable[[list[float]], float],
) -> str:
    return f'{median(parts):.1%} ({worst(parts):.1%})'


TABLE_HEADER = (
    '| critical | high | normal | bulk | total | wasted, k tokens | Jain |'
)
SEPARATOR_8 = '|---|---|---|---|---|---|---|---|'
SEPARATOR_9 = '|---|---|---|---|---|---|---|---|---|'
SEPARATOR_6 = '|---|---|---|---|---|---|'


def format_comparison(results: list[CaseResult]) -> list[str]:
    lines = [
        '## Goodput, wasted prefill and fairness',
        '',
        'Median over the seeds, the worst one in brackets.',
    ]
    for deployment in DEPLOYMENTS:
        for pattern in PATTERNS:
            lines += ['', f'### {deployment}: {pattern.name}', '']
            lines += [f'| scheduler {TABLE_HEADER}', SEPARATOR_8]
            for name in SCHEDULERS:
                selected = filter_results(
                    results, deployment, pattern.name, name
                )
                lines.append(f'| {name} | {_format_measures(selected)} |')
    return lines


def format_goals(results: list[CaseResult]) -> list[str]:
    lines = ['', '## Goals', '']
    headings = (
        'deployment',
        'pattern',
        'critical, worst',
        'wasted / least outstanding',
        'total less best baseline, worst',
        'shed above lower work, by tier, worst',
    )
    lines += [f'| {" | ".join(headings)} |', SEPARATOR_6]
    for deployment in DEPLOYMENTS:
        for pattern in PATTERNS:
            lines.append(_format_goal(results, deployment, pattern.name))
    return lines


def _format_goal(
    results: list[CaseResult], deployment: str, pattern: str
) -> str:
    own_results = filter_results(results, deployment, pattern)
    critical = min(result.tiers[0] for result in own_results)
    least_outstanding = filter_results(
        results, deployment, pattern, 'least outstanding'
    )
    wasted_prefill = median(result.wasted_prefill for result in own_results)
    ratio = wasted_prefill / median(
        result.wasted_prefill for result in least_outstanding
    )
    baseline_results = [
        filter_results(results, deployment, pattern, name)
        for name in SCHEDULERS[1:]
    ]
    gains = [
        result.total_goodput
        - max(baseline[index].total_goodput for baseline in baseline_results)
        for index, result in enumerate(own_results)
    ]
    max_inversions = [
        max(result.inversions[tier - 1] for result in own_results)
        for tier in Tier
    ]
    return (
        f'| {deployment} | {pattern} | {critical:.1%} | {ratio:.2f} | '
        f'{min(gains):+.1%} | {max_inversions} |'
    )


def format_ablations(
    results: list[CaseResult], ablation_results: list[CaseResult]
) -> list[str]:
    lines = [
        '',
        '## Each decision switched off',
        '',
        'Means over the same seeds, with the decision, then without it.',
        '',
        '| decision | pattern | deployment | critical | total | wasted, k | '
        'Jain | shed above lower work | refused late |',
        SEPARATOR_9,
    ]
    for name, pattern in ABLATIONS.items():
        for deployment in DEPLOYMENTS:
            disabled_results = [
                result
                for result in ablation_results
                if result.case.disabled == name
                and result.case.deployment == deployment
            ]
            seeds = {result.case.seed for result in disabled_results}
            enabled_results = [
                result
                for result in filter_results(results, deployment, pattern)
                if result.case.seed in seeds
            ]
            cells = ' | '.join(
                _format_change(enabled_results, disabled_results)
            )
            lines.append(f'| {name} | {pattern} | {deployment} | {cells} |')
    return lines


def _format_change(
    enabled_results: list[CaseResult], disabled_results: list[CaseResult]
) -> list[str]:
    measures: list[tuple[Callable[[CaseResult], float], str]] = [
        (lambda result: result.tiers[0], '.1%'),
        (lambda result: result.total_goodput, '.1%'),
        (lambda result: result.wasted_prefill, '.0f'),
        (lambda result: result.fairness, '.3f'),
        (lambda result: sum(result.inversions), '.0f'),
        (lambda result: result.refused_late, '.0f'),
    ]
    return [
        f'{_mean(enabled_results, measure):{format_spec}} / '
        f'{_mean(disabled_results, measure):{format_spec}}'
        for measure, format_spec in measures
    ]


def _mean(
    results: list[CaseResult], measure: Callable[[CaseResult], float]
) -> float:
    return sum(measure(result) for result in results) / len(results)


def write_plots(results: list[CaseResult], folder: Path) -> None:
    """Draw goodput by tier and wasted prefill, median over the seeds."""
    from matplotlib import use  # noqa: PLC0415  # only plots need it

    use('Agg')
    from matplotlib import pyplot  # noqa: PLC0415

    folder.mkdir(parents=True, exist_ok=True)
    for deployment in DEPLOYMENTS:
        figure, axes = pyplot.subplots(3, 1, figsize=(10, 11))
        charts: list[tuple[str, Callable[[CaseResult], float]]] = [
            ('goodput, critical tier', lambda result: result.tiers[0]),
            ('goodput, all', lambda result: result.total_goodput),
            ('wasted prefill, k tokens', lambda result: result.wasted_prefill),
        ]
        for axis, (title, measure) in zip(axes, charts, strict=True):
            for index, name in enumerate(SCHEDULERS):
                heights = [
                    median(
                        measure(result)
                        for result in filter_results(
                            results, deployment, pattern.name, name
                        )
                    )
                    for pattern in PATTERNS
                ]
                positions = [
                    position + index * 0.2 for position in range(len(PATTERNS))
                ]
                axis.bar(positions, heights, width=0.2, label=name)
            axis.set_title(f'{deployment}: {title}')
            axis.set_xticks(
                [position + 0.3 for position in range(len(PATTERNS))],
                [pattern.name for pattern in PATTERNS],
            )
        axes[0].legend(fontsize=8)
        figure.tight_layout()
        figure.savefig(folder / f'benchmark-{deployment}.png', dpi=80)
        pyplot.close(figure)
