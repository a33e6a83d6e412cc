"""What an entry VM tells the others, and does with what they tell."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.allotments import AllotmentBook, Spending
from bramleybend.direct.audience import Receiver
from bramleybend.direct.beat_messages import (
    Beat,
    Profile,
    RunNews,
    SpendingNews,
    Spent,
)
from bramleybend.direct.containment import Containment
from bramleybend.direct.feed import Feed
from bramleybend.direct.members import Member, Members
from bramleybend.direct.messages import Message
from bramleybend.direct.placing import Placer
from bramleybend.direct.queues import Queues

State = Callable[[], tuple[bool, bool]]  # ready, leaving

# A total is told again for this long after it changed: in each heartbeat to a
# hub and at least once to a VM that is told each third, so one may be lost.
REPEAT_S: Final = 1.0
# All totals are told again, for those who missed each heartbeat of a second.
FULL_REPORT_EVERY_S: Final = 5.0


@dataclass(frozen=True)
class SharedTables:
    """What heartbeats tell of, and what they change."""

    members: Members
    placer: Placer
    queues: Queues
    allotments: AllotmentBook
    containment: Containment


class PeerMessageHandler:
    """Joins the members, the queues and the allotments to the socket."""

    def __init__(
        self, tables: SharedTables, state: State, clock: Clock
    ) -> None:
        """Tell of these tables."""
        self._members = tables.members
        self._placer = tables.placer
        self._queues = tables.queues
        self._allotments = tables.allotments
        self._containment = tables.containment
        self._limits = tables.queues.limits
        self._state = state
        self._clock = clock
        self._totals = SpendingReports()
        self.feeds: list[Feed] = []

    def make_beat(self, receiver: Receiver) -> Beat:
        """Return what to tell a VM of ourselves now."""
        now = self._clock.monotonic()
        tells_all = receiver.is_new or self._totals.is_full_report_due(now)
        totals = self._totals.select(
            self._allotments.spendings(), now, tells_all=tells_all
        )
        return Beat(
            self._profile(),
            receiver.wants,
            receiver.every,
            [feed.make_news() for feed in self.feeds],
            totals,
            tells_all,
            self._placer.runs() if receiver.tells_runs else None,
            self._containment.recent_news(),
            self._limits.news(),
            self._allotments.age_s(now),
        )

    def take_beat(self, beat: Beat, address: str) -> None:
        """Take in a heartbeat."""
        vm, incarnation = beat.profile.vm, beat.profile.incarnation
        for news in beat.feeds:
            for feed in self.feeds:
                if feed.terms.name == news.name:
                    feed.handle_news(vm, address, news)
        if beat.tells_all:
            self._allotments.adopt(
                _told(beat.spendings), self._clock.monotonic(), beat.accounts_s
            )
        self._take_spendings(_peer(vm, incarnation), beat)
        self._containment.merge_news(beat.crashes)
        self._limits.heard(beat.limits)
        if beat.runs is not None:
            self._take_runs(vm, beat.runs)

    def take_spent(self, profile: Profile, spent: Spent) -> None:
        """Take in what a VM told of workspaces' spending."""
        self._take_spendings(_peer(profile.vm, profile.incarnation), spent)

    def take(
        self,
        message: Message,
        vm: str,
        reply: Callable[[Message], None],
    ) -> None:
        """Take in any other message."""
        self._placer.take(message, vm, reply)

    def unheard(self, vm: str) -> None:
        """Hear that a VM no longer tells us anything itself."""
        for feed in self.feeds:
            feed.remove_peer(vm)

    def silent(self, vm: str) -> None:
        """Hear that a VM was not heard for a while."""
        self.unheard(vm)
        # Its runs end with its connections. Kept as taken, the slots that it
        # had would be missing until it is back or forgotten.
        self._free_runs(vm)

    def lost(self, member: Member) -> None:
        """Free what a VM had running; it is gone or began anew."""
        self._allotments.forget(_peer(member.vm, member.incarnation))
        self._free_runs(member.vm)

    def _profile(self) -> Profile:
        own = self._members.own
        ready, leaving = self._state()
        return Profile(
            own.vm,
            own.incarnation,
            own.address,
            own.domain,
            own.capacity,
            own.front,
            ready,
            leaving,
        )

    def _take_spendings(self, peer: str, news: Beat | Spent) -> None:
        self._allotments.heard(
            peer,
            _told(news.spendings),
            self._clock.monotonic(),
            tells_all=news.tells_all,
            age_s=news.accounts_s,
        )

    def _take_runs(self, vm: str, runs: Iterable[RunNews]) -> None:
        by_service: dict[str, list[RunNews]] = defaultdict(list)
        for run in runs:
            by_service[run.service].append(run)
        for service in by_service:
            self._queues.of(service)
        for service, queue in self._queues:
            queue.heard_runs(vm, by_service.get(service, ()))

    def _free_runs(self, vm: str) -> None:
        for _, queue in self._queues:
            queue.heard_runs(vm, ())


class SpendingReports:
    """Which of our own totals a heartbeat carries.

    All of them in each were most of its bytes: 16 workspaces take 0.5 kB,
    and a VM serves a request of one or two of them between two heartbeats.
    """

    def __init__(self) -> None:
        """Tell all first."""
        self._known: dict[str, tuple[float, float]] = {}
        self._changed_at: dict[str, float] = {}
        self._told_all_at = -inf

    def is_full_report_due(self, now: float) -> bool:
        """Tell whether all totals are to be told again."""
        if now - self._told_all_at > FULL_REPORT_EVERY_S:
            self._told_all_at = now
        return now - self._told_all_at < REPEAT_S

    def select(
        self,
        spendings: Mapping[str, Spending],
        now: float,
        *,
        tells_all: bool,
    ) -> list[SpendingNews]:
        """Return the totals to tell now."""
        self._note_changes(spendings, now)
        return [
            _news(workspace, spending)
            for workspace, spending in spendings.items()
            if tells_all or now - self._changed_at[workspace] <= REPEAT_S
        ]

    def _note_changes(
        self, spendings: Mapping[str, Spending], now: float
    ) -> None:
        for workspace, spending in spendings.items():
            total = (spending.used, spending.beyond)
            if self._known.get(workspace) != total:
                self._known[workspace] = total
                self._changed_at[workspace] = now


def _news(workspace: str, spending: Spending) -> SpendingNews:
    return SpendingNews(
        workspace,
        int(spending.used),
        int(spending.beyond),
        int(spending.debt),
        int(spending.beyond_debt),
    )


def _peer(vm: str, incarnation: str) -> str:
    return f'{vm}/{incarnation}'


def _told(spendings: Iterable[SpendingNews]) -> dict[str, Spending]:
    return {
        news.workspace: Spending(
            news.used, news.beyond, news.debt, news.beyond_debt
        )
        for news in spendings
    }
