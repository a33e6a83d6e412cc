"""What an entry VM tells the others, and does with what they tell."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import astuple

from bramleybend.clock import Clock
from bramleybend.decisions.allotments import AllotmentBook, Spending
from bramleybend.direct.containment import Containment
from bramleybend.direct.feed import Feed
from bramleybend.direct.members import Member, Members
from bramleybend.direct.messages import (
    Beat,
    Message,
    RunNews,
    SpendingNews,
)
from bramleybend.direct.peers import member_news
from bramleybend.direct.placing import Placer
from bramleybend.direct.queues import Queues

State = Callable[[], tuple[bool, bool]]  # ready, leaving


class PeerListener:
    """Joins the members, the queues and the allotments to the socket."""

    def __init__(
        self,
        members: Members,
        placer: Placer,
        queues: Queues,
        allotments: AllotmentBook,
        containment: Containment,
        state: State,
        clock: Clock,
    ) -> None:
        """Tell of these tables."""
        self._members = members
        self._placer = placer
        self._queues = queues
        self._allotments = allotments
        self._containment = containment
        self._state = state
        self._clock = clock
        self.feeds: list[Feed] = []

    def make_beat(self) -> Beat:
        """Return what to tell all others now."""
        own = self._members.own
        ready, leaving = self._state()
        return Beat(
            own.vm,
            own.incarnation,
            own.front,
            ready,
            leaving,
            [feed.news() for feed in self.feeds],
            member_news(self._members),
            [
                SpendingNews(workspace, *astuple(spending))
                for workspace, spending in self._allotments.spendings().items()
            ],
            self._placer.runs(),
            self._containment.news(),
        )

    def take_beat(self, beat: Beat, address: str) -> None:
        """Take in a heartbeat."""
        for news in beat.feeds:
            for feed in self.feeds:
                if feed.terms.name == news.name:
                    feed.heard(beat.vm, address, news)
        self._allotments.heard(
            _peer(beat.vm, beat.incarnation),
            {one.workspace: _spending(one) for one in beat.spendings},
            self._clock.monotonic(),
        )
        self._containment.heard(beat.crashes)
        by_service: dict[str, list[RunNews]] = defaultdict(list)
        for run in beat.runs:
            by_service[run.service].append(run)
        for service in by_service:
            self._queues.of(service)
        for service, queue in self._queues:
            queue.heard_runs(beat.vm, by_service.get(service, ()))

    def take(
        self,
        message: Message,
        vm: str,
        reply: Callable[[Message], None],
    ) -> None:
        """Take in any other message."""
        self._placer.take(message, vm, reply)

    def silent(self, vm: str) -> None:
        """Hear that a VM was not heard for a while."""
        for feed in self.feeds:
            feed.lost(vm)
        # Its runs end with its connections. Kept as taken, the slots that it
        # had would be missing until it is back or forgotten.
        self._free_runs(vm)

    def lost(self, member: Member) -> None:
        """Free what a VM had running; it is gone or began anew."""
        self._allotments.forget(_peer(member.vm, member.incarnation))
        self._free_runs(member.vm)

    def _free_runs(self, vm: str) -> None:
        for _, queue in self._queues:
            queue.heard_runs(vm, ())


def _peer(vm: str, incarnation: str) -> str:
    return f'{vm}/{incarnation}'


def _spending(news: SpendingNews) -> Spending:
    return Spending(news.used, news.beyond, news.debt, news.beyond_debt)
