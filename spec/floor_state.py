"""The state of the tier floor's models, their times and their mutants."""

from typing import Any, Final, NamedTuple

HOLD: Final = 3
MARGIN: Final = 1
# Owners' clocks are as fast as they can be: a floor that ends later only
# forbids more, so no slower clock needs to be tried.
DRIFT: Final = 1
FRESH: Final = 2  # the age at which a gateway stops to act on its view
GRACE: Final = FRESH + HOLD

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

# A run of the lower tier on shard 1.
NONE: Final = 'none'
SENT: Final = 'grant of A on its way'
UNDER_A: Final = 'runs under A'
UNDER_B: Final = 'runs under B'


class State(NamedTuple):
    """Countdowns in ticks; zero is over."""

    run0: bool = False
    run1: str = NONE
    floors: tuple[int, ...] = (0, 0, 0)  # shard 0, A, B
    # The round: age left, messages to and from each shard.
    round_left: int = 0
    asked: tuple[str, ...] = ('', '')  # '', 'to', 'ok', 'no', 'agreed'
    asks_b: bool = False
    late: tuple[bool, ...] = (False, False)  # an `ok` to an old round
    permit: int = 0
    # Takeover of shard 1.
    taken: bool = False
    grace: int = 0
    fresh: int = 0
    lost_run: int = 0  # A counts a run that left it without an end
    caller_knows: bool = False
    other_knows: bool = False
    load_clear: bool = False  # a report after the fence showed no surplus
    shed_wrongly: bool = False
    shed: bool = False
    shed_by_b: bool = False


def tick(state: State) -> State:
    """Let one tick pass on every clock."""
    left = max(0, state.round_left - 1)
    if state.round_left and left <= MARGIN:
        left = 0
    return state._replace(
        floors=tuple(max(0, floor - 1) for floor in state.floors),
        round_left=left,
        permit=max(0, state.permit - 1),
        grace=max(0, state.grace - 1),
        fresh=max(0, state.fresh - 1),
        lost_run=max(0, state.lost_run - 1),
    )


def put(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    """Return the tuple with one value changed."""
    return (*values[:at], value, *values[at + 1 :])
