"""Orders to engines while they serve; no rollout takes all of them out."""

from collections.abc import Sequence

import pytest

from bramleybend.decisions.orders import (
    EngineState,
    EngineView,
    LoadAdapter,
    LoadModel,
    Order,
    SetRole,
    engines_to_change,
    next_order,
    unavailable_engines,
)
from bramleybend.models import EngineRole, EngineTarget

TARGET = EngineTarget('model', '2', ('a', 'b'), EngineRole.DECODE)
MATCHING = EngineState(
    'model', '2', frozenset('abc'), EngineRole.DECODE, loading=False
)
OLD = EngineState('model', '1', frozenset(), EngineRole.DECODE, loading=False)
EMPTY = EngineState('', '', frozenset(), EngineRole.MIXED, loading=False)
LOADING = EngineState('model', '1', frozenset(), EngineRole.MIXED, loading=True)


def make_views(*states: EngineState | None) -> list[EngineView]:
    return [EngineView(f'e{at}', state) for at, state in enumerate(states)]


@pytest.mark.parametrize(
    ('state', 'order'),
    [
        (EMPTY, LoadModel('model', '2')),
        (OLD, LoadModel('model', '2')),
        (
            EngineState(
                'model', '2', frozenset('a'), EngineRole.MIXED, loading=False
            ),
            LoadAdapter('b'),
        ),
        (
            EngineState(
                'model', '2', frozenset('ab'), EngineRole.MIXED, loading=False
            ),
            SetRole(EngineRole.DECODE),
        ),
        (MATCHING, None),
    ],
)
def test_the_next_order_is_worked_out_from_the_state(
    state: EngineState,
    order: Order | None,
) -> None:
    assert next_order(state, TARGET) == order


@pytest.mark.parametrize(
    ('pool', 'unfit'),
    [
        ([OLD] * 4, set()),
        ([MATCHING, OLD, OLD, OLD], set()),
        ([MATCHING, MATCHING, OLD, OLD], {'e2', 'e3'}),
        ([OLD, LOADING, EMPTY, OLD], {'e1', 'e2'}),
        ([None, OLD, OLD], set()),
        ([None, MATCHING], set()),
    ],
)
def test_a_wrong_engine_serves_until_half_are_right(
    pool: Sequence[EngineState | None],
    unfit: set[str],
) -> None:
    assert unavailable_engines(make_views(*pool), TARGET) == unfit


@pytest.mark.parametrize(
    ('pool', 'limit', 'chosen'),
    [
        ([OLD] * 4, 9, ('e0', 'e1')),
        ([OLD] * 4, 1, ('e0',)),
        ([OLD], 9, ('e0',)),
        ([OLD, OLD, OLD, EMPTY], 1, ('e3',)),
        ([LOADING, OLD, OLD, OLD], 9, ('e1',)),
        ([None, None, OLD, OLD], 9, ()),
        ([MATCHING] * 4, 9, ()),
    ],
)
def test_no_more_than_half_of_a_shard_is_out_at_once(
    pool: Sequence[EngineState | None],
    limit: int,
    chosen: tuple[str, ...],
) -> None:
    assert engines_to_change(make_views(*pool), TARGET, limit) == chosen


def test_failed_engines_stop_the_rollout() -> None:
    pool = [
        EngineView('e0', OLD, has_failed=True),
        EngineView('e1', EMPTY, has_failed=True),
        EngineView('e2', OLD),
        EngineView('e3', OLD),
    ]

    assert not engines_to_change(pool, TARGET, 9)
    assert unavailable_engines(pool, TARGET) == {'e1'}
