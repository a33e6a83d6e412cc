"""Takes requests in, from callers and from other VMs' gateways."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Final

from result import Err, Ok

from bramleybend.answers import Answer, Outcome, not_run, quarantined, rejected
from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.gateway.border import (
    Received,
    check_deadline,
    check_headers,
)
from bramleybend.gateway.forwarding import Forwarder
from bramleybend.gateway.home import Home
from bramleybend.gateway.run import RequestBody, Run
from bramleybend.gateway.view import ViewFollower
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import JournalMode
from bramleybend.state.tickets import RequestId, Ticket, parse_request_id

STALE_RETRY_AFTER: Final = timedelta(seconds=2)
DRAIN_RETRY_AFTER: Final = timedelta(seconds=1)
MAX_OLD_HOMES: Final = 4
# A VM that was paused hears from a scheduler within milliseconds of waking.
FRESHEN_S: Final = 1.0


@dataclass(frozen=True)
class IntakeDeps:
    """What intake works with."""

    views: ViewFollower
    forwarder: Forwarder
    new_home: Callable[[], Home]
    clock: Clock
    events: EventLog
    metrics: Metrics
    terms_stale_after_s: float


class Intake:
    """Knows this VM's homes and decides where a request goes."""

    def __init__(self, deps: IntakeDeps) -> None:
        """Start with a fresh home."""
        self.draining = False
        self._deps = deps
        self._homes: dict[str, Home] = {}
        self._forwarding: set[asyncio.Task[None]] = set()
        self._current = self._open_home()

    @property
    def ready(self) -> bool:
        """Whether new requests can be served."""
        return not self.draining and self._not_fresh() is None

    async def freshen(self) -> None:
        """Wait a moment for a view that is overdue, if it decides anything.

        A VM that was cut off still hears from its own scheduler that its
        terms are old, so its callers go elsewhere at once.
        """
        views = self._deps.views
        until = self._deps.clock.monotonic() + FRESHEN_S
        left_s = FRESHEN_S
        while left_s > 0 and views.is_overdue and self._not_fresh():
            await views.next_view(left_s)
            left_s = until - self._deps.clock.monotonic()

    @property
    def homes(self) -> tuple[Home, ...]:
        """Every home of this process, the current one last."""
        return tuple(self._homes.values())

    @property
    def in_flight(self) -> int:
        """How many runs and forwards are under way."""
        return len(self._forwarding) + sum(
            len(home.working) for home in self._homes.values()
        )

    def ticket_for(self, profile: str) -> Ticket:
        """Return a ticket for requests under a profile.

        Its mark says whether the log is written to first, so a VM that later
        reads the journal knows what a missing intent proves.
        """
        if self._current.journal.sealed:
            self._current = self._open_home()
        terms = self._deps.views.view.terms
        named = terms.profiles.get(profile) if terms else None
        return self._current.ticket(
            intent_first=(
                named is not None
                and named.journal is JournalMode.BEFORE_DISPATCH
            ),
        )

    def take(self, received: Received) -> Run | Answer:
        """Take in a caller's request; bad input is counted."""
        taken = self._checked(received)
        if isinstance(taken, Answer) and taken.outcome is Outcome.REJECTED:
            self._deps.metrics.count(Metric.REJECTED, reason='request')
        return taken

    def take_forwarded(self, req: RequestBody) -> Run | Answer | None:
        """Take in what another VM passed on; None if its home is not here."""
        request_id = parse_request_id(req.request_id).ok()
        if request_id and request_id.ticket.incarnation in self._homes:
            return self._submit(request_id, req)
        return None

    def _checked(self, received: Received) -> Run | Answer:
        match check_headers(received, self._deps.clock):
            case Err(answer):
                return answer
            case Ok(req):
                return self._route(req)
        raise AssertionError(received)

    def _route(self, req: RequestBody) -> Run | Answer:
        match parse_request_id(req.request_id):
            case Err(problem):
                return rejected(problem.detail, problem.remedy)
            case Ok(request_id):
                if request_id.ticket.incarnation in self._homes:
                    return self._submit(request_id, req)
                return self._forward(request_id, req)
        raise AssertionError(req)

    def _submit(self, request_id: RequestId, req: RequestBody) -> Run | Answer:
        home = self._homes[request_id.ticket.incarnation]
        # Whether a known request may be answered does not depend on terms
        # or on a planned stop: its answer is owed already.
        if home.known(request_id) is None:
            # First of all refusals: the others say that nothing ran, which
            # nobody knows of an id that was dropped with its epoch.
            refusal = home.forgotten(request_id) or self._refusal(req)
            if refusal is not None:
                return refusal
        terms = self._deps.views.view.terms
        assert terms is not None
        return home.submit(request_id, req, terms)

    def _refusal(self, req: RequestBody) -> Answer | None:
        late = check_deadline(req, self._deps.clock)
        if late is not None:
            return late
        if self.draining:
            return not_run(
                'this VM is stopping; ask another one for a ticket',
                DRAIN_RETRY_AFTER,
            )
        if req.fingerprint in self._deps.views.view.refused:
            self._deps.metrics.count(Metric.QUARANTINED)
            return quarantined()
        return self._not_fresh()

    def _not_fresh(self) -> Answer | None:
        # A VM that was paused or cut off would admit work on terms that
        # were replaced meanwhile, so it first waits for fresh word.
        views = self._deps.views
        stale = views.age_s > self._deps.terms_stale_after_s
        if views.view.terms is None or stale:
            return not_run(
                'this VM has no fresh terms; try another address',
                STALE_RETRY_AFTER,
            )
        return None

    def _forward(self, request_id: RequestId, req: RequestBody) -> Run:
        run = Run(req)
        self._deps.metrics.count(Metric.FORWARDED)
        task = asyncio.create_task(self._deps.forwarder.follow(request_id, run))
        self._forwarding.add(task)
        task.add_done_callback(self._forwarding.discard)
        task.add_done_callback(partial(_tear_on_fault, run))
        return run

    def _open_home(self) -> Home:
        home = self._deps.new_home()
        self._homes[home.incarnation] = home
        if len(self._homes) > MAX_OLD_HOMES:
            self._homes.pop(next(iter(self._homes)))
        self._deps.events.record('home_opened', home=home.incarnation)
        return home


def _tear_on_fault(run: Run, _task: asyncio.Task[None]) -> None:
    # Only the home knows the outcome, so a broken forward says nothing and
    # the caller asks again.
    if run.answer is None:
        run.tear()
