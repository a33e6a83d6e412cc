"""The events that a VM logs about the queues that it owns."""

import logging
from random import Random

import pytest

from bramleybend.clock import SystemClock
from bramleybend.decisions.actions import RunReport
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.members import Members, OwnVm
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.queue_log import QueueLog
from bramleybend.direct.queues import Queues, make_queues
from bramleybend.events import EVENT_LOGGER, EventLog
from bramleybend.models import SlotRequest, Tier

SERVICE = 'lm'


def ask(name: str, tier: Tier) -> SlotRequest:
    """Return a slot request with a late deadline."""
    later = SystemClock().monotonic() + 60
    return SlotRequest(
        name, SERVICE, tier, 'w', 100, 50, (), later, cancellable=False
    )


@pytest.fixture
async def queues() -> Queues:
    """Return the queues of a VM that knows one runner with one slot."""
    clock = SystemClock()
    events = EventLog('vm', 'i', clock, kept=0)
    members = Members(OwnVm('vm', 'i', '127.0.0.1', '127.0.0.1:80'))
    queues = make_queues(
        Catalog(clock, events), members, clock, events, Random(1)
    )
    entry = RunnerEntry(
        'r1', 0, SERVICE, '127.0.0.1', 90, 'd', 1, RunnerState.READY
    )
    queues.queue_for(SERVICE).update_runners([entry], warm=True)
    return queues


def queue_events(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    """Return the logged events about queues."""
    lines = [each.msg for each in caplog.records if isinstance(each.msg, dict)]
    return [line for line in lines if line['event'] == 'queue']


async def test_a_queue_logs_what_waits_and_what_is_free(
    queues: Queues, caplog: pytest.LogCaptureFixture
) -> None:
    """The event tells full runners, a late owner and a holding policy apart."""
    caplog.set_level(logging.INFO, logger=EVENT_LOGGER)
    log = QueueLog(queues, EventLog('vm', 'i', SystemClock(), kept=0))
    queue = queues.queue_for(SERVICE)
    for name, tier in (('a', Tier.HIGH), ('b', Tier.HIGH), ('c', Tier.NORMAL)):
        queue.request_slot(ask(name, tier), lambda action: None)
    queue.request_slot(ask('b', Tier.HIGH), lambda action: None)
    log.record()
    (line,) = queue_events(caplog)
    expected = {
        'waiting': '2:1,3:1',
        'running': 1,
        'slots': 1,
        'open_runners': 0,
        'asked': 3,
        'repeated': 1,
        'granted': 1,
        'refused': 0,
    }
    assert expected.items() <= line.items()


async def test_a_queue_in_which_nothing_waits_logs_nothing(
    queues: Queues, caplog: pytest.LogCaptureFixture
) -> None:
    """An empty queue is not logged."""
    caplog.set_level(logging.INFO, logger=EVENT_LOGGER)
    log = QueueLog(queues, EventLog('vm', 'i', SystemClock(), kept=0))
    queue = queues.queue_for(SERVICE)
    queue.request_slot(ask('a', Tier.HIGH), lambda action: None)
    queue.release('a', RunReport('done'))
    log.record()
    assert not queue_events(caplog)
