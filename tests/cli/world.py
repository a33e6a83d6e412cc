"""A world for commands: a log, a VM list and processes, all in memory."""

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
from bramleybend.models import RunnerState, Vm
from bramleybend.status import ExitStatus

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'
PARWAZ = str(EXAMPLES / 'parwaz.yaml')
DOWN = Problem(ErrorKind.LOG_UNAVAILABLE, 'the log is down', 'wait')
LOST = Problem(ErrorKind.LOG_REPLY_LOST, 'no reply', 'read the log')
GONE = Problem(ErrorKind.PEER_UNAVAILABLE, 'nothing there', 'look')
FROZEN = Problem(ErrorKind.TIMEOUT, 'no answer', 'try again')


@dataclass
class FakeLog:
    """One stream; each fault is a count of calls that it strikes."""

    clock: ManualClock
    records: list[str] = field(default_factory=list)
    first_offset: int = 0
    appends: int = 0
    read_from: list[int] = field(default_factory=list)
    down: int = 0
    down_reads: int = 0
    lose_replies: int = 0  # lands, but nobody is told
    lose_records: int = 0  # neither lands nor is anybody told
    overtaken_by: list[str] = field(default_factory=list)  # at next append
    late_s: float = 0  # a lost append lands this long after
    _late: list[tuple[float, str]] = field(default_factory=list)

    async def append(
        self,
        stream: str,
        records: Sequence[str],
    ) -> Result[int, Problem]:
        """Append, as far as the faults allow."""
        self.appends += 1
        if self.down:
            self.down -= 1
            return Err(DOWN)
        if self.lose_records:
            self.lose_records -= 1
            return Err(LOST)
        if self.late_s:
            at = self.clock.monotonic() + self.late_s
            self._late.extend((at, record) for record in records)
            self.late_s = 0
            return Err(LOST)
        self.records.extend([*self.overtaken_by, *records])
        self.overtaken_by.clear()
        if self.lose_replies:
            self.lose_replies -= 1
            return Err(LOST)
        return Ok(len(self.records) - len(records))

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Read what stands there by now."""
        self.read_from.append(start)
        if self.down_reads:
            self.down_reads -= 1
            return Err(DOWN)
        now = self.clock.monotonic()
        self.records.extend(text for at, text in self._late if at <= now)
        self._late = [late for late in self._late if late[0] > now]
        start = max(start, self.first_offset)
        found = tuple(
            LogRecord(offset, self.records[offset])
            for offset in range(start, len(self.records))[:limit]
        )
        return Ok(LogBatch(self.first_offset, len(self.records), found))


@dataclass
class FakeProcess:
    """A process that answers as it is told to."""

    vm: str
    kind: str
    terms_version: int = 1
    in_flight: list[int] = field(default_factory=lambda: [0])
    events: list[str] = field(default_factory=list)
    draining: bool = False
    ends: bool = False  # its port closes once it has drained
    silent_orders: int = 0  # orders to drain that get no answer
    problem: Problem | None = None

    async def status(self) -> Result[ProcessStatus, Problem]:
        """Tell one count of requests in flight after the other."""
        if self.problem:
            return Err(self.problem)
        in_flight = self.in_flight[0]
        self.in_flight = self.in_flight[1:] or self.in_flight
        if self.draining and self.ends and not in_flight:
            return Err(GONE)
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
        """Return the kept lines of the request."""
        if self.problem:
            return Err(self.problem)
        kept = [line for line in self.events if f'req={request_id}' in line]
        return Ok(kept)

    async def drain(self) -> Result[None, Problem]:
        """Take the order."""
        if self.problem:
            return Err(self.problem)
        if self.silent_orders:
            self.silent_orders -= 1
            return Err(FROZEN)
        self.draining = True
        return Ok(None)


@dataclass
class World:
    """Everything that a command can touch."""

    clock: ManualClock = field(
        default_factory=lambda: ManualClock(datetime(2026, 1, 1, tzinfo=UTC)),
    )
    vms: list[Vm] = field(default_factory=list)
    list_problem: Problem | None = None
    list_failures: int = 0  # reads of the list that fail by `list_problem`
    processes: dict[str, FakeProcess] = field(default_factory=dict)
    stdin: str = ''

    def __post_init__(self) -> None:
        """Start the log, and two VMs with both programs."""
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
        """Run one command; return its code and what it printed."""
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
        return self.processes.get(endpoint, FakeProcess('', '', problem=GONE))
