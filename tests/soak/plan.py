"""What happens in one run, drawn from its seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

CALM_FIRST_S: Final = 3.0  # callers are served before the first fault
CALM_LAST_S: Final = 6.0  # and recover after the last one
LONGEST_S: Final = 4.0
PAUSE_S: Final = (0.1, 1.8)  # between the begins of two faults; they overlap


class FaultKind(StrEnum):
    """What is done, from outside the processes."""

    KILL = 'kill'  # SIGKILL, started again at once
    STOP = 'stop'  # SIGTERM, started again once it has ended
    FREEZE = 'freeze'  # SIGSTOP, SIGCONT after a while
    KILL_ALL = 'kill_all'
    RELOAD = 'reload'  # SIGHUP
    STORE_CUT = 'store_cut'  # one VM's link to the store, silent both ways
    STORE_DEAF = 'store_deaf'  # its answers don't come back
    STORE_RESET = 'store_reset'  # its connections are closed
    STORE_AWAY = 'store_away'  # the store refuses everybody
    RUNNER_CRASH = 'runner_crash'
    RUNNER_LEAVE = 'runner_leave'  # in order
    RUNNER_MUTE = 'runner_mute'  # takes requests and says nothing
    CHANGE = 'change'  # a route more
    LARGE_CHANGE = 'large_change'  # 1,500 routes more
    REVOKE = 'revoke'  # a key is taken away


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


@dataclass(frozen=True)
class Fault:
    """One fault of a run."""

    at: float  # seconds from the start of the load
    kind: FaultKind
    seconds: float  # how long, where it lasts
    pick: int  # chooses the VM or runner, by the remainder


def draw(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run, in order; one seed gives one plan."""
    rng = Random(seed)
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    at = CALM_FIRST_S
    faults = []
    while at < seconds - CALM_LAST_S:
        kind = rng.choices(kinds, weights)[0]
        most_s = min(LONGEST_S, seconds - CALM_LAST_S - at)
        lasts_s = rng.uniform(0.2, max(most_s, 0.3))
        faults.append(Fault(at, kind, lasts_s, rng.randrange(1000)))
        at += rng.uniform(*PAUSE_S)
    return faults
