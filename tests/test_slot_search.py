"""When a request that gets no slot is answered."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest
from result import Err, Result

from bramleybend.answers import Answer, Outcome
from bramleybend.clock import SystemClock
from bramleybend.errors import Problem
from bramleybend.gateway.job import DispatchDeps, Job
from bramleybend.gateway.slot import Slot
from bramleybend.gateway.slot_search import SlotSearch
from bramleybend.metrics import make_metrics
from bramleybend.models import SlotRequest, Tier
from bramleybend.wire.bramleybend_pb2 import AskMessage, Refused

CLOCK = SystemClock()
MARGIN_S = 0.1
MayShed = Callable[..., Awaitable[bool]]


class _SilentOwner:
    """An owner that never decides; the ask is refused at its deadline."""

    async def acquire(
        self, ask: AskMessage, deadline: float
    ) -> Result[Slot, Refused | Problem]:
        await asyncio.sleep(max(deadline - CLOCK.monotonic(), 0))
        return Err(Refused(reason='no slot came free', shed=True))


async def _never(*_args: object) -> bool:
    return False


def _deps(may_shed: MayShed = _never) -> DispatchDeps:
    deps = SimpleNamespace(
        slot_client=_SilentOwner(),
        floor_rounds=SimpleNamespace(may_shed=may_shed),
        views=SimpleNamespace(view=SimpleNamespace(shards=())),
        clock=CLOCK,
        metrics=make_metrics(None),
        rng=Random(1),
        answer_deadline=lambda job: job.make_ask().deadline - MARGIN_S,
        record_event=lambda *_args, **_fields: None,
    )
    return cast('DispatchDeps', deps)


def _job(deadline: float) -> Job:
    ask = SlotRequest(
        request_id='a',
        service='booking-app',
        tier=Tier.HIGH,
        workspace='north',
        cost=1,
        prompt_tokens=1,
        prefixes=(),
        deadline=deadline,
        cancellable=True,
    )
    make_ask: Callable[[], SlotRequest] = lambda: ask  # noqa: E731
    job = SimpleNamespace(
        make_ask=make_ask,
        tier=ask.tier,
        service=SimpleNamespace(name=ask.service, shards=1),
    )
    return cast('Job', job)


@pytest.mark.parametrize('deadline_s', [0.5, 3])
async def test_a_request_without_a_slot_is_told_before_its_deadline(
    deadline_s: float,
) -> None:
    """Guards against an answer after the deadline, when the caller has left."""
    began = time.monotonic()
    job = _job(CLOCK.monotonic() + deadline_s)
    found = await SlotSearch(_deps()).find(job, [])
    assert isinstance(found, Answer)
    assert found.outcome is Outcome.NOT_RUN
    assert time.monotonic() - began < deadline_s


async def test_a_silent_owner_does_not_delay_the_answer() -> None:
    """Guards against waiting for a permit to shed beyond the deadline."""

    async def ask_for_long(
        service: str, tier: Tier, shards: int, answer_by: float
    ) -> bool:
        await asyncio.sleep(max(answer_by - CLOCK.monotonic(), 0))
        return False

    deadline = CLOCK.monotonic() + 1
    found = await SlotSearch(_deps(ask_for_long)).find(_job(deadline), [])
    assert isinstance(found, Answer)
    assert CLOCK.monotonic() < deadline
