"""`python -m tests.soak`: runs seeds and prints which promises were broken.

python -m tests.soak --seeds 50 --seconds 30
python -m tests.soak --seed 17 --seconds 30 --vms 12 --keep run/soak-17
"""

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from random import SystemRandom
from typing import Final

from bramleybend.exit_status import ExitStatus
from tests.soak.plan import draw_faults, draw_release_faults
from tests.soak.play import SoakResult, run_soak

# A VM's number is the last byte of its address, at most two digits.
MAX_VMS: Final = 99
DOMAINS: Final = 3


def main(args: Sequence[str]) -> ExitStatus:
    """Run the seeds; return an error if any promise was broken."""
    cfg = _parser().parse_args(args)
    if not DOMAINS <= cfg.vms <= MAX_VMS:
        print(f'--vms {cfg.vms}: use {DOMAINS} to {MAX_VMS}', file=sys.stderr)
        return ExitStatus.USAGE
    first_seed = (
        SystemRandom().randrange(10**6) if cfg.seed is None else cfg.seed
    )
    broken_count = 0
    for seed in range(first_seed, first_seed + cfg.seeds):
        print(f'seed={seed}', end=' ', flush=True)
        result = _run_seed(seed, cfg)
        print(_format_result(result), flush=True)
        broken_count += bool(result.violations)
    print(f'{cfg.seeds} seeds, {broken_count} with a promise broken')
    return ExitStatus.ERROR if broken_count else ExitStatus.OK


def _run_seed(seed: int, cfg: argparse.Namespace) -> SoakResult:
    with tempfile.TemporaryDirectory(prefix='soak-') as temporary:
        folder = Path(cfg.keep or temporary) / f'seed-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        draw = draw_release_faults if cfg.releases else draw_faults
        return asyncio.run(run_soak(seed, cfg.seconds, cfg.vms, folder, draw))


def _format_result(result: SoakResult) -> str:
    statuses = ','.join(
        f'{status or "none"}:{count}'
        for status, count in sorted(result.statuses.items())
    )
    broken_lines = [
        f'\n  broken: {violation.promise}: {violation.detail}'
        for violation in result.violations
    ]
    line = f'faults={len(result.faults)} sent={result.sent} {statuses}'
    return line + ''.join(broken_lines)


def _parser() -> argparse.ArgumentParser:
    flags = argparse.ArgumentParser(
        prog='python -m tests.soak',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    flags.add_argument('--seed', type=int, help='the first; random if left out')
    flags.add_argument('--seeds', type=int, default=1, help='how many')
    flags.add_argument('--seconds', type=float, default=30, help='of load each')
    flags.add_argument('--vms', type=int, default=6, help='entry processes')
    flags.add_argument(
        '--releases', action='store_true', help='releases beside frozen VMs'
    )
    flags.add_argument('--keep', help='folder for logs and faults')
    return flags


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
