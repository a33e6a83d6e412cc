"""The faults of one run, drawn from its seed."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from random import Random
from typing import Final

WARMUP_S: Final = 3.0  # load without faults before the first one
RECOVERY_S: Final = 6.0  # time to recover after the last fault
MAX_FAULT_S: Final = 4.0
# Between the starts of two faults, which may overlap.
FAULT_INTERVAL_S: Final = (0.1, 1.8)


class FaultKind(StrEnum):
    """Kinds of faults, all injected from outside the processes."""

    KILL = 'kill'  # SIGKILL, restarted at once
    STOP = 'stop'  # SIGTERM, restarted once it has exited
    FREEZE = 'freeze'  # SIGSTOP, later SIGCONT
    KILL_ALL = 'kill_all'
    RELOAD = 'reload'  # SIGHUP
    STORE_CUT = 'store_cut'  # one VM's link to the store stalls both ways
    STORE_DEAF = 'store_deaf'  # that link holds back the store's answers only
    STORE_RESET = 'store_reset'  # connections of one VM to the store are closed
    STORE_AWAY = 'store_away'  # the store refuses all requests
    RUNNER_CRASH = 'runner_crash'
    RUNNER_LEAVE = 'runner_leave'  # orderly, after draining
    RUNNER_DELIST = 'runner_delist'  # its entry is removed, it serves on
    RUNNER_MUTE = 'runner_mute'  # accepts requests and never answers
    PATHS_SILENT = 'paths_silent'  # one VM's packets to all runners are lost
    PATHS_RESET = 'paths_reset'  # its connections to them are reset or refused
    CHANGE = 'change'  # one more route
    LARGE_CHANGE = 'large_change'  # 1,500 more routes
    REVOKE = 'revoke'  # an API key is revoked


WEIGHTS: Final = {
    FaultKind.KILL: 4,
    FaultKind.STOP: 3,
    FaultKind.FREEZE: 4,
    FaultKind.KILL_ALL: 1,
    FaultKind.RELOAD: 2,
    FaultKind.STORE_CUT: 3,
    FaultKind.STORE_DEAF: 3,
    FaultKind.STORE_RESET: 3,
    FaultKind.STORE_AWAY: 2,
    FaultKind.RUNNER_CRASH: 4,
    FaultKind.RUNNER_LEAVE: 4,
    FaultKind.RUNNER_MUTE: 2,
    FaultKind.CHANGE: 4,
    FaultKind.LARGE_CHANGE: 2,
    FaultKind.REVOKE: 2,
}


RELEASE_FAULTS: Final = (FaultKind.RUNNER_LEAVE, FaultKind.RUNNER_DELIST)
RELEASE_INTERVAL_S: Final = 6.6
RELEASE_PAUSE_S: Final = 0.76  # between two runners of a release
RELEASED_RUNNERS: Final = 5
FREEZE_DELAY_S: Final = 0.4  # after the start of a release
PATH_FAULTS: Final = (FaultKind.PATHS_SILENT, FaultKind.PATHS_RESET)
PATH_FAULT_INTERVAL_S: Final = (2.0, 8.0)
PATH_FAULT_S: Final = (0.5, 5.0)


@dataclass(frozen=True)
class Fault:
    """One fault of a run."""

    at: float  # seconds since the start of the load
    kind: FaultKind
    seconds: float  # duration of a fault that lasts
    pick: int  # selects a VM or runner, modulo their number


def draw_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a run, ordered by time.

    The same seed and duration give the same faults.
    """
    rng = Random(seed)
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    at = WARMUP_S
    faults = []
    while at < duration_s - RECOVERY_S:
        kind = rng.choices(kinds, weights)[0]
        max_fault_s = min(MAX_FAULT_S, duration_s - RECOVERY_S - at)
        fault_s = rng.uniform(0.2, max(max_fault_s, 0.3))
        faults.append(Fault(at, kind, fault_s, rng.randrange(1000)))
        at += rng.uniform(*FAULT_INTERVAL_S)
    faults.extend(_draw_path_faults(seed, duration_s))
    return sorted(faults, key=_start_of)


def draw_release_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return releases of runners, beside each of which one VM freezes.

    Half of the runners that leave announce it; of the others the entry is
    removed.
    """
    rng = Random(f'releases-{seed}')
    at = WARMUP_S
    faults = []
    for turn in count(seed):
        if at >= duration_s - RECOVERY_S:
            break
        faults.append(Fault(at + FREEZE_DELAY_S, FaultKind.FREEZE, 4, turn))
        for step in range(RELEASED_RUNNERS):
            kind = rng.choice(RELEASE_FAULTS)
            leaves_at = at + step * RELEASE_PAUSE_S
            faults.append(Fault(leaves_at, kind, 0, rng.randrange(1000)))
        at += RELEASE_INTERVAL_S
    return sorted(faults, key=_start_of)


def _draw_path_faults(seed: int, duration_s: float) -> Iterator[Fault]:
    """Yield faults of VMs' paths to runners, drawn apart from the others."""
    rng = Random(f'paths-{seed}')
    at = WARMUP_S + rng.uniform(*PATH_FAULT_INTERVAL_S)
    while at < duration_s - RECOVERY_S:
        kind = rng.choice(PATH_FAULTS)
        max_s = max(duration_s - RECOVERY_S - at, PATH_FAULT_S[0])
        fault_s = min(rng.uniform(*PATH_FAULT_S), max_s)
        yield Fault(at, kind, fault_s, rng.randrange(1000))
        at += rng.uniform(*PATH_FAULT_INTERVAL_S)


def _start_of(fault: Fault) -> float:
    return fault.at
