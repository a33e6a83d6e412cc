"""Publishes a document and determines the outcome of the publish.

The log's reply can be lost after the append took effect. The publish id
resolves that: the stream is read, and the same record is appended again only
if it is absent. Duplicate records are harmless, because all have the same
base and only the first record after it counts. A publish under a new id would
not be harmless.
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

# Time that the log may take to show a record whose reply was lost.
LOG_VISIBILITY_S: Final = 2.0


@dataclass(frozen=True)
class Draft:
    """A document to publish, with its base and publish id."""

    document: str
    base: int
    publish_id: str
    by: str


@dataclass
class Published:
    """An accepted publish."""

    version: int
    publish_id: str
    reply_lost: bool = False  # the outcome was read from the stream
    repeated: bool = False  # an earlier publish with this id was accepted


async def publish_draft(ctx: Context, draft: Draft) -> Published:
    """Publish the draft, or raise `ProblemError` with the remedy."""
    unwrap(parse_terms(draft.document, draft.base + 1))
    history = await _read_history(ctx, draft)
    accepted_version = _accepted_version(history, draft)
    if accepted_version is not None:
        _check_same_text(history, draft, accepted_version)
        return Published(accepted_version, draft.publish_id, repeated=True)
    _check_base(history, draft)
    ctx.report_progress(f'publishing as {draft.publish_id}')
    return await _Publishing(ctx, ctx.open_log(), history, draft).run()


async def _read_history(ctx: Context, draft: Draft) -> History:
    """Read as much of the stream as the draft requires.

    A record with the same id, or a concurrent publish that won, may precede
    the last renewal. A new publish on the version in force needs neither.
    """
    if not ctx.flags.publish_id:
        recent = await ctx.read_recent_history()
        if recent.current == draft.base:
            return recent
    return await ctx.read_history()


@dataclass
class _Publishing:
    """Appends and reads until the outcome is known or time is up."""

    ctx: Context
    log: LogService
    history: History
    draft: Draft
    reply_lost: bool = False
    _is_appended: bool = False
    _is_absent: bool = True  # the stream was read and doesn't hold the record

    async def run(self) -> Published:
        clock = self.ctx.env.clock
        deadline = clock.monotonic() + self.ctx.flags.timeout_s
        while clock.monotonic() < deadline:
            if self._is_absent and not self._is_appended:
                await self._append()
            until = min(clock.monotonic() + LOG_VISIBILITY_S, deadline)
            version = await self._await_outcome(until)
            if version is not None:
                publish_id = self.draft.publish_id
                return Published(version, publish_id, self.reply_lost)
        fail(
            ErrorKind.LOG_REPLY_LOST,
            f'the outcome of publish {self.draft.publish_id} is unknown',
            'it may still take effect; repeat the command with '
            f'--publish-id {self.draft.publish_id} to find out',
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
        self._is_absent = False
        self._is_appended = appended.is_ok()
        problem = appended.err()
        if problem is None:
            return
        if problem.kind is ErrorKind.LOG_REPLY_LOST:
            self.reply_lost = True
            self.ctx.report_progress(
                "the log's reply was lost; reading the log"
            )
        elif not self.reply_lost:
            unwrap(Err(problem))

    async def _await_outcome(self, until: float) -> int | None:
        was_read = False
        while True:
            if (await self.history.read_and_check()).is_ok():
                was_read = True
                version = _accepted_version(self.history, self.draft)
                if version is not None:
                    return version
            if self.ctx.env.clock.monotonic() >= until:
                self._is_absent = was_read
                return None
            await self.ctx.env.sleep(POLL_S)


def _accepted_version(history: History, draft: Draft) -> int | None:
    outcome = history.outcome_of(draft.publish_id)
    match outcome:
        case PublishAccepted(version):
            return version
        case PublishConflict():
            unwrap(Err(_make_conflict(outcome.version, outcome.publisher)))
        case PublishRejected(problem):
            unwrap(Err(problem))
    return None


def _check_same_text(history: History, draft: Draft, version: int) -> None:
    """Reject an id that is in use for another text, which stays in force."""
    if history.versions[version].document != draft.document:
        fail(
            ErrorKind.CONFLICT,
            f'publish id {draft.publish_id} was used for another text, '
            f'accepted as version {version}',
            'leave --publish-id out to publish this text',
        )


def _check_base(history: History, draft: Draft) -> None:
    if draft.base < history.current:
        number = draft.base + 1
        winner = history.versions.get(number)
        by = winner.by if winner else 'a publish that the log has forgotten'
        unwrap(Err(_make_conflict(number, by)))
    if draft.base > history.current:
        fail(
            ErrorKind.CONFLICT,
            f'there is no version {draft.base}; in force is {history.current}',
            f'compare by `bramleybend-ctl diff`, then give --base '
            f'{history.current}',
        )


def _make_conflict(version: int, by: str) -> Problem:
    return Problem(
        ErrorKind.CONFLICT,
        f'{by} published version {version} first; nothing of yours is in force',
        'see what changed by `bramleybend-ctl diff FILE`, merge it, and '
        'publish from the base it names',
    )
