"""What a gateway tells of ids that it may have forgotten."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import Any, Unpack, cast

import pytest

from bramleybend.answers import Answer, Outcome
from bramleybend.clock import ManualClock
from bramleybend.events import EventLog
from bramleybend.gateway.home import Home
from bramleybend.gateway.intake import Intake, IntakeDeps
from bramleybend.gateway.job import DispatchDeps
from bramleybend.gateway.request_checks import ReceivedRequest
from bramleybend.metric_types import Labels
from bramleybend.metrics import Metric, NullMetrics
from bramleybend.state.id_table import EPOCH_S, GRACE_S, IdTable
from bramleybend.state.tickets import Ticket

CLOCK = ManualClock(datetime(2026, 12, 2, tzinfo=UTC))
STALE_S = 10
EVENTS = EventLog('gateway', 'feed', CLOCK)


def _home() -> Home:
    deps = DispatchDeps(
        *cast('Any', (None, None, None, CLOCK, EVENTS, None, None))
    )
    return Home(
        Ticket('10.0.0.1', 7001, 'feed', 0),
        IdTable('feed', CLOCK.monotonic()),
        cast('Any', None),
        deps,
    )


def _received(deadline: datetime) -> ReceivedRequest:
    headers = {
        'bramleybend-request-id': '10.0.0.1:7001:feed:0/one',
        'bramleybend-workspace': 'w',
        'bramleybend-service': 's',
        'bramleybend-profile': 'p',
        'bramleybend-deadline': deadline.isoformat(),
    }
    return ReceivedRequest(headers, b'{}')


def test_a_forgotten_id_is_expired_and_nothing_more_is_claimed() -> None:
    """A caller asks about a request of twenty minutes ago.

    It is told `expired`: the request may have run. Order: the home forgot
    the id with its epoch, the deadline in the header has passed since, and
    the VM is draining. Told `rejected` or `not_run`, which say that nothing
    ran, the caller would have its work done twice.
    """
    unused = cast('Any', None)
    intake = Intake(
        IntakeDeps(unused, unused, _home, CLOCK, EVENTS, NullMetrics(), 10),
    )
    CLOCK.advance(EPOCH_S * 3 + GRACE_S)
    for draining in (False, True):
        intake.is_draining = draining
        for left in (timedelta(seconds=-1), timedelta(seconds=5)):
            answer = intake.accept(_received(CLOCK.now() + left))
            assert isinstance(answer, Answer)
            assert answer.outcome is Outcome.EXPIRED


@dataclass
class Counting(NullMetrics):
    """Keeps what was counted."""

    counted: list[Metric] = field(default_factory=list)

    def count(
        self,
        metric: Metric,
        n: int = 1,
        **labels: Unpack[Labels],
    ) -> None:
        """Keep the metric."""
        self.counted.append(metric)


def test_bad_input_is_counted() -> None:
    """A header is missing: the caller is told, and operators can see it."""
    unused = cast('Any', None)
    metrics = Counting()
    intake = Intake(
        IntakeDeps(unused, unused, _home, CLOCK, EVENTS, metrics, 10),
    )
    answer = intake.accept(ReceivedRequest({}, b'{}'))
    assert isinstance(answer, Answer)
    assert answer.outcome is Outcome.REJECTED
    assert metrics.counted == [Metric.REJECTED]


@dataclass
class _Views:
    """A view that is too old until the next one comes."""

    is_overdue: bool
    terms_age_s: float = STALE_S + 1
    view: Any = field(default_factory=lambda: SimpleNamespace(terms='any'))

    async def wait_for_view(self, limit_s: float) -> None:
        self.is_overdue, self.terms_age_s = False, 0


@pytest.mark.parametrize('is_overdue', [True, False])
async def test_a_woken_vm_waits_for_the_view_that_is_on_its_way(
    is_overdue: bool,
) -> None:
    """Guards against callers sent away a moment before fresh terms are here.

    One that hears from its scheduler, but of no fresh terms, is cut off.
    """
    views = cast('Any', _Views(is_overdue))
    unused = cast('Any', None)
    intake = Intake(
        IntakeDeps(views, unused, _home, CLOCK, EVENTS, NullMetrics(), STALE_S),
    )
    assert not intake.is_ready
    await intake.wait_for_fresh_view()
    assert intake.is_ready is is_overdue
