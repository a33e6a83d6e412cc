"""Where a request goes at a service that each VM orders for itself.

Load pattern: many VMs with a request now and then, each of which knows the
runners by its own few runs alone.
Without it: the least cost wins, and costs differ by what hardly matters. Of
runners that look alike every VM takes the first of the list. Once each runner
has failed a request, one that joins and has failed none is the best for all VMs
at once, and is overrun.

A runner is drawn with a chance that grows with its slots and falls with the
square of what a request costs there. So a slow or failing one gets little, and
is still tried now and then, or it could not show that it has recovered. One to
which a connection is open is likelier: a new one costs both sides.
"""

from collections.abc import Sequence
from random import Random

from bramleybend.decisions.placement import (
    RunnerSnapshot,
    TimeLeft,
    decode_work,
)
from bramleybend.decisions.runs import Runner
from bramleybend.models import Ask

MIN_RUN_S = 0.001  # a run is not measured more exactly
FAILURE_COST_FACTOR = (
    20.0  # as dear as this is a runner that fails all its runs
)
CONNECTED_WEIGHT_FACTOR = 3.0  # as likely is one to which a connection is open


def draw_runner(
    snapshots: Sequence[RunnerSnapshot], ask: Ask, left: TimeLeft, rng: Random
) -> Runner | None:
    """Draw a runner that may take a request now, if there is one."""
    eligible = [
        snapshot for snapshot in snapshots if _can_start(snapshot, ask, left)
    ]
    if not eligible:
        return None
    weights = [_weight(snapshot, ask) for snapshot in eligible]
    return rng.choices(eligible, weights)[0].runner


def _can_start(snapshot: RunnerSnapshot, ask: Ask, left: TimeLeft) -> bool:
    seconds = snapshot.estimate_run_s(ask)
    return snapshot.can_start_in_time(
        snapshot.prefill_tokens(ask), seconds, left
    )


def _weight(snapshot: RunnerSnapshot, ask: Ask) -> float:
    # Not the slots that a named rate fills: the rate has let this start.
    slots = snapshot.runner.limit.value
    used_share = len(snapshot.runner.in_flight) / slots
    prefill = snapshot.prefill_tokens(ask)
    seconds = snapshot.pace.seconds(prefill, decode_work(ask)) * (
        1 + used_share
    )
    cost = max(seconds, MIN_RUN_S) * (
        1 + snapshot.failure_share * FAILURE_COST_FACTOR
    )
    weight = slots / cost**2
    if snapshot.runner.name in ask.connected:
        weight *= CONNECTED_WEIGHT_FACTOR
    return float(weight)
