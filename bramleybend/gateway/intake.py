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
from bramleybend.gateway.forwarding import Forwarder
from bramleybend.gateway.home import Home
from bramleybend.gateway.request_checks import (
    ReceivedRequest,
    check_deadline,
    check_headers,
)
from bramleybend.gateway.run import CallerRequest, Run
from bramleybend.gateway.view import ViewFollower
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import JournalMode
from bramleybend.state.tickets import RequestId, Ticket, parse_request_id

STALE_RETRY_AFTER: Final = timedelta(seconds=2)
DRAIN_RETRY_AFTER: Final = timedelta(seconds=1)
MAX_OLD_HOMES: Final = 4
# A VM that was paused hears from a scheduler within milliseconds of waking.
FRESH_VIEW_TIMEOUT_S: Final = 1.0


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
        self.is_draining = False
        self._deps = deps
        self._homes: dict[str, Home] = {}
        self._forward_tasks: set[asyncio.Task[None]] = set()
        self._current = self._open_home()

    @property
    def is_ready(self) -> bool:
        """Whether new requests can be served."""
        return not self.is_draining and self._refuse_on_stale_terms() is None

    async def wait_for_fresh_view(self) -> None:
        """Wait a moment for a view that is overdue, if it decides anything.

        A VM that was cut off still hears from its own scheduler that its
        terms are old, so its callers go elsewhere at once.
        """
        views = self._deps.views
        until = self._deps.clock.monotonic() + FRESH_VIEW_TIMEOUT_S
        left_s = FRESH_VIEW_TIMEOUT_S
        while left_s > 0 and views.is_overdue and self._refuse_on_stale_terms():
            await views.wait_for_view(left_s)
            left_s = until - self._deps.clock.monotonic()

    @property
    def homes(self) -> tuple[Home, ...]:
        """Every home of this process, the current one last."""
        return tuple(self._homes.values())

    @property
    def in_flight(self) -> int:
        """How many runs and forwards are under way."""
        return len(self._forward_tasks) + sum(
            len(home.run_tasks) for home in self._homes.values()
        )

    def make_ticket(self, profile: str) -> Ticket:
        """Return a ticket for requests under a profile.

        Its mark says whether the log is written to first, so a VM that later
        reads the journal knows what a missing intent proves.
        """
        if self._current.journal.is_sealed:
            self._current = self._open_home()
        terms = self._deps.views.view.terms
        named = terms.profiles.get(profile) if terms else None
        return self._current.ticket(
            intent_first=(
                named is not None
                and named.journal is JournalMode.BEFORE_DISPATCH
            ),
        )

    def accept(self, received: ReceivedRequest) -> Run | Answer:
        """Take in a caller's request; bad input is counted."""
        run_or_answer = self._check_and_route(received)
        if (
            isinstance(run_or_answer, Answer)
            and run_or_answer.outcome is Outcome.REJECTED
        ):
            self._deps.metrics.count(Metric.REJECTED, reason='request')
        return run_or_answer

    def accept_forwarded(self, req: CallerRequest) -> Run | Answer | None:
        """Take in what another VM passed on; None if its home is not here."""
        request_id = parse_request_id(req.request_id).ok()
        if request_id and request_id.ticket.incarnation in self._homes:
            return self._submit(request_id, req)
        return None

    def _check_and_route(self, received: ReceivedRequest) -> Run | Answer:
        match check_headers(received, self._deps.clock):
            case Err(answer):
                return answer
            case Ok(req):
                return self._route(req)
        raise AssertionError(received)

    def _route(self, req: CallerRequest) -> Run | Answer:
        match parse_request_id(req.request_id):
            case Err(problem):
                return rejected(problem.detail, problem.remedy)
            case Ok(request_id):
                if request_id.ticket.incarnation in self._homes:
                    return self._submit(request_id, req)
                return self._forward(request_id, req)
        raise AssertionError(req)

    def _submit(
        self, request_id: RequestId, req: CallerRequest
    ) -> Run | Answer:
        home = self._homes[request_id.ticket.incarnation]
        # Whether a known request may be answered does not depend on terms
        # or on a planned stop: its answer is owed already.
        if home.find_run(request_id) is None:
            # First of all refusals: the others say that nothing ran, which
            # nobody knows of an id that was dropped with its epoch.
            refusal = home.expired_answer(request_id) or self._refuse_new(req)
            if refusal is not None:
                return refusal
        terms = self._deps.views.view.terms
        assert terms is not None
        return home.submit(request_id, req, terms)

    def _refuse_new(self, req: CallerRequest) -> Answer | None:
        late = check_deadline(req, self._deps.clock)
        if late is not None:
            return late
        if self.is_draining:
            return not_run(
                'this VM is stopping; ask another one for a ticket',
                DRAIN_RETRY_AFTER,
            )
        if req.fingerprint in self._deps.views.view.refused_fingerprints:
            self._deps.metrics.count(Metric.QUARANTINED)
            return quarantined()
        return self._refuse_on_stale_terms()

    def _refuse_on_stale_terms(self) -> Answer | None:
        # A VM that was paused or cut off would admit work on terms that
        # were replaced meanwhile, so it first waits for fresh word.
        views = self._deps.views
        is_stale = views.terms_age_s > self._deps.terms_stale_after_s
        if views.view.terms is None or is_stale:
            return not_run(
                'this VM has no fresh terms; try another address',
                STALE_RETRY_AFTER,
            )
        return None

    def _forward(self, request_id: RequestId, req: CallerRequest) -> Run:
        run = Run(req)
        self._deps.metrics.count(Metric.FORWARDED)
        task = asyncio.create_task(
            self._deps.forwarder.forward(request_id, run)
        )
        self._forward_tasks.add(task)
        task.add_done_callback(self._forward_tasks.discard)
        task.add_done_callback(partial(_mark_torn_on_fault, run))
        return run

    def _open_home(self) -> Home:
        home = self._deps.new_home()
        self._homes[home.incarnation] = home
        if len(self._homes) > MAX_OLD_HOMES:
            self._homes.pop(next(iter(self._homes)))
        self._deps.events.record('home_opened', home=home.incarnation)
        return home


def _mark_torn_on_fault(run: Run, _task: asyncio.Task[None]) -> None:
    # Only the home knows the outcome, so a broken forward says nothing and
    # the caller asks again.
    if run.answer is None:
        run.mark_torn()
