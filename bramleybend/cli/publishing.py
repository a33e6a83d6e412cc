"""Publishes one document and settles what became of it.

A reply of the log can be lost after the append took effect. The publish id
settles that: the stream is read, and the same record is appended again only
if it is not there. Copies are harmless, since all name the same base and
only the first to follow it counts; a publish under a new id would not be.
"""

from dataclasses import dataclass
from typing import Final

from result import Err

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.cli.history import History
from bramleybend.clients.log_service import TERMS_STREAM, LogService
from bramleybend.declarations import parse_terms
from bramleybend.errors import ErrorKind, Problem
from bramleybend.state.terms_records import encode_publish
from bramleybend.state.terms_rules import (
    PublishAccepted,
    PublishConflict,
    PublishRejected,
)

# What the log may take to show a record whose reply it lost.
SHOW_S: Final = 2.0


@dataclass(frozen=True)
class Draft:
    """What is to be published."""

    document: str
    base: int
    publish_id: str
    by: str


@dataclass
class Published:
    """An accepted publish, and how it was learned."""

    version: int
    publish_id: str
    reply_lost: bool = False
    repeated: bool = False


async def publish_draft(ctx: Context, draft: Draft) -> Published:
    """Publish, or end the command with what is wrong and what to do."""
    unwrap(parse_terms(draft.document, draft.base + 1))
    history = await _read_history(ctx, draft)
    settled = _settled(history, draft)
    if settled is not None:
        _check_same_text(history, draft, settled)
        return Published(settled, draft.publish_id, repeated=True)
    _check_base(history, draft)
    ctx.progress(f'publishing as {draft.publish_id}')
    return await _Publishing(ctx, ctx.log(), history, draft).run()


async def _read_history(ctx: Context, draft: Draft) -> History:
    """Read as much as is needed to judge the draft.

    A repeated id may stand before the last renewal, and so may the publish
    that was faster; a fresh publish on the version in force needs neither.
    """
    if not ctx.flags.publish_id:
        recent = await ctx.recent()
        if recent.current == draft.base:
            return recent
    return await ctx.history()


@dataclass
class _Publishing:
    """Appends and reads until the publish is settled or time is up."""

    ctx: Context
    log: LogService
    history: History
    draft: Draft
    reply_lost: bool = False
    _landed: bool = False
    _absent: bool = True  # the stream was read and does not hold the record

    async def run(self) -> Published:
        clock = self.ctx.env.clock
        deadline = clock.monotonic() + self.ctx.flags.timeout_s
        while clock.monotonic() < deadline:
            if self._absent and not self._landed:
                await self._append()
            until = min(clock.monotonic() + SHOW_S, deadline)
            version = await self._look(until)
            if version is not None:
                publish_id = self.draft.publish_id
                return Published(version, publish_id, self.reply_lost)
        fail(
            ErrorKind.LOG_REPLY_LOST,
            f'it is not known whether publish {self.draft.publish_id} landed',
            'it may still; settle it by the same command with '
            f'--publish-id {self.draft.publish_id}',
        )

    async def _append(self) -> None:
        draft = self.draft
        record = encode_publish(
            draft.publish_id,
            draft.base,
            draft.document,
            draft.by,
        )
        appended = await self.log.append(TERMS_STREAM, [record])
        self._absent = False
        self._landed = appended.is_ok()
        problem = appended.err()
        if problem is None:
            return
        if problem.kind is ErrorKind.LOG_REPLY_LOST:
            self.reply_lost = True
            self.ctx.progress("the log's reply was lost; reading the log")
        elif not self.reply_lost:
            unwrap(Err(problem))

    async def _look(self, until: float) -> int | None:
        was_read = False
        while True:
            if (await self.history.read_on()).is_ok():
                was_read = True
                version = _settled(self.history, self.draft)
                if version is not None:
                    return version
            if self.ctx.env.clock.monotonic() >= until:
                self._absent = was_read
                return None
            await self.ctx.env.sleep(POLL_S)


def _settled(history: History, draft: Draft) -> int | None:
    outcome = history.outcome_of(draft.publish_id)
    match outcome:
        case PublishAccepted(version):
            return version
        case PublishConflict():
            unwrap(Err(_conflict(outcome.version, outcome.publisher)))
        case PublishRejected(problem):
            unwrap(Err(problem))
    return None


def _check_same_text(history: History, draft: Draft, version: int) -> None:
    """Refuse an id that stands for other text: it would not be published."""
    if history.versions[version].document != draft.document:
        fail(
            ErrorKind.CONFLICT,
            f'publish id {draft.publish_id} stands for other text, accepted '
            f'as version {version}',
            'leave --publish-id out to publish this text',
        )


def _check_base(history: History, draft: Draft) -> None:
    if draft.base < history.current:
        number = draft.base + 1
        winner = history.versions.get(number)
        by = winner.by if winner else 'a publish that the log has forgotten'
        unwrap(Err(_conflict(number, by)))
    if draft.base > history.current:
        fail(
            ErrorKind.CONFLICT,
            f'there is no version {draft.base}; in force is {history.current}',
            f'compare by `bramleybend-ctl diff`, then give --base '
            f'{history.current}',
        )


def _conflict(version: int, by: str) -> Problem:
    return Problem(
        ErrorKind.CONFLICT,
        f'{by} published version {version} first; nothing of yours is in force',
        'see what changed by `bramleybend-ctl diff FILE`, merge it, and '
        'publish from the base it names',
    )
