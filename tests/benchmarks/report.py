"""Rows, tables and plots of the benchmark."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median

from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Tier
from tests.benchmarks.patterns import DEPLOYMENTS, PATTERNS
from tests.benchmarks.players import PATTERN_BY_NAME, SCHEDULERS, play

OURS = SCHEDULERS[0]
AFFINITY = 'affinity'
# Each decision, and the pattern that it answers.
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
class Case:
    """One run to play."""

    deployment: str
    pattern: str
    scheduler: str
    seed: int
    without: str = ''


@dataclass(frozen=True)
class Row:
    """What one run gave."""

    case: Case
    tiers: tuple[float, ...]
    total: float
    wasted: float  # thousands of tokens
    fairness: float
    inversions: tuple[int, ...]
    refused_late: int
    refused: int


def play_case(case: Case) -> Row:
    switches = PolicySwitches()
    if case.without not in {'', AFFINITY}:
        switches = replace(switches, **{case.without: False})
    scores = play(
        case.scheduler,
        DEPLOYMENTS[case.deployment],
        PATTERN_BY_NAME[case.pattern],
        case.seed,
        switches,
        affinity=case.without != AFFINITY,
    )
    return Row(
        case,
        tuple(scores.goodput(tier) for tier in Tier),
        scores.total(),
        scores.wasted / 1000,
        scores.fairness(),
        tuple(scores.inversions[tier] for tier in Tier),
        scores.refused_late,
        scores.refused,
    )


def select(
    rows: Iterable[Row],
    deployment: str,
    pattern: str,
    scheduler: str = OURS,
) -> list[Row]:
    return [
        row
        for row in rows
        if row.case.deployment == deployment
        and row.case.pattern == pattern
        and row.case.scheduler == scheduler
    ]


def _figures(rows: Sequence[Row]) -> str:
    """Show median (worst) of each measure."""
    cells = [
        _percent([row.tiers[tier - 1] for row in rows], min) for tier in Tier
    ]
    cells.append(_percent([row.total for row in rows], min))
    wasted = [row.wasted for row in rows]
    cells.append(f'{median(wasted):.0f} ({max(wasted):.0f})')
    fair = [row.fairness for row in rows]
    cells.append(f'{median(fair):.3f} ({min(fair):.3f})')
    return ' | '.join(cells)


def _percent(
    parts: list[float],
    worst: Callable[[list[float]], float],
) -> str:
    return f'{median(parts):.1%} ({worst(parts):.1%})'


HEAD = '| critical | high | normal | bulk | total | wasted, k tokens | Jain |'
RULE = '|---|---|---|---|---|---|---|---|'
RULE_9 = '|---|---|---|---|---|---|---|---|---|'
RULE_6 = '|---|---|---|---|---|---|'


def comparison_lines(rows: list[Row]) -> list[str]:
    lines = [
        '## Goodput, wasted prefill and fairness',
        '',
        'Median over the seeds, the worst one in brackets.',
    ]
    for deployment in DEPLOYMENTS:
        for pattern in PATTERNS:
            lines += ['', f'### {deployment}: {pattern.name}', '']
            lines += [f'| scheduler {HEAD}', RULE]
            for name in SCHEDULERS:
                chosen = select(rows, deployment, pattern.name, name)
                lines.append(f'| {name} | {_figures(chosen)} |')
    return lines


def goal_lines(rows: list[Row]) -> list[str]:
    lines = ['', '## Goals', '']
    heads = (
        'deployment',
        'pattern',
        'critical, worst',
        'wasted / least outstanding',
        'total less best baseline, worst',
        'shed above lower work, by tier, worst',
    )
    lines += [f'| {" | ".join(heads)} |', RULE_6]
    for deployment in DEPLOYMENTS:
        for pattern in PATTERNS:
            lines.append(_goal_line(rows, deployment, pattern.name))
    return lines


def _goal_line(rows: list[Row], deployment: str, pattern: str) -> str:
    ours = select(rows, deployment, pattern)
    critical = min(row.tiers[0] for row in ours)
    least = select(rows, deployment, pattern, 'least outstanding')
    wasted = median(row.wasted for row in ours)
    ratio = wasted / median(row.wasted for row in least)
    others = [
        select(rows, deployment, pattern, name) for name in SCHEDULERS[1:]
    ]
    gains = [
        row.total - max(other[index].total for other in others)
        for index, row in enumerate(ours)
    ]
    shed = [max(row.inversions[tier - 1] for row in ours) for tier in Tier]
    return (
        f'| {deployment} | {pattern} | {critical:.1%} | {ratio:.2f} | '
        f'{min(gains):+.1%} | {shed} |'
    )


def ablation_lines(rows: list[Row], ablated: list[Row]) -> list[str]:
    lines = [
        '',
        '## Each decision switched off',
        '',
        'Means over the same seeds, with the decision, then without it.',
        '',
        '| decision | pattern | deployment | critical | total | wasted, k | '
        'Jain | shed above lower work | refused late |',
        RULE_9,
    ]
    for name, pattern in ABLATIONS.items():
        for deployment in DEPLOYMENTS:
            off = [
                row
                for row in ablated
                if row.case.without == name
                and row.case.deployment == deployment
            ]
            seeds = {row.case.seed for row in off}
            on = [
                row
                for row in select(rows, deployment, pattern)
                if row.case.seed in seeds
            ]
            cells = ' | '.join(_change(on, off))
            lines.append(f'| {name} | {pattern} | {deployment} | {cells} |')
    return lines


def _change(on: list[Row], off: list[Row]) -> list[str]:
    measures: list[tuple[Callable[[Row], float], str]] = [
        (lambda row: row.tiers[0], '.1%'),
        (lambda row: row.total, '.1%'),
        (lambda row: row.wasted, '.0f'),
        (lambda row: row.fairness, '.3f'),
        (lambda row: sum(row.inversions), '.0f'),
        (lambda row: row.refused_late, '.0f'),
    ]
    return [
        f'{_mean(on, measure):{form}} / {_mean(off, measure):{form}}'
        for measure, form in measures
    ]


def _mean(rows: list[Row], measure: Callable[[Row], float]) -> float:
    return sum(measure(row) for row in rows) / len(rows)


def write_plots(rows: list[Row], folder: Path) -> None:
    """Draw goodput by tier and wasted prefill, median over the seeds."""
    from matplotlib import use  # noqa: PLC0415  # only here is it needed

    use('Agg')
    from matplotlib import pyplot  # noqa: PLC0415

    folder.mkdir(parents=True, exist_ok=True)
    for deployment in DEPLOYMENTS:
        figure, axes = pyplot.subplots(3, 1, figsize=(10, 11))
        draws: list[tuple[str, Callable[[Row], float]]] = [
            ('goodput, critical tier', lambda row: row.tiers[0]),
            ('goodput, all', lambda row: row.total),
            ('wasted prefill, k tokens', lambda row: row.wasted),
        ]
        for axis, (title, measure) in zip(axes, draws, strict=True):
            for index, name in enumerate(SCHEDULERS):
                heights = [
                    median(
                        measure(row)
                        for row in select(rows, deployment, pattern.name, name)
                    )
                    for pattern in PATTERNS
                ]
                places = [at + index * 0.2 for at in range(len(PATTERNS))]
                axis.bar(places, heights, width=0.2, label=name)
            axis.set_title(f'{deployment}: {title}')
            axis.set_xticks(
                [at + 0.3 for at in range(len(PATTERNS))],
                [pattern.name for pattern in PATTERNS],
            )
        axes[0].legend(fontsize=8)
        figure.tight_layout()
        figure.savefig(folder / f'benchmark-{deployment}.png', dpi=80)
        pyplot.close(figure)
