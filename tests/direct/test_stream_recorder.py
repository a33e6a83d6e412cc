"""One VM writes the origins of all VMs' streams."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from unittest.mock import Mock

from result import Err, Ok, Result

from bramleybend.clock import SystemClock
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.members import Members, OwnVm
from bramleybend.direct.messages import (
    Message,
    StreamOrigin,
    StreamsBegan,
    StreamsRecorded,
)
from bramleybend.direct.stream_origins import StreamLogPage
from bramleybend.direct.stream_recorder import Streams, make_streams
from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EventLog
from tests.utils.waiting import wait_until

ORIGIN = StreamOrigin('key-1', 'school', 'lm', 'v1')
AWAY = Problem(ErrorKind.LOG_UNAVAILABLE, 'the log is away', 'wait')


@dataclass
class FakeLog:
    """A log in memory that may be away."""

    records: list[StreamOrigin] = field(default_factory=list)
    is_away: bool = False

    async def append(
        self, origins: Sequence[StreamOrigin]
    ) -> Result[None, Problem]:
        """Append origins."""
        if self.is_away:
            return Err(AWAY)
        self.records.extend(origins)
        return Ok(None)

    async def read(self, start: int) -> Result[StreamLogPage, Problem]:
        """Return the origins from an offset on."""
        origins = self.records[start:]
        end = len(self.records)
        return Ok(StreamLogPage(origins, end, is_empty=not origins))

    async def earlier_versions(
        self,
    ) -> Result[Mapping[str, set[str]] | None, Problem]:
        """Return no versions."""
        return Ok({})

    async def trim(self, end: int) -> Result[None, Problem]:
        """Delete nothing."""
        return Ok(None)


def make_writer(log: FakeLog) -> Streams:
    """Return the parts of a VM that hears no other, so it writes."""
    clock = SystemClock()
    events = EventLog('vm', 'i', clock, max_kept_events=0)
    members = Members(OwnVm('vm', 'i', '10.0.0.1', '10.0.0.1:80'))
    catalog = Catalog(clock, events)
    return make_streams(catalog, members, log, Mock(), clock, events)


async def test_an_origin_is_confirmed_once_it_is_written() -> None:
    """A VM must not drop an origin that the log doesn't hold yet."""
    log = FakeLog(is_away=True)
    streams = make_writer(log)
    replies: list[Message] = []
    task = asyncio.create_task(streams.recorder.run(is_first_start=True))
    streams.recorder.handle_began(StreamsBegan([ORIGIN]), replies.append)
    await asyncio.sleep(0.1)
    assert not replies
    log.is_away = False
    await wait_until(lambda: bool(replies), 'a confirmation')
    assert log.records == [ORIGIN]
    task.cancel()


async def test_an_origin_that_is_sent_again_is_confirmed_again() -> None:
    """A lost confirmation must not make the sender write by itself."""
    log = FakeLog()
    streams = make_writer(log)
    replies: list[Message] = []
    task = asyncio.create_task(streams.recorder.run(is_first_start=True))
    streams.recorder.handle_began(StreamsBegan([ORIGIN]), replies.append)
    await wait_until(lambda: len(replies) == 1, 'a confirmation')
    streams.recorder.handle_began(StreamsBegan([ORIGIN]), replies.append)
    await wait_until(lambda: len(replies) == 2, 'another confirmation')
    assert replies == [StreamsRecorded(['key-1'])] * 2
    assert log.records == [ORIGIN]
    task.cancel()
