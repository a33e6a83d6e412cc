"""Answers gateways with the view this scheduler decides on."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bramleybend.decisions.actions import ShardView
from bramleybend.models import Vm
from bramleybend.state.member import Member
from bramleybend.state.terms_follower import TermsFollower
from bramleybend.wire.bramleybend_pb2 import (
    MemberRecord,
    RunnerRecord,
    ShardRecord,
    SuspectRecord,
    ViewReply,
    ViewRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import LocalServicer
from bramleybend.wire.check import Context
from bramleybend.wire.headers import Headers


@dataclass(frozen=True)
class ViewSources:
    """Where each part of a view comes from."""

    terms: TermsFollower
    members: Callable[[], Iterable[Member]]
    runners: Callable[[], Iterable[Vm]]
    shards: Callable[[], Iterable[ShardView]]
    suspects: Callable[[], Iterable[SuspectRecord]]
    terms_age_s: Callable[[], float]


class ViewService(LocalServicer):
    """Holds a question back until there are newer terms, for a while."""

    def __init__(self, sources: ViewSources, headers: Headers) -> None:
        """Answer from these sources."""
        self._headers = headers
        self._sources = sources

    async def View(
        self,
        request: ViewRequest,
        context: Context,
    ) -> ViewReply:
        """Return the view, with the document only if it is news."""
        await self._headers.accept(request.header, context)
        terms = self._sources.terms
        if terms.version <= request.known_version:
            await self._wait_for_newer_terms(request.wait_s)
        news = terms.version > request.known_version
        return ViewReply(
            version=terms.version,
            offset=max(terms.offset, 0),
            document=terms.document if news else '',
            members=[member_record(each) for each in self._sources.members()],
            runners=[runner_record(vm) for vm in self._sources.runners()],
            shards=[shard_record(each) for each in self._sources.shards()],
            suspects=self._sources.suspects(),
            age_s=self._sources.terms_age_s(),
        )

    async def _wait_for_newer_terms(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._sources.terms.changed()
        except TimeoutError:
            return


def member_record(member: Member) -> MemberRecord:
    """Put a member on the wire."""
    return MemberRecord(
        vm=member.vm,
        address=member.address,
        domain=member.domain,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        state=member.state,
    )


def shard_record(view: ShardView, owner: str = '') -> ShardRecord:
    """Put a shard's load on the wire."""
    return ShardRecord(
        service=view.service,
        shard=view.shard,
        owner=owner,
        running=view.running,
        waiting=view.waiting,
        limit=view.limit,
    )


def runner_record(vm: Vm) -> RunnerRecord:
    return RunnerRecord(
        name=vm.name,
        endpoint=vm.endpoint,
        service=vm.service,
        domain=vm.domain,
        state=vm.state,
    )
