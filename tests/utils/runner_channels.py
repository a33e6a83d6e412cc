"""Connection pools of a VM that has no peers."""

from random import Random

from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.clock import SystemClock
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.members import Members, OwnVm
from bramleybend.direct.message_memory import MessageMemory
from bramleybend.direct.runner_access import RunnerAccess
from bramleybend.events import EventLog


def make_channels() -> RunnerChannels:
    """Make pools whose connections are all direct."""
    clock = SystemClock()
    events = EventLog('vm', 'i', clock, max_kept_events=0)
    access = RunnerAccess(
        Catalog(clock, events),
        Members(OwnVm('vm', 'i', '127.0.0.1', '127.0.0.1:80')),
        clock,
        events,
        Random(1),
        MessageBounds(),
        MessageMemory(0),
    )
    return access.channels
