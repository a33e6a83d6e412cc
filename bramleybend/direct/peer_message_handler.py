"""Builds this VM's heartbeats and applies those of the other entry VMs."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.allotment_models import AccountReport
from bramleybend.decisions.allotments import AllotmentLedger
from bramleybend.direct.containment import Containment
from bramleybend.direct.feed import Feed
from bramleybend.direct.heartbeat_messages import (
    Heartbeat,
    Profile,
    RelayedTotals,
    ReportedRun,
    WorkspaceTotals,
)
from bramleybend.direct.members import Member, Members
from bramleybend.direct.messages import (
    Message,
    StreamsBegan,
    StreamsRecorded,
)
from bramleybend.direct.placement import Placer
from bramleybend.direct.queues import Queues
from bramleybend.direct.recipients import Receiver
from bramleybend.direct.stream_recorder import StreamRecorder

Readiness = Callable[[], tuple[bool, bool]]  # is ready, is leaving

# A changed total is repeated in heartbeats for this long. A hub gets each of
# them, so one may be lost; a VM that gets every third gets at least one.
REPEAT_S: Final = 1.0
# Interval at which all totals are repeated, for VMs that missed each heartbeat
# of a second.
FULL_REPORT_EVERY_S: Final = 5.0


@dataclass(frozen=True)
class SharedTables:
    """The state that heartbeats report and update."""

    members: Members
    placer: Placer
    queues: Queues
    allotments: AllotmentLedger
    containment: Containment


class PeerMessageHandler:
    """Connects the peer socket to members, queues and allotments."""

    def __init__(
        self, tables: SharedTables, readiness: Readiness, clock: Clock
    ) -> None:
        """Create a handler that reports and updates the given tables."""
        self._members = tables.members
        self._placer = tables.placer
        self._queues = tables.queues
        self._allotments = tables.allotments
        self._containment = tables.containment
        self._runner_limits = tables.queues.limits
        self._readiness = readiness
        self._clock = clock
        self._spending_reports = SpendingReports()
        self.feeds: list[Feed] = []
        self.stream_recorder: StreamRecorder | None = None
        # Returns the services whose runners this VM can't connect to.
        self.unreached: Callable[[], tuple[str, ...]] = tuple

    def make_heartbeat(self, receiver: Receiver) -> Heartbeat:
        """Return the heartbeat to send to a VM now."""
        now = self._clock.monotonic()
        tells_all = (
            receiver.is_new or self._spending_reports.is_full_report_due(now)
        )
        totals = self._spending_reports.select(
            self._allotments.reports(), now, tells_all=tells_all
        )
        return Heartbeat(
            self._make_profile(),
            receiver.requested_digests,
            receiver.interval_beats,
            [feed.make_news() for feed in self.feeds],
            totals,
            tells_all,
            self._placer.runs() if receiver.includes_runs else None,
            self._containment.recent_news(),
            self._runner_limits.limits_to_send(),
            self._allotments.age_s(now),
        )

    def handle_heartbeat(
        self, beat: Heartbeat, address: str, heard_at: float
    ) -> None:
        """Apply a heartbeat that was heard at a monotonic time."""
        vm, incarnation = beat.profile.vm, beat.profile.incarnation
        for news in beat.feeds:
            for feed in self.feeds:
                if feed.settings.name == news.name:
                    feed.handle_news(vm, address, news, heard_at)
        if beat.tells_all:
            self._allotments.adopt_accounts(
                _parse_spendings(beat.totals),
                self._clock.monotonic(),
                beat.accounts_s,
            )
        self._apply_spendings(_peer_id(vm, incarnation), beat)
        self._containment.merge_news(beat.crashes)
        self._runner_limits.merge(beat.limits, heard_at)
        if beat.runs is not None:
            self._apply_runs(vm, beat.runs, heard_at)

    def handle_relayed_totals(
        self, profile: Profile, spent: RelayedTotals
    ) -> None:
        """Apply the spending of workspaces that a VM reports."""
        self._apply_spendings(_peer_id(profile.vm, profile.incarnation), spent)

    def handle_message(
        self,
        message: Message,
        vm: str,
        reply: Callable[[Message], None],
    ) -> None:
        """Pass any other message to the placer or the stream recorder."""
        recorder = self.stream_recorder
        match message:
            case StreamsBegan() if recorder is not None:
                recorder.handle_began(message, reply)
            case StreamsRecorded() if recorder is not None:
                recorder.handle_recorded(message)
            case _:
                self._placer.handle_message(message, vm, reply)

    def on_direct_timeout(self, vm: str) -> None:
        """Handle that a VM no longer sends heartbeats directly to this one."""
        for feed in self.feeds:
            feed.remove_peer(vm)

    def on_silent(self, vm: str) -> None:
        """Handle that no heartbeat of a VM was received for a while."""
        self.on_direct_timeout(vm)
        # Its runs end when its connections close. If they still counted as
        # running, their slots would be missing until the VM is back or
        # forgotten.
        self._release_runs(vm)

    def on_lost(self, member: Member) -> None:
        """Release the runs of a VM that is gone or has restarted."""
        self._allotments.remove_peer(_peer_id(member.vm, member.incarnation))
        self._release_runs(member.vm)

    def _make_profile(self) -> Profile:
        own = self._members.own
        ready, leaving = self._readiness()
        return Profile(
            own.vm,
            own.incarnation,
            own.address,
            own.domain,
            own.capacity,
            own.caller_endpoint,
            ready,
            leaving,
            self.unreached(),
        )

    def _apply_spendings(
        self, peer: str, news: Heartbeat | RelayedTotals
    ) -> None:
        self._allotments.merge_report(
            peer,
            _parse_spendings(news.totals),
            self._clock.monotonic(),
            tells_all=news.tells_all,
            age_s=news.accounts_s,
        )

    def _apply_runs(
        self, vm: str, runs: Iterable[ReportedRun], heard_at: float
    ) -> None:
        by_service: dict[str, list[ReportedRun]] = defaultdict(list)
        for run in runs:
            by_service[run.service].append(run)
        for service in by_service:
            self._queues.queue_for(service)
        for service, queue in self._queues:
            queue.update_reported_runs(
                vm, by_service.get(service, ()), heard_at
            )

    def _release_runs(self, vm: str) -> None:
        for _, queue in self._queues:
            queue.update_reported_runs(vm, (), self._clock.monotonic())


class SpendingReports:
    """Selects which of this VM's spending totals a heartbeat carries.

    All totals would be most of a heartbeat's bytes: those of 16 workspaces take
    0.5 kB, and between two heartbeats a VM serves requests of one or two of
    them.
    """

    def __init__(self) -> None:
        """Create reports of which the first is a full one."""
        self._last_totals: dict[str, tuple[float, float]] = {}
        self._changed_at: dict[str, float] = {}
        self._full_report_at = -inf

    def is_full_report_due(self, now: float) -> bool:
        """Return whether heartbeats carry all totals now."""
        if now - self._full_report_at > FULL_REPORT_EVERY_S:
            self._full_report_at = now
        return now - self._full_report_at < REPEAT_S

    def select(
        self,
        spendings: Mapping[str, AccountReport],
        now: float,
        *,
        tells_all: bool,
    ) -> list[WorkspaceTotals]:
        """Return the totals that a heartbeat carries now."""
        self._note_changes(spendings, now)
        return [
            _make_spending_news(workspace, spending)
            for workspace, spending in spendings.items()
            if tells_all or now - self._changed_at[workspace] <= REPEAT_S
        ]

    def _note_changes(
        self, spendings: Mapping[str, AccountReport], now: float
    ) -> None:
        for workspace, spending in spendings.items():
            total = (spending.used, spending.over_allotment)
            if self._last_totals.get(workspace) != total:
                self._last_totals[workspace] = total
                self._changed_at[workspace] = now


def _make_spending_news(
    workspace: str, spending: AccountReport
) -> WorkspaceTotals:
    return WorkspaceTotals(
        workspace,
        int(spending.used),
        int(spending.over_allotment),
        int(spending.debt),
        int(spending.tolerance_debt),
    )


def _peer_id(vm: str, incarnation: str) -> str:
    return f'{vm}/{incarnation}'


def _parse_spendings(
    spendings: Iterable[WorkspaceTotals],
) -> dict[str, AccountReport]:
    return {
        news.workspace: AccountReport(
            news.used, news.beyond, news.debt, news.beyond_debt
        )
        for news in spendings
    }
