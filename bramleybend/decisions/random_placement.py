"""Runner selection at a service for which each VM dispatches by itself.

Load pattern: many VMs with few requests each, which know the runners only by
their own runs.
Without it: each VM chooses the least cost, but the costs differ by noise. Of
runners that look alike, every VM takes the first of the list. Once each runner
has failed a request, a runner that joins and has failed none is the best for
all VMs at once, and is overloaded.

A runner is drawn with a probability that grows with its slots and falls with
the square of the request's cost on it. So a slow or failing runner gets little
work but is still tried, or it could not show that it has recovered. A runner
with an open connection is more likely: a new one costs both sides.
"""

from collections.abc import Sequence
from random import Random

from bramleybend.decisions.placement import (
    RunnerSnapshot,
    TimeLeft,
    decode_work,
)
from bramleybend.decisions.runs import Runner
from bramleybend.models import SlotRequest

MIN_RUN_S = 0.001  # precision of the measured run times
FAILURE_COST_FACTOR = 20.0  # cost added at a failure share of 1, in run times
# Applied to the weight of a runner with an open connection.
CONNECTED_WEIGHT_FACTOR = 3.0


def draw_runner(
    snapshots: Sequence[RunnerSnapshot],
    ask: SlotRequest,
    left: TimeLeft,
    rng: Random,
) -> Runner | None:
    """Draw a runner that may start a request now, if there is one."""
    eligible = [
        snapshot for snapshot in snapshots if _can_start(snapshot, ask, left)
    ]
    if not eligible:
        return None
    weights = [_weight(snapshot, ask) for snapshot in eligible]
    return rng.choices(eligible, weights)[0].runner


def _can_start(
    snapshot: RunnerSnapshot, ask: SlotRequest, left: TimeLeft
) -> bool:
    seconds = snapshot.estimate_run_s(ask)
    return snapshot.can_start_in_time(
        snapshot.prefill_tokens(ask), seconds, left
    )


def _weight(snapshot: RunnerSnapshot, ask: SlotRequest) -> float:
    # Slots are not reduced by a start rate: `can_start_in_time` has already
    # applied it.
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
