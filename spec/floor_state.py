"""State, times and mutants of the tier floor models."""

from typing import Any, Final, NamedTuple

HOLD_TICKS: Final = 3
MARGIN_TICKS: Final = 1
# The owners' clocks are as fast as allowed. Slower clocks needn't be checked:
# with them a floor ends later, which only forbids more.
DRIFT_TICKS: Final = 1
FRESH_TICKS: Final = 2  # the age at which a gateway stops using its view
GRACE_TICKS: Final = FRESH_TICKS + HOLD_TICKS

NO_FLOOR: Final = 'an owner sets no floor'
FIRST_REPLY: Final = 'the first reply gives the permit'
FROM_REPLY: Final = 'the permit counts from the last reply'
NO_MARGIN: Final = 'the permit ends with the floor, clocks differ'
OLD_ROUND: Final = 'a reply to an old round counts'
GRANT_UNCOUNTED: Final = 'a grant on its way is not counted'
SETTLED_AT_ONCE: Final = 'a new owner says at once that nothing runs'
STARTS_AT_ONCE: Final = 'a new owner starts lower tiers at once'
STALE_GRANT: Final = 'a stale gateway uses a grant of the old owner'
STALE_ROUND: Final = 'a stale gateway opens a round'
NO_LOAD: Final = 'a new owner does not look at the load'
RUN_FORGOTTEN: Final = 'an owner forgets a run that passed to another'
EARLY_LOAD: Final = 'a load report from before the fence counts'

# States of the lower tier's run on shard 1.
NO_RUN: Final = 'none'
GRANT_SENT: Final = 'grant of A on its way'
UNDER_A: Final = 'runs under A'
UNDER_B: Final = 'runs under B'


class State(NamedTuple):
    """State of the model; fields named `_left` count ticks down to zero."""

    run0: bool = False
    run1: str = NO_RUN
    floors_left: tuple[int, ...] = (0, 0, 0)  # shard 0, A, B
    # The caller's round: time left, last message to or from each shard.
    round_left: int = 0
    messages: tuple[str, ...] = ('', '')  # '', 'to', 'ok', 'no', 'agreed'
    asks_b: bool = False
    old_oks: tuple[bool, ...] = (False, False)  # an `ok` to an old round
    permit_left: int = 0
    # Takeover of shard 1.
    taken_over: bool = False
    grace_left: int = 0
    fresh_left: int = 0
    lost_run_left: int = 0  # A counts a run that moved away
    caller_knows: bool = False
    other_knows: bool = False
    load_clear: bool = False  # a report after the fence showed no surplus
    shed_wrongly: bool = False
    shed: bool = False
    shed_by_b: bool = False


def tick(state: State) -> State:
    """Let one tick pass on every clock."""
    left = max(0, state.round_left - 1)
    if state.round_left and left <= MARGIN_TICKS:
        left = 0
    return state._replace(
        floors_left=tuple(max(0, floor - 1) for floor in state.floors_left),
        round_left=left,
        permit_left=max(0, state.permit_left - 1),
        grace_left=max(0, state.grace_left - 1),
        fresh_left=max(0, state.fresh_left - 1),
        lost_run_left=max(0, state.lost_run_left - 1),
    )


def replace_at(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    """Return the tuple with one value changed."""
    return (*values[:at], value, *values[at + 1 :])
