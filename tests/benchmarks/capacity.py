"""Measures the slopes behind docs/CAPACITY.md and prints them.

Run all with `make capacity`, or some: `python -m tests.benchmarks.capacity
gossip terms`. Figures are for ratios and slopes on one machine; every series
has at least four sizes and says how far its line can be trusted.
"""

import argparse
import sys
from collections.abc import Callable, Iterator, Mapping
from datetime import UTC, datetime
from platform import python_version
from types import MappingProxyType

from tests.benchmarks import capacity_control as control
from tests.benchmarks import capacity_gossip as gossip
from tests.benchmarks import capacity_processes as processes
from tests.benchmarks.capacity_many import measure_schedulers
from tests.benchmarks.slopes import Series

Measure = Callable[[], Iterator[Series]]

MEASURES: Mapping[str, tuple[Measure, ...]] = MappingProxyType(
    {
        'membership': (gossip.measure_membership,),
        'gossip': (gossip.measure_calls,),
        'detection': (gossip.measure_detection,),
        'terms': (control.measure_terms, gossip.measure_terms_spread),
        'ownership': (control.measure_ownership,),
        'views': (control.measure_views,),
        'list': (control.measure_vm_list,),
        'policy': (control.measure_policy,),
        'events': (control.measure_events,),
        'requests': (
            processes.measure_journal_behind,
            processes.measure_journal_before_dispatch,
        ),
        'streams': (processes.measure_streams,),
        'idle': (processes.measure_idle,),
        'many': (measure_schedulers,),
    },
)


def main() -> None:
    """Print the requested series."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'names',
        nargs='*',
        metavar='NAME',
        help=f'what to measure: {", ".join(MEASURES)}; all by default',
    )
    names = parser.parse_args().names or list(MEASURES)
    unknown = set(names) - MEASURES.keys()
    if unknown:
        parser.error(f'not measured here: {", ".join(sorted(unknown))}')
    started = datetime.now(UTC)
    _print_line(f'{started:%Y-%m-%d %H:%M} UTC, Python {python_version()}')
    for name in names:
        for measure in MEASURES[name]:
            for series in measure():
                _print_line(series.format_table())


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
