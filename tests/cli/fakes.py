"""In-memory fakes of the log, the VM list and the processes for commands."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from io import StringIO
from pathlib import Path

from result import Err, Ok, Result

from bramleybend.cli.control import ControlClient, ProcessStatus
from bramleybend.cli.ctl import execute
from bramleybend.cli.environment import Environment
from bramleybend.clients.log_service import (
    NO_WAIT,
    READ_LIMIT,
    LogBatch,
    LogRecord,
)
from bramleybend.clients.vm_list import VmList
from bramleybend.clock import ManualClock
from bramleybend.errors import ErrorKind, Problem
from bramleybend.exit_status import ExitStatus
from bramleybend.models import RunnerState, Vm

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'
PARWAZ = str(EXAMPLES / 'parwaz.yaml')
LOG_DOWN = Problem(ErrorKind.LOG_UNAVAILABLE, 'the log is down', 'wait')
REPLY_LOST = Problem(ErrorKind.LOG_REPLY_LOST, 'no reply', 'read the log')
NOT_LISTENING = Problem(ErrorKind.PEER_UNAVAILABLE, 'nothing there', 'look')
NO_ANSWER = Problem(ErrorKind.TIMEOUT, 'no answer', 'try again')


@dataclass
class FakeLog:
    """A log with one stream; faults count the calls that they affect."""

    clock: ManualClock
    records: list[str] = field(default_factory=list)
    first_offset: int = 0
    appends: int = 0
    read_offsets: list[int] = field(default_factory=list)
    down: int = 0
    down_reads: int = 0
    lose_replies: int = 0  # the append takes effect, but its reply is lost
    lose_records: int = 0  # neither the append nor a reply arrives
    concurrent_records: list[str] = field(
        default_factory=list
    )  # at next append
    append_delay_s: float = 0  # delay after which a lost append takes effect
    _delayed: list[tuple[float, str]] = field(default_factory=list)

    async def append(
        self,
        stream: str,
        records: Sequence[str],
    ) -> Result[int, Problem]:
        """Append the records, unless a fault applies."""
        self.appends += 1
        if self.down:
            self.down -= 1
            return Err(LOG_DOWN)
        if self.lose_records:
            self.lose_records -= 1
            return Err(REPLY_LOST)
        if self.append_delay_s:
            due_at = self.clock.monotonic() + self.append_delay_s
            self._delayed.extend((due_at, record) for record in records)
            self.append_delay_s = 0
            return Err(REPLY_LOST)
        self.records.extend([*self.concurrent_records, *records])
        self.concurrent_records.clear()
        if self.lose_replies:
            self.lose_replies -= 1
            return Err(REPLY_LOST)
        return Ok(len(self.records) - len(records))

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Return records from `start` on, including late ones now due."""
        self.read_offsets.append(start)
        if self.down_reads:
            self.down_reads -= 1
            return Err(LOG_DOWN)
        now = self.clock.monotonic()
        self.records.extend(
            text for due_at, text in self._delayed if due_at <= now
        )
        self._delayed = [
            delayed for delayed in self._delayed if delayed[0] > now
        ]
        start = max(start, self.first_offset)
        batch_records = tuple(
            LogRecord(offset, self.records[offset])
            for offset in range(start, len(self.records))[:limit]
        )
        return Ok(LogBatch(self.first_offset, len(self.records), batch_records))


@dataclass
class FakeProcess:
    """A process with scripted replies."""

    vm: str
    kind: str
    terms_version: int = 1
    in_flight: list[int] = field(default_factory=lambda: [0])
    events: list[str] = field(default_factory=list)
    draining: bool = False
    exits_when_drained: bool = (
        False  # whether its port closes once it is drained
    )
    unanswered_drains: int = 0  # drain calls that get no answer
    problem: Problem | None = None

    async def status(self) -> Result[ProcessStatus, Problem]:
        """Return the next scripted count of requests in flight."""
        if self.problem:
            return Err(self.problem)
        in_flight = self.in_flight[0]
        self.in_flight = self.in_flight[1:] or self.in_flight
        if self.draining and self.exits_when_drained and not in_flight:
            return Err(NOT_LISTENING)
        return Ok(
            ProcessStatus(
                process=self.kind,
                vm=self.vm,
                terms_version=self.terms_version,
                draining=self.draining,
                in_flight=in_flight,
                queues={'1': 2},
            ),
        )

    async def explain(self, request_id: str) -> Result[list[str], Problem]:
        """Return the event lines of the request."""
        if self.problem:
            return Err(self.problem)
        lines = [line for line in self.events if f'req={request_id}' in line]
        return Ok(lines)

    async def drain(self) -> Result[None, Problem]:
        """Accept the drain call, unless a fault applies."""
        if self.problem:
            return Err(self.problem)
        if self.unanswered_drains:
            self.unanswered_drains -= 1
            return Err(NO_ANSWER)
        self.draining = True
        return Ok(None)


@dataclass
class FakeEnvironment:
    """The environment of commands: two VMs, a VM list and a log."""

    clock: ManualClock = field(
        default_factory=lambda: ManualClock(datetime(2026, 1, 1, tzinfo=UTC)),
    )
    vms: list[Vm] = field(default_factory=list)
    list_problem: Problem | None = None
    list_failures: int = 0  # reads of the list that fail by `list_problem`
    processes: dict[str, FakeProcess] = field(default_factory=dict)
    stdin: str = ''

    def __post_init__(self) -> None:
        """Create the log, and two VMs with both programs."""
        self.log = FakeLog(self.clock)
        self.ids = iter(range(1, 100))
        for number in (1, 2):
            name, address = f'entry-{number}', f'10.0.0.{number}'
            self.vms.append(
                Vm(name, address, 80, 'bramleybend', 'a', RunnerState.LIVE),
            )
            for kind, port in (('gateway', 7001), ('scheduler', 7002)):
                process = FakeProcess(name, kind)
                self.processes[f'{address}:{port}'] = process

    async def run(self, *args: str) -> tuple[ExitStatus, str, str]:
        """Run one command; return its exit code, stdout and stderr."""
        out, err = StringIO(), StringIO()
        env = Environment(
            stdin=StringIO(self.stdin),
            stdout=out,
            stderr=err,
            variables={
                'USER': 'ana',
                'BRAMLEYBEND_LOG_SERVICE': 'http://10.0.9.1:9100',
                'BRAMLEYBEND_VM_LIST': 'http://10.0.9.2:9200',
            },
            clock=self.clock,
            sleep=self._sleep,
            new_id=lambda: f'id-{next(self.ids)}',
            make_log=lambda _: self.log,
            make_vm_list=self._make_vm_list,
            make_control=self._make_control,
        )
        status = await execute(args, env)
        return status, out.getvalue(), err.getvalue()

    async def fetch(self) -> Result[tuple[Vm, ...], Problem]:
        """Return the VM list."""
        if self.list_problem:
            problem = self.list_problem
            self.list_failures -= 1
            if not self.list_failures:
                self.list_problem = None
            return Err(problem)
        return Ok(tuple(self.vms))

    async def _sleep(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def _make_vm_list(self, url: str) -> VmList:
        return self

    def _make_control(self, endpoint: str) -> ControlClient:
        return self.processes.get(
            endpoint, FakeProcess('', '', problem=NOT_LISTENING)
        )
