"""The gRPC service by which gateways get this scheduler's view."""

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
from bramleybend.wire.headers import Headers
from bramleybend.wire.protocol_check import Context


@dataclass(frozen=True)
class ViewSources:
    """Accessors of the parts of a view."""

    terms: TermsFollower
    members: Callable[[], Iterable[Member]]
    runners: Callable[[], Iterable[Vm]]
    shards: Callable[[], Iterable[ShardView]]
    suspects: Callable[[], Iterable[SuspectRecord]]
    terms_age_s: Callable[[], float]


class ViewService(LocalServicer):
    """Answers when there are newer terms or the request's wait has ended."""

    def __init__(self, sources: ViewSources, headers: Headers) -> None:
        """Build views from these sources."""
        self._headers = headers
        self._sources = sources

    async def View(
        self,
        request: ViewRequest,
        context: Context,
    ) -> ViewReply:
        """Return the view, with the document if its terms are newer."""
        await self._headers.accept(request.header, context)
        terms = self._sources.terms
        if terms.version <= request.known_version:
            await self._wait_for_newer_terms(request.wait_s)
        has_newer_terms = terms.version > request.known_version
        return ViewReply(
            version=terms.version,
            offset=max(terms.next_offset, 0),
            document=terms.document if has_newer_terms else '',
            members=[
                make_member_record(each) for each in self._sources.members()
            ],
            runners=[make_runner_record(vm) for vm in self._sources.runners()],
            shards=[make_shard_record(each) for each in self._sources.shards()],
            suspects=self._sources.suspects(),
            age_s=self._sources.terms_age_s(),
        )

    async def _wait_for_newer_terms(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._sources.terms.wait_for_change()
        except TimeoutError:
            return


def make_member_record(member: Member) -> MemberRecord:
    """Encode a member as a wire record."""
    return MemberRecord(
        vm=member.vm,
        address=member.address,
        domain=member.domain,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        state=member.state,
    )


def make_shard_record(view: ShardView, owner: str = '') -> ShardRecord:
    """Encode a shard's load as a wire record."""
    return ShardRecord(
        service=view.service,
        shard=view.shard,
        owner=owner,
        running=view.running,
        waiting=view.waiting,
        limit=view.limit,
    )


def make_runner_record(vm: Vm) -> RunnerRecord:
    """Encode a runner as a wire record."""
    return RunnerRecord(
        name=vm.name,
        endpoint=vm.endpoint,
        service=vm.service,
        domain=vm.domain,
        state=vm.state,
    )
