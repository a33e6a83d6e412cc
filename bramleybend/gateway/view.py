"""The gateway's view of terms, members and shards, from a scheduler.

The VM's own scheduler is asked first; while it is down another one is, so a
scheduler's death leaves its gateway serving. The view knows its age: a VM
that was paused or cut off must not admit work on old terms.
"""

import asyncio
from dataclasses import dataclass, field, replace
from math import inf
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

VIEW_WAIT_S: Final = 0.4
VIEW_TIMEOUT_S: Final = 0.9
RETRY_S: Final = 0.1


@dataclass(frozen=True)
class View:
    """What the last reply said; `heard_at` is when its word was fresh."""

    terms: Terms | None = None
    offset: int = -1
    members: tuple[Member, ...] = ()
    shards: tuple[ShardView, ...] = ()
    endpoints: dict[str, str] = field(default_factory=dict)
    refused: frozenset[str] = frozenset()  # fingerprints
    heard_at: float = -inf


class ViewFollower:
    """Keeps the view fresh; owns its calls."""

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
        self._turn = 0
        self._owners: tuple[Member, ...] = ()
        self._asked_at = -inf

    def owners(self) -> tuple[Member, ...]:
        """Return the members that may own shards.

        The view holds the others too: a VM that is leaving still has runs
        under way, and requests for them are forwarded to it.
        """
        return self._owners

    @property
    def terms_version(self) -> int:
        """The version in force here; 0 before any."""
        return self.view.terms.version if self.view.terms else 0

    @property
    def age_s(self) -> float:
        """Seconds since the system was last heard of."""
        return self._clock.monotonic() - self.view.heard_at

    @property
    def view_age_s(self) -> float:
        """Seconds since the last view was asked for.

        Owners seen in an old view may have been replaced since; see
        `decisions.floor`.
        """
        return self._clock.monotonic() - self._asked_at

    async def follow(self) -> None:
        """Ask for views until cancelled."""
        while True:
            asked_at = self._clock.monotonic()
            try:
                reply = await self._ask(self._next_address())
            except grpc.aio.AioRpcError:
                self._turn += 1
                await asyncio.sleep(RETRY_S)
            else:
                self._turn = 0
                terms = await self._terms(reply)
                self._take(reply, terms, asked_at)

    def _next_address(self) -> str:
        # Turn 0 is the VM's own scheduler; each failure moves on to the
        # next member, and a success comes back to the own one.
        others = [
            member.address
            for member in self.view.members
            if member.address != self._own_address
        ]
        addresses = [self._own_address, *others]
        return addresses[self._turn % len(addresses)]

    async def _ask(self, address: str) -> ViewReply:
        channel = self._channels.get(f'{address}:{self._port}')
        request = ViewRequest(
            header=self._headers.make(),
            known_version=self.terms_version,
            wait_s=VIEW_WAIT_S,
        )
        stub = LocalStub(channel)
        reply: ViewReply = await stub.View(request, timeout=VIEW_TIMEOUT_S)
        return reply

    def _take(
        self,
        reply: ViewReply,
        terms: Terms | None,
        asked_at: float,
    ) -> None:
        # The wait for a reply may have frozen this process with it, so the
        # word is dated from before the question, never from its arrival.
        self._asked_at = asked_at
        self.view = replace(
            self.view,
            terms=terms,
            offset=max(reply.offset, self.view.offset),
            members=tuple(_member(record) for record in reply.members),
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
            refused=frozenset(
                record.fingerprint
                for record in reply.suspects
                if record.refused
            ),
            heard_at=asked_at - reply.age_s,
        )
        self._owners = tuple(
            member for member in self.view.members if member.may_own
        )

    async def _terms(self, reply: ViewReply) -> Terms | None:
        known = self.view.terms
        # Terms never revert: a scheduler that knows less than we do is
        # left behind, and we keep what we have.
        if known is not None and reply.version <= known.version:
            return known
        if not reply.document:
            return known
        # A document of 4,300 workspaces takes 0.26 s to read, as long as all
        # answers under way would stand still if it were read right here.
        read = await asyncio.to_thread(
            parse_terms,
            reply.document,
            reply.version,
        )
        match read:
            case Ok(terms):
                self._events.record('terms_in_force', version=terms.version)
                return terms
            case Err(problem):
                self._events.record('terms_refused', detail=problem.detail)
        return known


def _member(record: MemberRecord) -> Member:
    return Member(
        vm=record.vm,
        address=record.address,
        domain=record.domain,
        incarnation=record.incarnation,
        state=MemberState(record.state),
        heartbeat=record.heartbeat,
    )
