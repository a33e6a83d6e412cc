"""Accepts requests from callers and from the gateways of other VMs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Final

from result import Err, Ok

from bramleybend.answers import (
    Answer,
    Outcome,
    answer_not_run,
    answer_quarantined,
    answer_rejected,
)
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
# Far above the milliseconds in which a VM that was paused gets a view from a
# scheduler after it resumes.
FRESH_VIEW_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True)
class IntakeDeps:
    """The components that the intake uses."""

    views: ViewFollower
    forwarder: Forwarder
    new_home: Callable[[], Home]
    clock: Clock
    events: EventLog
    metrics: Metrics
    terms_stale_after_s: float


class Intake:
    """Holds this VM's homes; accepts, forwards or refuses each request."""

    def __init__(self, deps: IntakeDeps) -> None:
        """Start with a new home."""
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
        """Wait for an overdue view, if the terms are too old to admit work.

        After a pause of this VM the next view arrives at once. On a VM that is
        cut off the view is not overdue, since its own scheduler replies, and
        only the terms are old: its callers are sent elsewhere without a wait.
        """
        views = self._deps.views
        deadline = self._deps.clock.monotonic() + FRESH_VIEW_TIMEOUT_S
        left_s = FRESH_VIEW_TIMEOUT_S
        while left_s > 0 and views.is_overdue and self._refuse_on_stale_terms():
            await views.wait_for_view(left_s)
            left_s = deadline - self._deps.clock.monotonic()

    @property
    def homes(self) -> tuple[Home, ...]:
        """Every home of this process, the current one last."""
        return tuple(self._homes.values())

    @property
    def in_flight(self) -> int:
        """The number of runs and forwarded requests in progress."""
        return len(self._forward_tasks) + sum(
            len(home.run_tasks) for home in self._homes.values()
        )

    def make_ticket(self, profile: str) -> Ticket:
        """Return a ticket for requests under a profile.

        `intent_first` in the ticket says whether the intent is written before
        dispatch. A VM that reads the journal of a lost home needs it to know
        whether a missing intent proves that nothing ran.
        """
        if self._current.journal.is_sealed:
            self._current = self._open_home()
        terms = self._deps.views.view.terms
        named_profile = terms.profiles.get(profile) if terms else None
        return self._current.make_ticket(
            intent_first=(
                named_profile is not None
                and named_profile.journal is JournalMode.BEFORE_DISPATCH
            ),
        )

    def accept(self, received: ReceivedRequest) -> Run | Answer:
        """Accept a caller's request; bad input is counted."""
        run_or_answer = self._check_and_route(received)
        if (
            isinstance(run_or_answer, Answer)
            and run_or_answer.outcome is Outcome.REJECTED
        ):
            self._deps.metrics.count(Metric.REJECTED, reason='request')
        return run_or_answer

    def accept_forwarded(self, req: CallerRequest) -> Run | Answer | None:
        """Accept a forwarded request; None if its home is not on this VM."""
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
                return answer_rejected(problem.detail, problem.remedy)
            case Ok(request_id):
                if request_id.ticket.incarnation in self._homes:
                    return self._submit(request_id, req)
                return self._forward(request_id, req)
        raise AssertionError(req)

    def _submit(
        self, request_id: RequestId, req: CallerRequest
    ) -> Run | Answer:
        home = self._homes[request_id.ticket.incarnation]
        # A known request is answered whatever the terms say and also during a
        # planned stop, as it was accepted before.
        if home.find_run(request_id) is None:
            # `expired` is checked before the other refusals: they say that
            # nothing ran, which is unknown for an id dropped with its epoch.
            refusal = home.expired_answer(request_id) or self._refuse_new(req)
            if refusal is not None:
                return refusal
        terms = self._deps.views.view.terms
        assert terms is not None
        return home.submit(request_id, req, terms)

    def _refuse_new(self, req: CallerRequest) -> Answer | None:
        rejection = check_deadline(req, self._deps.clock)
        if rejection is not None:
            return rejection
        if self.is_draining:
            return answer_not_run(
                'this VM is stopping; ask another one for a ticket',
                DRAIN_RETRY_AFTER,
            )
        if req.fingerprint in self._deps.views.view.refused_fingerprints:
            self._deps.metrics.count(Metric.QUARANTINED)
            return answer_quarantined()
        return self._refuse_on_stale_terms()

    def _refuse_on_stale_terms(self) -> Answer | None:
        # After a pause or a partition the terms may have been replaced, so
        # nothing new is admitted until a scheduler has confirmed the terms.
        views = self._deps.views
        is_stale = views.terms_age_s > self._deps.terms_stale_after_s
        if views.view.terms is None or is_stale:
            return answer_not_run(
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
        task.add_done_callback(partial(_mark_incomplete_on_fault, run))
        return run

    def _open_home(self) -> Home:
        home = self._deps.new_home()
        self._homes[home.incarnation] = home
        if len(self._homes) > MAX_OLD_HOMES:
            self._homes.pop(next(iter(self._homes)))
        self._deps.events.record('home_opened', home=home.incarnation)
        return home


def _mark_incomplete_on_fault(run: Run, _task: asyncio.Task[None]) -> None:
    # Only the home knows the outcome of a forwarded request. If forwarding
    # fails, the caller gets no outcome and must resend.
    if run.answer is None:
        run.mark_incomplete()
