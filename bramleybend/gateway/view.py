"""The gateway's view of terms, members and shards, polled from schedulers.

The gateway asks its own VM's scheduler first, and another one while that does
not reply, so that it serves on when its scheduler dies. The ages of the view
and of its terms are known, since a VM that was paused or cut off must not admit
requests on old terms.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field, replace
from math import inf
from operator import attrgetter
from typing import Final

import grpc
from result import Err, Ok

from bramleybend.clock import Clock
from bramleybend.decisions.actions import ShardView
from bramleybend.declarations import parse_terms
from bramleybend.events import EventLog
from bramleybend.models import Terms
from bramleybend.state.member import Member, MemberState
from bramleybend.wire.bramleybend_pb2 import (
    MemberRecord,
    ViewReply,
    ViewRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import LocalStub
from bramleybend.wire.channels import Channels
from bramleybend.wire.headers import Headers

VIEW_LONG_POLL_S: Final = 0.4
# If the view is older than this, schedulers must reply at once instead of
# holding the request until there is news.
VIEW_OVERDUE_S: Final = 0.8
# Time beyond the long poll after which the next scheduler is asked too. Later
# replies are still used.
REPLY_GRACE_S: Final = 0.2
VIEW_TIMEOUT_S: Final = 2.0
RETRY_DELAY_S: Final = 0.1


@dataclass(frozen=True)
class View:
    """The content of the last replies.

    `fresh_at` is the monotonic time at which the terms were last known to be
    in force.
    """

    terms: Terms | None = None
    offset: int = -1
    members: tuple[Member, ...] = ()
    shards: tuple[ShardView, ...] = ()
    endpoints: dict[str, str] = field(default_factory=dict)
    refused_fingerprints: frozenset[str] = frozenset()  # fingerprints
    fresh_at: float = -inf


class ViewFollower:
    """Polls schedulers for the view and keeps the newest."""

    def __init__(
        self,
        headers: Headers,
        own_address: str,
        scheduler_port: int,
        channels: Channels,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Start with an empty view, which is too old to serve on."""
        self.view = View()
        self._headers = headers
        self._own_address = own_address
        self._port = scheduler_port
        self._channels = channels
        self._clock = clock
        self._events = events
        self._scheduler_index = 0
        self._pending_asks: dict[asyncio.Task[bool], str] = {}
        self._owner_candidates: tuple[Member, ...] = ()
        self._asked_at = -inf
        self._view_received = asyncio.Event()

    def owner_candidates(self) -> tuple[Member, ...]:
        """Return the members that may own shards.

        `view.members` also holds VMs that are leaving: they still have runs in
        progress, and requests for those are forwarded to them.
        """
        return self._owner_candidates

    @property
    def terms_version(self) -> int:
        """The version of the terms in force here; 0 before the first."""
        return self.view.terms.version if self.view.terms else 0

    @property
    def terms_age_s(self) -> float:
        """Seconds since the terms were last known to be in force."""
        return self._clock.monotonic() - self.view.fresh_at

    @property
    def view_age_s(self) -> float:
        """Seconds since the newest view was requested.

        Owners in an old view may have been replaced since; see
        `decisions.tier_floor`.
        """
        return self._clock.monotonic() - self._asked_at

    @property
    def is_overdue(self) -> bool:
        """Whether the next view should have arrived by now."""
        return self.view_age_s >= VIEW_OVERDUE_S

    async def wait_for_view(self, limit_s: float) -> None:
        """Wait for the next view, for at most `limit_s` seconds."""
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._view_received.wait()

    async def follow(self) -> None:
        """Poll for views until cancelled."""
        try:
            while True:
                await self._ask_next()
        finally:
            for ask_task in self._pending_asks:
                ask_task.cancel()

    async def _ask_next(self) -> None:
        """Ask one scheduler; select the next one if it does not reply."""
        wait_s = 0 if self.is_overdue else VIEW_LONG_POLL_S
        if self._scheduler_index:
            self._probe_own()
        ask_task = self._start_ask(self._current_address(), wait_s)
        done, _ = await asyncio.wait(
            (ask_task,), timeout=wait_s + REPLY_GRACE_S
        )
        if ask_task not in done:
            self._scheduler_index += 1
        elif not ask_task.result():
            self._scheduler_index += 1
            await asyncio.sleep(RETRY_DELAY_S)

    def _probe_own(self) -> None:
        """Ask the VM's own scheduler too, unless such a request is pending."""
        if self._own_address not in self._pending_asks.values():
            self._start_ask(self._own_address, wait_s=0)

    def _start_ask(self, address: str, wait_s: float) -> asyncio.Task[bool]:
        ask_task = asyncio.create_task(self._ask_and_apply(address, wait_s))
        self._pending_asks[ask_task] = address
        ask_task.add_done_callback(self._pending_asks.pop)
        return ask_task

    async def _ask_and_apply(self, address: str, wait_s: float) -> bool:
        """Request and apply one scheduler's view; false if the call failed."""
        asked_at = self._clock.monotonic()
        try:
            reply = await self._request_view(address, wait_s)
        except grpc.aio.AioRpcError:
            return False
        terms = await self._parse_newer_terms(reply)
        # Several schedulers may be asked at once and may reply in any order.
        if asked_at > self._asked_at:
            self._apply_reply(reply, terms, asked_at)
        if address == self._own_address:
            self._scheduler_index = 0
        return True

    def _current_address(self) -> str:
        # Index 0 is the VM's own scheduler. A scheduler that does not reply
        # moves the index to the next member; a reply of the VM's own scheduler
        # resets it.
        others = [
            member.address
            for member in self.view.members
            if member.address != self._own_address
        ]
        addresses = [self._own_address, *others]
        return addresses[self._scheduler_index % len(addresses)]

    async def _request_view(self, address: str, wait_s: float) -> ViewReply:
        channel = self._channels.get(f'{address}:{self._port}')
        request = ViewRequest(
            header=self._headers.make(),
            known_version=self.terms_version,
            wait_s=wait_s,
        )
        stub = LocalStub(channel)
        reply: ViewReply = await stub.View(request, timeout=VIEW_TIMEOUT_S)
        return reply

    def _apply_reply(
        self,
        reply: ViewReply,
        terms: Terms | None,
        asked_at: float,
    ) -> None:
        # This process may have been paused while it waited for the reply, so
        # the view's age counts from before the request.
        self._asked_at = asked_at
        self.view = replace(
            self.view,
            terms=_newer_terms(self.view.terms, terms),
            offset=max(reply.offset, self.view.offset),
            members=tuple(_make_member(record) for record in reply.members),
            shards=tuple(
                ShardView(
                    service=record.service,
                    shard=record.shard,
                    running=record.running,
                    waiting=record.waiting,
                    limit=record.limit,
                    age_s=0,
                )
                for record in reply.shards
            ),
            endpoints={
                record.name: record.endpoint for record in reply.runners
            },
            refused_fingerprints=frozenset(
                record.fingerprint
                for record in reply.suspects
                if record.refused
            ),
            # A scheduler that was paused may report older terms than another
            # scheduler has reported already.
            fresh_at=max(asked_at - reply.age_s, self.view.fresh_at),
        )
        self._owner_candidates = tuple(
            member for member in self.view.members if member.may_own
        )
        self._view_received.set()
        self._view_received = asyncio.Event()

    async def _parse_newer_terms(self, reply: ViewReply) -> Terms | None:
        known = self.view.terms
        # Terms never go back to an older version: a scheduler that has only an
        # older one is behind.
        if known is not None and reply.version <= known.version:
            return known
        if not reply.document:
            return known
        # Parsing a document of 4,300 workspaces takes 0.26 s, and would block
        # all answers in progress on the event loop for that time.
        parsed = await asyncio.to_thread(
            parse_terms,
            reply.document,
            reply.version,
        )
        match parsed:
            case Ok(terms):
                self._events.record('terms_in_force', version=terms.version)
                return terms
            case Err(problem):
                self._events.record('terms_refused', detail=problem.detail)
        return known


def _newer_terms(known: Terms | None, parsed: Terms | None) -> Terms | None:
    # The known terms may have been replaced while a document was parsed.
    if known is None or parsed is None:
        return parsed or known
    return max(known, parsed, key=attrgetter('version'))


def _make_member(record: MemberRecord) -> Member:
    return Member(
        vm=record.vm,
        address=record.address,
        domain=record.domain,
        incarnation=record.incarnation,
        state=MemberState(record.state),
        heartbeat=record.heartbeat,
    )
