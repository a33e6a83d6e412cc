"""How a gateway answers for expired ids, bad input and stale terms."""

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
    """Guards against saying that nothing ran for an id that may have run.

    A caller resends a request of twenty minutes ago. The home has dropped the
    id with its epoch, the deadline has passed and the VM is draining. The
    answer must be `expired`: on `rejected` or `not_run` the caller would run
    its request a second time.
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
    """Records which metrics were counted."""

    counted: list[Metric] = field(default_factory=list)

    def count(
        self,
        metric: Metric,
        n: int = 1,
        **labels: Unpack[Labels],
    ) -> None:
        """Record the metric."""
        self.counted.append(metric)


def test_bad_input_is_counted() -> None:
    """A request without headers is rejected, and operators see the count."""
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
    """A view that is too old until the next one arrives."""

    is_overdue: bool
    terms_age_s: float = STALE_S + 1
    view: Any = field(default_factory=lambda: SimpleNamespace(terms='any'))

    async def wait_for_view(self, limit_s: float) -> None:
        self.is_overdue, self.terms_age_s = False, 0


@pytest.mark.parametrize('is_overdue', [True, False])
async def test_a_woken_vm_waits_for_the_view_that_is_on_its_way(
    is_overdue: bool,
) -> None:
    """Guards against refusing callers just before fresh terms arrive.

    A VM whose scheduler replies with old terms is cut off and does not wait.
    """
    views = cast('Any', _Views(is_overdue))
    unused = cast('Any', None)
    intake = Intake(
        IntakeDeps(views, unused, _home, CLOCK, EVENTS, NullMetrics(), STALE_S),
    )
    assert not intake.is_ready
    await intake.wait_for_fresh_view()
    assert intake.is_ready is is_overdue
