"""How a run that outlives its deadline is answered and reported."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

from bramleybend.clock import SystemClock
from bramleybend.gateway.attempt import EndKind
from bramleybend.gateway.job import DispatchDeps, Job
from bramleybend.gateway.run import CallerRequest, Run
from bramleybend.gateway.slot import Slot
from bramleybend.gateway.supervisor import Supervisor
from bramleybend.metrics import make_metrics
from bramleybend.models import Repeat, ServiceKind, Tier
from bramleybend.wire.bramleybend_pb2 import Ended
from tests.utils.waiting import wait_until

DEADLINE_S = 0.3
CRASH_S = 0.8


class _Engine:
    """An engine that accepts runs, cancels none and ends all in a crash.

    If `silent`, it doesn't reply to cancellations; else it cuts them off.
    """

    def __init__(self, *, silent: bool = False) -> None:
        self.runs: list[asyncio.StreamWriter] = []
        self.cancels: list[asyncio.StreamWriter] = []
        self._silent = silent
        self._server: asyncio.Server

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def crash(self) -> None:
        self._server.close()
        for writer in self.runs:
            writer.transport.abort()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.readline()
        if b'/cancel' in head:
            self.cancels.append(writer)
            if not self._silent:
                writer.transport.abort()
            return
        self.runs.append(writer)


@dataclass
class _Slot:
    endpoint: str
    runner: str = 'briefing-llm-1'
    preempted: asyncio.Event = field(default_factory=asyncio.Event)
    reports: list[Ended] = field(default_factory=list)

    async def release(self, ended: Ended) -> None:
        self.reports.append(ended)


def _job(deadline_s: float) -> Job:
    deadline = SystemClock().monotonic() + deadline_s
    req = CallerRequest(
        'a:1/b', 'w', 's', 'p', deadline, b'{}', 'f', stream=False
    )
    job = SimpleNamespace(
        run=Run(req),
        request_id=req.request_id,
        profile=SimpleNamespace(cancellable=True, repeat=Repeat.AT_MOST_ONCE),
        service=SimpleNamespace(kind=ServiceKind.ENGINE),
        tier=Tier.BULK,
        make_ask=lambda: SimpleNamespace(prompt_tokens=1),
    )
    return cast('Job', job)


def _deps() -> DispatchDeps:
    clock = SystemClock()
    deps = SimpleNamespace(
        clock=clock,
        metrics=make_metrics(None, 'vm'),
        record_event=lambda *_args, **_fields: None,
        remaining_s=lambda job: max(
            job.run.req.deadline - clock.monotonic(), 0
        ),
    )
    return cast('DispatchDeps', deps)


async def test_a_crash_after_the_deadline_is_reported() -> None:
    """Guards against content that crashes runners and is never quarantined."""
    engine = _Engine()
    slot = _Slot(await engine.start())
    asyncio.get_running_loop().call_later(CRASH_S, engine.crash)
    end = await Supervisor(_deps()).run_attempt(
        _job(DEADLINE_S), cast('Slot', slot), '0'
    )
    assert end.kind is EndKind.UNHEARD
    assert not slot.reports
    await wait_until(
        lambda: bool(slot.reports), 'the end is reported to the owner'
    )
    assert slot.reports[0].runner_crashed


async def test_a_run_that_is_slow_to_cancel_is_answered_at_its_deadline() -> (
    None
):
    """Guards against an answer after the deadline, when the caller has left."""
    engine = _Engine(silent=True)
    slot = _Slot(await engine.start())
    job = _job(DEADLINE_S)
    end = await Supervisor(_deps()).run_attempt(job, cast('Slot', slot), '0')
    assert SystemClock().monotonic() - job.run.req.deadline < DEADLINE_S * 2
    assert end.kind is EndKind.UNHEARD
    assert engine.cancels
    engine.crash()
