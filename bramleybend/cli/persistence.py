"""Asks again within a command's time limit, where that changes nothing."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.errors import ErrorKind, ProblemError

Value = TypeVar('Value')


async def ask_until(
    ctx: Context,
    deadline: float,
    passing: ErrorKind,
    ask: Callable[[], Awaitable[Value]],
) -> Value:
    """Return what `ask` returns; a `passing` kind of problem is asked past.

    Raises `ProblemError`: at once for another kind, and for a passing one
    that lasts until `deadline` on the monotonic clock.
    """
    while True:
        try:
            return await ask()
        except ProblemError as exc:
            is_late = ctx.env.clock.monotonic() >= deadline
            if is_late or exc.problem.kind is not passing:
                raise
            ctx.progress(f'asking again: {exc.problem.detail}')
        await ctx.env.sleep(POLL_S)
