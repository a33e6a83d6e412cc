"""What an issuer knows of the engines it is changing."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from bramleybend.decisions.orders import (
    EngineState,
    EngineView,
    Order,
    next_order,
)
from bramleybend.models import EngineTarget, Vm
from bramleybend.scheduler.load_permits import Permit

# An order whose reply was lost may still be on its way; engines begin to load
# within a round trip, so what isn't seen by then was not taken.
ORDER_SETTLE_S: Final = 2.0
# A version that can't be loaded would else be fetched again without pause.
RETRY_S: Final = 30.0


class Phase(StrEnum):
    """How far the change of one engine has come."""

    DRAINING = 'draining'
    ORDERED = 'ordered'
    FAILED = 'failed'


@dataclass
class Change:
    """One engine on its way to what is declared."""

    vm: Vm
    phase: Phase
    since: float
    drained_at: float | None = None
    order: Order | None = None
    permit: Permit | None = None

    def enter(self, phase: Phase, now: float) -> None:
        """Begin the next phase."""
        self.phase = phase
        self.since = now

    def is_settled(self, now: float) -> bool:
        """Whether the order, if it was taken, must show by now."""
        return now - self.since >= ORDER_SETTLE_S

    def is_forgotten(self, now: float) -> bool:
        """Whether a failure is long enough ago to try again."""
        return self.phase is Phase.FAILED and now - self.since >= RETRY_S


def views_of(
    vms: Sequence[Vm],
    states: Mapping[str, EngineState],
    changes: Mapping[str, Change],
) -> list[EngineView]:
    """Return the engines as the decisions see them."""
    return [
        EngineView(
            vm.name,
            states.get(vm.name),
            _in_phase(changes, vm, Phase.DRAINING, Phase.ORDERED),
            _in_phase(changes, vm, Phase.FAILED),
        )
        for vm in vms
    ]


def count_draining(changes: Mapping[str, Change]) -> int:
    """Return how many engines may ask for a permit soon."""
    return sum(change.phase is Phase.DRAINING for change in changes.values())


def loads_of(changes: Iterable[Change]) -> frozenset[str]:
    """Return the ids of the loads that these changes began."""
    return frozenset(
        change.permit.load_id for change in changes if change.permit
    )


def is_taken(
    change: Change,
    state: EngineState | None,
    target: EngineTarget,
    now: float,
) -> bool:
    """Whether an order has come to its end, well or not."""
    if state is None or state.loading:
        return False
    if next_order(state, target) != change.order:
        return True
    return change.is_settled(now)


def _in_phase(
    changes: Mapping[str, Change],
    vm: Vm,
    *phases: Phase,
) -> bool:
    change = changes.get(vm.name)
    return change is not None and change.phase in phases
