"""Orders to engines, and the engines that get no work meanwhile.

Load pattern: new weights for a whole pool under full load.
Without it: all engines would load at once and none would serve; or a version
that can't be loaded would take the engines out of service one by one.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from bramleybend.models import EngineRole, EngineTarget


@dataclass(frozen=True)
class EngineState:
    """An engine's report of what it has loaded."""

    model: str
    version: str
    adapters: frozenset[str]
    role: EngineRole
    loading: bool


@dataclass(frozen=True)
class LoadModel:
    """Load a version of a model instead of the loaded one."""

    model: str
    version: str


@dataclass(frozen=True)
class LoadAdapter:
    """Load an adapter in addition to the loaded ones."""

    adapter: str


@dataclass(frozen=True)
class SetRole:
    """Serve another phase of requests; needs no weights."""

    role: EngineRole


Order: TypeAlias = LoadModel | LoadAdapter | SetRole


@dataclass(frozen=True)
class EngineView:
    """One engine of a shard, as the issuer of its orders knows it."""

    name: str
    state: EngineState | None = None  # None if it has not replied
    is_changing: bool = False  # out of service for an order
    has_failed: bool = False  # failed a recent order


def next_order(state: EngineState, target: EngineTarget) -> Order | None:
    """Return the next order that brings an engine closer to its target.

    The model comes first: engines drop their adapters with the model.
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
    """Tell whether the order makes an engine read from the weight store."""
    return not isinstance(order, SetRole)


def matches_target(state: EngineState | None, target: EngineTarget) -> bool:
    """Tell whether an engine matches its target and is not loading."""
    if state is None or state.loading:
        return False
    return next_order(state, target) is None


def unavailable_engines(
    views: Sequence[EngineView],
    target: EngineTarget,
) -> frozenset[str]:
    """Return the engines that get no work now.

    When a new version is published, no engine matches it. So an engine with the
    wrong version continues to serve until half of the shard matches. An engine
    that has never replied stays in service: work continues if only its report
    fails.
    """
    right_count = sum(matches_target(view.state, target) for view in views)
    is_half_right = 2 * right_count >= len(views)
    return frozenset(
        view.name
        for view in views
        if view.is_changing
        or _is_empty(view.state)
        or (is_half_right and _is_wrong(view.state, target))
    )


def engines_to_change(
    views: Sequence[EngineView],
    target: EngineTarget,
    loads_at_once: int,
) -> tuple[str, ...]:
    """Return the engines to take out of service for an order now.

    At most half of a shard is out at once, or its only engine. Engines that
    failed or don't reply count as out: so a version that can't be loaded stops
    its own rollout, and the remaining engines continue to serve.
    """
    out_count = sum(_is_out(view) for view in views)
    max_out = min(max(len(views) // 2, 1), loads_at_once)
    wrong = [
        view
        for view in views
        if not _is_out(view) and _is_wrong(view.state, target)
    ]
    # An engine without a model serves no requests, so its load costs nothing.
    wrong.sort(key=lambda view: (not _is_empty(view.state), view.name))
    return tuple(view.name for view in wrong[: max(max_out - out_count, 0)])


def _is_out(view: EngineView) -> bool:
    if view.is_changing or view.has_failed or view.state is None:
        return True
    return view.state.loading


def _is_empty(state: EngineState | None) -> bool:
    return state is not None and (state.loading or not state.model)


def _is_wrong(state: EngineState | None, target: EngineTarget) -> bool:
    return state is not None and not matches_target(state, target)
