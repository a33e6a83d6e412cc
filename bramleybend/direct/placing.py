"""Gets a slot at a runner for one request, from whoever orders the service.

The owner answers a first word at once. A VM that doesn't is gone, frozen or
cut off: it is asked again twice, each time with twice the patience, as a
datagram may be lost and a busy owner late. Then its successor is asked, which
hears of the same runs; last, the request is placed by this VM's own queue. So
the loss of an owner costs a caller about seven times `ACK_S`.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from itertools import count
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.actions import Grant, Refuse, RunReport
from bramleybend.direct.ask_messages import (
    ask_from,
    ask_news,
    ended_news,
    report_from,
    told,
)
from bramleybend.direct.beat_messages import RunNews
from bramleybend.direct.book import Book
from bramleybend.direct.members import Member, Members
from bramleybend.direct.messages import (
    AskNews,
    Ended,
    Filled,
    Granted,
    Message,
    Queued,
    Refused,
    Withdrawn,
)
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.owner import without
from bramleybend.direct.queues import Queues
from bramleybend.events import EventLog
from bramleybend.models import Ask

# A round trip between failure domains takes 1 ms and a busy owner some more.
ACK_S: Final = 0.04
ASKS: Final = 3
MOST_ASKED: Final = 4  # VMs; one that owns again is asked again
REFRESH_S: Final = 0.3  # a waiting ask is said again, or it lapses
UNKNOWN_RETRY_S: Final = 0.2  # news of a runner reaches all VMs by then
DISTRUST_S: Final = 1.0  # an owner that didn't answer is not asked again

Send = Callable[[Message, str], None]


@dataclass(frozen=True)
class Placement:
    """A slot at a runner, until it is given back."""

    ask: Ask
    runner: RunnerEntry
    owner: Member | None  # none: our own queue granted it


@dataclass(frozen=True)
class NoSlot:
    """No runner takes the request; nothing was sent."""

    reason: str
    retry_after_s: float


class Placer:
    """Places this VM's requests, and answers the asks of the others."""

    def __init__(
        self,
        book: Book,
        members: Members,
        queues: Queues,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Start with nothing under way."""
        self._book = book
        self._members = members
        self._queues = queues
        self._clock = clock
        self._events = events
        self._numbers = count()
        self._waiting: dict[str, asyncio.Queue[Message]] = {}
        self._runs: dict[str, RunNews] = {}
        self.send: Send = _send_nowhere
        self.may_own: Callable[[], bool] = _always

    def next_id(self) -> str:
        """Name one ask; unique over all VMs and their restarts."""
        return f'{self._members.own.incarnation}.{next(self._numbers)}'

    def runs(self) -> list[RunNews]:
        """Return what we have at engines now."""
        return list(self._runs.values())

    async def place(self, ask: Ask) -> Placement | NoSlot:
        """Wait for a slot, as long as the queue's policy lets it wait."""
        placed = None
        if self._queues.is_engine(ask.service):
            placed = await self._ask_owners(ask)
        if placed is None:
            placed = await self._ask_own(ask)
        if isinstance(placed, Placement):
            self._begin(placed)
        return placed

    def filled(self, placement: Placement) -> None:
        """Note that the first token has come."""
        ask = placement.ask
        queue = self._queues.of(ask.service)
        queue.filled(ask.request_id, ask.prompt_tokens)
        if placement.owner is not None:
            news = Filled(ask.request_id, ask.service, ask.prompt_tokens)
            self.send(news, placement.owner.address)

    def ended(self, placement: Placement, report: RunReport) -> None:
        """Give the slot back."""
        ask = placement.ask
        runner = placement.runner.incarnation
        if report.moved:
            self._book.note_moved(runner)
        self._runs.pop(ask.request_id, None)
        self._queues.of(ask.service).ended(ask.request_id, report)
        if placement.owner is not None:
            news = ended_news(ask, report, runner)
            self.send(news, placement.owner.address)

    def take(
        self, message: Message, vm: str, reply: Callable[[Message], None]
    ) -> None:
        """Take in a message about an ask, ours or another VM's."""
        match message:
            case AskNews():
                self._take_ask(message, reply)
            case Withdrawn():
                self._queues.of(message.service).withdraw(message.request_id)
            case Filled():
                queue = self._queues.of(message.service)
                queue.filled(message.request_id, message.prompt_tokens)
            case Ended():
                if message.moved_runner:
                    self._book.note_moved(message.moved_runner)
                queue = self._queues.of(message.service)
                queue.ended(message.request_id, report_from(message))
            case Queued() | Granted() | Refused():
                inbox = self._waiting.get(message.request_id)
                if inbox is not None:
                    inbox.put_nowait(message)

    def _take_ask(
        self, news: AskNews, reply: Callable[[Message], None]
    ) -> None:
        queue = self._queues.of(news.service)
        queue.ask(
            ask_from(news, self._clock.monotonic()),
            lambda action: reply(told(action)),
            lambda: reply(Queued(news.request_id)),
        )

    async def _ask_own(self, ask: Ask) -> Placement | NoSlot:
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[Grant | Refuse] = loop.create_future()
        queue = self._queues.of(ask.service)
        reply = partial(_settle, fut)
        try:
            while not fut.done():
                queue.ask(ask, reply)
                await asyncio.wait((fut,), timeout=REFRESH_S)
            return self._placed(ask, fut.result(), None)
        except asyncio.CancelledError:
            queue.withdraw(ask.request_id)
            raise

    async def _ask_owners(self, ask: Ask) -> Placement | NoSlot | None:
        """Ask the owner, then its successor; `None`: order it ourselves.

        Only these two hear of all runs. Ordered by each VM for itself, the
        requests of all would start at the same runners.
        """
        for _ in range(MOST_ASKED):
            owner = self._owner(ask)
            if owner is None:
                return None
            # Each under an id of its own: a late word of the one before would
            # else count for the next.
            own_ask = replace(ask, request_id=self.next_id())
            placed = await self._ask_owner(own_ask, owner)
            if placed is not None:
                return placed
        return None

    def _owner(self, ask: Ask) -> Member | None:
        now = self._clock.monotonic()
        return self._members.owner(ask.service, now, self.may_own())

    def _is_owner(self, ask: Ask, vm: str) -> bool:
        owner = self._owner(ask)
        return owner is not None and owner.vm == vm

    async def _ask_owner(
        self, ask: Ask, owner: Member
    ) -> Placement | NoSlot | None:
        """Ask another VM; `None` if it doesn't answer.

        It may know runners that we have not heard of yet, or have heard to be
        gone; then it is asked for another one.
        """
        for _ in range(ASKS):
            message = await self._word_of(ask, owner)
            if isinstance(message, Refused):
                return NoSlot(message.reason, message.retry_after_s)
            if not isinstance(message, Granted):
                break
            grant = Grant(message.request_id, message.runner)
            placed = self._placed(ask, grant, owner)
            if isinstance(placed, Placement):
                return placed
            ask = replace(
                without(ask, message.runner), request_id=self.next_id()
            )
        else:
            return None
        if self._is_owner(ask, owner.vm):
            now = self._clock.monotonic()
            self._members.distrust(owner.vm, now + DISTRUST_S)
            self._events.record(
                'owner_silent', req=ask.request_id, owner=owner.vm
            )
        return None

    async def _word_of(self, ask: Ask, owner: Member) -> Message | None:
        """Return a VM's decision; `None` if it has none or owns no more."""
        inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._waiting[ask.request_id] = inbox
        message = None
        try:
            message = await self._answer_of(ask, owner, inbox)
        finally:
            self._waiting.pop(ask.request_id, None)
            if not isinstance(message, Granted | Refused):
                news = Withdrawn(ask.request_id, ask.service)
                self.send(news, owner.address)
        return message

    async def _answer_of(
        self, ask: Ask, owner: Member, inbox: 'asyncio.Queue[Message]'
    ) -> Message | None:
        silent = 0
        # What waits at a VM that owns no more sees slots come free only when
        # the owner has filled them again.
        while silent < ASKS and self._is_owner(ask, owner.vm):
            self.send(ask_news(ask, self._clock.monotonic()), owner.address)
            message = await _next(inbox, ACK_S * 2**silent)
            silent += 1
            while isinstance(message, Queued) and self._is_owner(ask, owner.vm):
                silent = 0
                message = await _next(inbox, REFRESH_S)
            if message is not None:
                return message
        return None

    def _placed(
        self, ask: Ask, action: Grant | Refuse, owner: Member | None
    ) -> Placement | NoSlot:
        if isinstance(action, Refuse):
            return NoSlot(action.reason, action.retry_after.total_seconds())
        entry = self._book.entry(action.runner)
        if entry is not None:
            return Placement(ask, entry, owner)
        self._end_at_owner(ask, RunReport('unknown_runner'), owner)
        return NoSlot('unknown_runner', UNKNOWN_RETRY_S)

    def _end_at_owner(
        self, ask: Ask, report: RunReport, owner: Member | None
    ) -> None:
        if owner is None:
            self._queues.of(ask.service).ended(ask.request_id, report)
        else:
            self.send(ended_news(ask, report), owner.address)

    def _begin(self, placement: Placement) -> None:
        ask = placement.ask
        queue = self._queues.of(ask.service)
        if placement.owner is None:
            queue.began(ask.request_id)
        else:
            queue.witness(ask, placement.runner.incarnation)
        if self._queues.is_engine(ask.service):
            self._runs[ask.request_id] = RunNews(
                ask.request_id,
                ask.service,
                placement.runner.incarnation,
                int(ask.tier),
                ask.workspace,
                ask.cost,
                ask.prompt_tokens,
            )


async def _next(
    inbox: 'asyncio.Queue[Message]', timeout_s: float
) -> Message | None:
    try:
        async with asyncio.timeout(timeout_s):
            return await inbox.get()
    except TimeoutError:
        return None


def _settle(
    fut: 'asyncio.Future[Grant | Refuse]', action: Grant | Refuse
) -> None:
    if not fut.done():
        fut.set_result(action)


def _send_nowhere(message: Message, address: str) -> None:
    """Drop a message before the socket is open."""


def _always() -> bool:
    return True
