"""Which engine is ordered next, and which get no work meanwhile.

Load pattern: new weights for a whole pool under full load.
Without it: all engines would load at once, and nobody would serve; or a
version that can't be loaded would take one engine after the other out.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from bramleybend.models import EngineRole, EngineTarget


@dataclass(frozen=True)
class EngineState:
    """What an engine reports that it holds."""

    model: str
    version: str
    adapters: frozenset[str]
    role: EngineRole
    loading: bool


@dataclass(frozen=True)
class LoadModel:
    """Load a version of a model in place of what is held."""

    model: str
    version: str


@dataclass(frozen=True)
class LoadAdapter:
    """Load an adapter beside those that are held."""

    adapter: str


@dataclass(frozen=True)
class SetRole:
    """Take another part of the work; needs no weights."""

    role: EngineRole


Order: TypeAlias = LoadModel | LoadAdapter | SetRole


@dataclass(frozen=True)
class EngineView:
    """One engine of a shard, as its issuer knows it."""

    name: str
    state: EngineState | None = None  # none: it has not answered
    changing: bool = False  # taken out of service for an order
    failed: bool = False  # did not do as ordered, lately


def next_order(state: EngineState, target: EngineTarget) -> Order | None:
    """Return the one order that brings an engine closer to its target.

    The model goes first: engines drop adapters with the model they were for.
    """
    if (state.model, state.version) != (target.model, target.version):
        return LoadModel(target.model, target.version)
    missing = [name for name in target.adapters if name not in state.adapters]
    if missing:
        return LoadAdapter(missing[0])
    if state.role is not target.role:
        return SetRole(target.role)
    return None


def needs_weights(order: Order) -> bool:
    """Whether the order makes an engine read from the weight store."""
    return not isinstance(order, SetRole)


def is_right(state: EngineState | None, target: EngineTarget) -> bool:
    """Whether an engine holds what it should, and is done loading it."""
    if state is None or state.loading:
        return False
    return next_order(state, target) is None


def unfit_engines(
    views: Sequence[EngineView],
    target: EngineTarget,
) -> frozenset[str]:
    """Return the engines that get no work now.

    With a new version published every engine is wrong at once. So a wrong one
    serves on with what it has until half of the shard is right. An engine
    that has never answered is left in: work goes on if only its report fails.
    """
    right_count = sum(is_right(view.state, target) for view in views)
    is_half_right = 2 * right_count >= len(views)
    return frozenset(
        view.name
        for view in views
        if view.changing
        or _is_empty(view.state)
        or (is_half_right and _is_wrong(view.state, target))
    )


def engines_to_change(
    views: Sequence[EngineView],
    target: EngineTarget,
    loads_at_once: int,
) -> tuple[str, ...]:
    """Return the engines to take out of service for an order now.

    Half of a shard at most is out at once, or its only engine. What failed
    or does not answer counts as out: a version that can't be loaded then
    stops its own rollout, and what is left serves on.
    """
    out_count = sum(_is_out(view) for view in views)
    max_out = min(max(len(views) // 2, 1), loads_at_once)
    wrong = [
        view
        for view in views
        if not _is_out(view) and _is_wrong(view.state, target)
    ]
    # One that holds nothing serves nobody, so nothing is lost by its load.
    wrong.sort(key=lambda view: (not _is_empty(view.state), view.name))
    return tuple(view.name for view in wrong[: max(max_out - out_count, 0)])


def _is_out(view: EngineView) -> bool:
    if view.changing or view.failed or view.state is None:
        return True
    return view.state.loading


def _is_empty(state: EngineState | None) -> bool:
    return state is not None and (state.loading or not state.model)


def _is_wrong(state: EngineState | None, target: EngineTarget) -> bool:
    return state is not None and not is_right(state, target)
