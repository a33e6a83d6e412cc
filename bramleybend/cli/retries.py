"""Retries idempotent calls within a command's time limit."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.errors import ErrorKind, ProblemError

Value = TypeVar('Value')


async def retry_until(
    ctx: Context,
    deadline: float,
    transient_kind: ErrorKind,
    call: Callable[[], Awaitable[Value]],
) -> Value:
    """Return the result of `call`; retry problems of `transient_kind`.

    Raises `ProblemError` immediately for any other kind, and for
    `transient_kind` once `deadline` on the monotonic clock is reached.
    """
    while True:
        try:
            return await call()
        except ProblemError as exc:
            is_past_deadline = ctx.env.clock.monotonic() >= deadline
            if is_past_deadline or exc.problem.kind is not transient_kind:
                raise
            ctx.report_progress(f'retrying: {exc.problem.detail}')
        await ctx.env.sleep(POLL_S)
