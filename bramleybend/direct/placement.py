"""Acquires runner slots: from the service's owner or from this VM's queue.

The owner acknowledges or decides a slot request at once. An owner that does
neither is down, frozen or unreachable. As a datagram may be lost and a busy
owner late, the request is sent twice more, each time with twice the timeout.
Then it goes to the owner's successor, which receives the same run reports, and
last to this VM's own queue. So the loss of an owner delays a caller by about
seven times `ACK_TIMEOUT_S`.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from itertools import count
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.actions import Grant, Refuse, RunReport
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.heartbeat_messages import ReportedRun
from bramleybend.direct.members import Member, Members
from bramleybend.direct.messages import (
    Ended,
    Granted,
    Message,
    PrefillDone,
    Queued,
    Refused,
    SlotRequestMessage,
    Withdrawn,
)
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.queues import Queues
from bramleybend.direct.service_queue import exclude_runner
from bramleybend.direct.slot_messages import (
    decision_message,
    run_end_message,
    run_report_from,
    slot_request_from,
    slot_request_message,
)
from bramleybend.events import EventLog
from bramleybend.models import SlotRequest

# For the first attempt; doubled with each further one. A round trip between
# failure domains takes 1 ms, and a busy owner takes some more time.
ACK_TIMEOUT_S: Final = 0.04
# For one owner: attempts without an answer, and grants of unknown runners.
MAX_ATTEMPTS: Final = 3
# Owners tried for one request; a VM counts again if it is the owner again.
MAX_OWNERS: Final = 4
# A waiting request is repeated this often; without repeats it would expire.
REFRESH_S: Final = 0.3
UNKNOWN_RETRY_S: Final = 0.2  # all VMs know of a new runner by then
DISTRUST_S: Final = 1.0  # an owner that didn't answer is avoided this long

Send = Callable[[Message, str], None]
# Returns a slot request as it is now: the runners that it excludes may change
# while it waits.
Refresh = Callable[[SlotRequest], SlotRequest]


@dataclass(frozen=True)
class Placement:
    """A slot at a runner, held until it is released."""

    ask: SlotRequest
    runner: RunnerEntry
    owner: Member | None  # none: this VM's own queue granted it


@dataclass(frozen=True)
class NoSlot:
    """No slot was granted; nothing was sent to a runner."""

    reason: str
    retry_after_s: float | None  # none: there is no use in a retry


class Placer:
    """Acquires slots for this VM's requests; handles those of other VMs."""

    def __init__(
        self,
        catalog: Catalog,
        members: Members,
        queues: Queues,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Start without requests; `send` and `may_own` are set later."""
        self._catalog = catalog
        self._members = members
        self._queues = queues
        self._clock = clock
        self._events = events
        self._request_numbers = count()
        # Answers of owners, and the runs at engines, by request ID.
        self._inboxes: dict[str, asyncio.Queue[Message]] = {}
        self._engine_runs: dict[str, ReportedRun] = {}
        self.send: Send = _discard
        # Whether this VM may be an owner now.
        self.may_own: Callable[[], bool] = _always

    def next_request_id(self) -> str:
        """Return a request ID, unique over all VMs and their restarts."""
        return f'{self._members.own.incarnation}.{next(self._request_numbers)}'

    def runs(self) -> list[ReportedRun]:
        """Return the runs that this VM has at engines now."""
        return list(self._engine_runs.values())

    async def place(
        self, ask: SlotRequest, refresh: Refresh | None = None
    ) -> Placement | NoSlot:
        """Wait for a slot until the queue's policy grants or refuses it.

        `refresh` is called whenever the request is repeated.
        """
        result = None
        refresh = refresh or _keep
        if self._queues.is_engine(ask.service):
            result = await self._request_from_owners(ask, refresh)
        if result is None:
            result = await self._request_from_own_queue(ask, refresh)
        if isinstance(result, Placement):
            self._note_started(result)
        return result

    def note_first_token(self, placement: Placement) -> None:
        """Report a run's first token to its queue and its owner."""
        ask = placement.ask
        queue = self._queues.queue_for(ask.service)
        queue.note_first_token(ask.request_id, ask.prompt_tokens)
        if placement.owner is not None:
            done = PrefillDone(ask.request_id, ask.service, ask.prompt_tokens)
            self.send(done, placement.owner.address)

    def release(self, placement: Placement, report: RunReport) -> None:
        """Release the slot and report how the run ended."""
        ask = placement.ask
        runner = placement.runner.incarnation
        if report.moved:
            self._catalog.exclude_moved_runner(runner)
        self._engine_runs.pop(ask.request_id, None)
        self._queues.queue_for(ask.service).release(ask.request_id, report)
        if placement.owner is not None:
            message = run_end_message(ask, report, runner)
            self.send(message, placement.owner.address)

    def handle_message(
        self, message: Message, vm: str, reply: Callable[[Message], None]
    ) -> None:
        """Handle a message about a slot request of this or another VM.

        `reply` sends a message to the VM that sent this one.
        """
        match message:
            case SlotRequestMessage():
                self._handle_request(message, reply)
            case Withdrawn():
                self._queues.queue_for(message.service).withdraw(
                    message.request_id
                )
            case PrefillDone():
                queue = self._queues.queue_for(message.service)
                queue.note_first_token(
                    message.request_id, message.prompt_tokens
                )
            case Ended():
                if message.moved_runner:
                    self._catalog.exclude_moved_runner(message.moved_runner)
                if message.crashed:
                    self._events.record(
                        'runner_reported_down',
                        req=message.request_id,
                        service=message.service,
                        by=vm,
                    )
                queue = self._queues.queue_for(message.service)
                queue.release(message.request_id, run_report_from(message))
            case Queued() | Granted() | Refused():
                inbox = self._inboxes.get(message.request_id)
                if inbox is not None:
                    inbox.put_nowait(message)

    def _handle_request(
        self, message: SlotRequestMessage, reply: Callable[[Message], None]
    ) -> None:
        queue = self._queues.queue_for(message.service)
        queue.request_slot(
            slot_request_from(message, self._clock.monotonic()),
            lambda action: reply(decision_message(action)),
            lambda: reply(Queued(message.request_id)),
        )

    async def _request_from_own_queue(
        self, ask: SlotRequest, refresh: Refresh
    ) -> Placement | NoSlot:
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[Grant | Refuse] = loop.create_future()
        queue = self._queues.queue_for(ask.service)
        on_decision = partial(_set_result, fut)
        try:
            while not fut.done():
                queue.request_slot(refresh(ask), on_decision)
                await asyncio.wait((fut,), timeout=REFRESH_S)
            return self._result_of(ask, fut.result(), None)
        except asyncio.CancelledError:
            queue.withdraw(ask.request_id)
            raise

    async def _request_from_owners(
        self, ask: SlotRequest, refresh: Refresh
    ) -> Placement | NoSlot | None:
        """Ask the owner, then its successor.

        Returns `None` if this VM's own queue has to decide. Only the owner and
        its successor know of all runs; if every VM decided for itself, all
        would start their requests at the same runners.
        """
        for _ in range(MAX_OWNERS):
            owner = self._owner(ask)
            if owner is None:
                return None
            # Each owner gets a request ID of its own, so that a late answer
            # of the previous owner isn't taken for one of the next.
            owner_ask = replace(refresh(ask), request_id=self.next_request_id())
            result = await self._request_from_owner(owner_ask, owner, refresh)
            if result is not None:
                return result
        return None

    def _owner(self, ask: SlotRequest) -> Member | None:
        now = self._clock.monotonic()
        return self._members.owner(ask.service, now, self.may_own())

    def _is_owner(self, ask: SlotRequest, vm: str) -> bool:
        owner = self._owner(ask)
        return owner is not None and owner.vm == vm

    async def _request_from_owner(
        self, ask: SlotRequest, owner: Member, refresh: Refresh
    ) -> Placement | NoSlot | None:
        """Ask another VM for a slot; `None` if it doesn't answer.

        The owner may grant a runner that this VM doesn't know yet or has
        already removed; then this VM asks it for another runner.
        """
        for _ in range(MAX_ATTEMPTS):
            message = await self._decision_of(ask, owner, refresh)
            if isinstance(message, Refused):
                return NoSlot(message.reason, message.retry_after_s)
            if not isinstance(message, Granted):
                break
            grant = Grant(message.request_id, message.runner)
            result = self._result_of(ask, grant, owner)
            if isinstance(result, Placement):
                return result
            ask = replace(
                exclude_runner(ask, message.runner),
                request_id=self.next_request_id(),
            )
            refresh = partial(_refresh_without, refresh, message.runner)
        else:
            return None
        if self._is_owner(ask, owner.vm):
            now = self._clock.monotonic()
            self._members.distrust(owner.vm, now + DISTRUST_S)
            self._events.record(
                'owner_silent', req=ask.request_id, owner=owner.vm
            )
        return None

    async def _decision_of(
        self, ask: SlotRequest, owner: Member, refresh: Refresh
    ) -> Message | None:
        """Return the owner's decision.

        Returns `None` if the owner doesn't answer or is no longer the owner.
        """
        inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._inboxes[ask.request_id] = inbox
        message = None
        try:
            message = await self._wait_for_decision(ask, owner, refresh, inbox)
        finally:
            self._inboxes.pop(ask.request_id, None)
            if not isinstance(message, Granted | Refused):
                withdrawal = Withdrawn(ask.request_id, ask.service)
                self.send(withdrawal, owner.address)
        return message

    async def _wait_for_decision(
        self,
        ask: SlotRequest,
        owner: Member,
        refresh: Refresh,
        inbox: 'asyncio.Queue[Message]',
    ) -> Message | None:
        unanswered = 0
        # A request that waits at a former owner would starve: that VM learns
        # of a free slot only after the new owner has granted it again.
        while unanswered < MAX_ATTEMPTS and self._is_owner(ask, owner.vm):
            self.send(
                slot_request_message(refresh(ask), self._clock.monotonic()),
                owner.address,
            )
            message = await _receive(inbox, ACK_TIMEOUT_S * 2**unanswered)
            unanswered += 1
            while isinstance(message, Queued) and self._is_owner(ask, owner.vm):
                unanswered = 0
                message = await _receive(inbox, REFRESH_S)
            if message is not None:
                return message
        return None

    def _result_of(
        self, ask: SlotRequest, action: Grant | Refuse, owner: Member | None
    ) -> Placement | NoSlot:
        if isinstance(action, Refuse):
            return NoSlot(action.reason, action.retry_after.total_seconds())
        entry = self._catalog.used_runner(action.runner)
        # An owner that was suspended grants by an outdated list of runners.
        if entry is not None and entry.state is not RunnerState.LEAVING:
            return Placement(ask, entry, owner)
        self._release_at_owner(ask, RunReport('unknown_runner'), owner)
        return NoSlot('unknown_runner', UNKNOWN_RETRY_S)

    def _release_at_owner(
        self, ask: SlotRequest, report: RunReport, owner: Member | None
    ) -> None:
        if owner is None:
            self._queues.queue_for(ask.service).release(ask.request_id, report)
        else:
            self.send(run_end_message(ask, report), owner.address)

    def _note_started(self, placement: Placement) -> None:
        ask = placement.ask
        queue = self._queues.queue_for(ask.service)
        if placement.owner is None:
            queue.confirm_started(ask.request_id)
        else:
            queue.note_remote_grant(ask, placement.runner.incarnation)
        if self._queues.is_engine(ask.service):
            self._engine_runs[ask.request_id] = ReportedRun(
                ask.request_id,
                ask.service,
                placement.runner.incarnation,
                int(ask.tier),
                ask.workspace,
                ask.cost,
                ask.prompt_tokens,
            )


async def _receive(
    inbox: 'asyncio.Queue[Message]', timeout_s: float
) -> Message | None:
    try:
        async with asyncio.timeout(timeout_s):
            return await inbox.get()
    except TimeoutError:
        return None


def _keep(ask: SlotRequest) -> SlotRequest:
    return ask


def _refresh_without(
    refresh: Refresh, runner: str, ask: SlotRequest
) -> SlotRequest:
    """Refresh a slot request that this runner can't be granted."""
    return exclude_runner(refresh(ask), runner)


def _set_result(
    fut: 'asyncio.Future[Grant | Refuse]', action: Grant | Refuse
) -> None:
    if not fut.done():
        fut.set_result(action)


def _discard(message: Message, address: str) -> None:
    """Stand in for `Placer.send` until `Peers` is set up."""


def _always() -> bool:
    return True
