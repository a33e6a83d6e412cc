"""Changes of engines that an issuer has begun."""

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
from bramleybend.scheduler.load_permits import LoadPermit

# An order whose reply was lost may still be on its way. Engines begin to load
# within a round trip, so an order without effect by then was not executed.
ORDER_SETTLE_S: Final = 2.0
# Without a delay, a version that can't be loaded would be fetched continuously.
RETRY_DELAY_S: Final = 30.0


class ChangePhase(StrEnum):
    """The phase of one engine's change."""

    DRAINING = 'draining'
    ORDERED = 'ordered'
    FAILED = 'failed'


@dataclass
class EngineChange:
    """The change of one engine towards its declared state."""

    vm: Vm
    phase: ChangePhase
    entered_at: float
    drained_at: float | None = None
    order: Order | None = None
    permit: LoadPermit | None = None

    def enter_phase(self, phase: ChangePhase, now: float) -> None:
        """Enter a phase."""
        self.phase = phase
        self.entered_at = now

    def is_past_settle_time(self, now: float) -> bool:
        """Whether the order, if executed, must have had an effect by now."""
        return now - self.entered_at >= ORDER_SETTLE_S

    def is_retry_due(self, now: float) -> bool:
        """Whether the change failed long enough ago to be tried again."""
        return (
            self.phase is ChangePhase.FAILED
            and now - self.entered_at >= RETRY_DELAY_S
        )


def make_engine_views(
    vms: Sequence[Vm],
    states: Mapping[str, EngineState],
    changes: Mapping[str, EngineChange],
) -> list[EngineView]:
    """Return the engines in the form that `decisions.orders` takes."""
    return [
        EngineView(
            vm.name,
            states.get(vm.name),
            _is_in_phase(
                changes, vm, ChangePhase.DRAINING, ChangePhase.ORDERED
            ),
            _is_in_phase(changes, vm, ChangePhase.FAILED),
        )
        for vm in vms
    ]


def count_draining(changes: Mapping[str, EngineChange]) -> int:
    """Return how many engines are draining and may soon need a permit."""
    return sum(
        change.phase is ChangePhase.DRAINING for change in changes.values()
    )


def collect_load_ids(changes: Iterable[EngineChange]) -> frozenset[str]:
    """Return the ids of the loads that belong to these changes."""
    return frozenset(
        change.permit.load_id for change in changes if change.permit
    )


def is_order_finished(
    change: EngineChange,
    state: EngineState | None,
    target: EngineTarget,
    now: float,
) -> bool:
    """Whether an order has ended, with or without success."""
    if state is None or state.loading:
        return False
    if next_order(state, target) != change.order:
        return True
    return change.is_past_settle_time(now)


def _is_in_phase(
    changes: Mapping[str, EngineChange],
    vm: Vm,
    *phases: ChangePhase,
) -> bool:
    change = changes.get(vm.name)
    return change is not None and change.phase in phases
