"""`python -m tests.soak`: plays seeds and tells which promises broke.

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
from tests.soak.play import Played, play

MOST_VMS: Final = 99  # one address each in the last byte's tens
DOMAINS: Final = 3


def main(args: Sequence[str]) -> ExitStatus:
    """Play, and exit with an error where a promise broke."""
    cfg = _parser().parse_args(args)
    if not DOMAINS <= cfg.vms <= MOST_VMS:
        print(f'--vms {cfg.vms}: use {DOMAINS} to {MOST_VMS}', file=sys.stderr)
        return ExitStatus.USAGE
    first = SystemRandom().randrange(10**6) if cfg.seed is None else cfg.seed
    broken = 0
    for seed in range(first, first + cfg.seeds):
        print(f'seed={seed}', end=' ', flush=True)
        played = _play(seed, cfg)
        print(_line(played), flush=True)
        broken += bool(played.findings)
    print(f'{cfg.seeds} seeds, {broken} with a promise broken')
    return ExitStatus.ERROR if broken else ExitStatus.OK


def _play(seed: int, cfg: argparse.Namespace) -> Played:
    with tempfile.TemporaryDirectory(prefix='soak-') as temporary:
        folder = Path(cfg.keep or temporary) / f'seed-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(seed, cfg.seconds, cfg.vms, folder))


def _line(played: Played) -> str:
    statuses = ','.join(
        f'{status or "none"}:{count}'
        for status, count in sorted(played.statuses.items())
    )
    told = [f'\n  broken: {one.promise}: {one.fact}' for one in played.findings]
    line = f'faults={len(played.faults)} sent={played.sent} {statuses}'
    return line + ''.join(told)


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
    flags.add_argument('--keep', help='folder for logs and faults')
    return flags


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
