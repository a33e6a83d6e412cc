"""Requests and answers of test callers, checked against run records."""

import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from bramleybend.answers import Outcome
from bramleybend.models import Repeat, Tier
from tests.utils.work import Work

NOT_RUN_OUTCOMES: Final = frozenset({Outcome.NOT_RUN, Outcome.REJECTED})
AT_MOST_ONCE_RULES: Final = frozenset(
    {Repeat.AT_MOST_ONCE, Repeat.NON_IDEMPOTENT}
)


@dataclass(frozen=True)
class Reading:
    """One answer that a caller received."""

    outcome: Outcome
    is_expected: bool  # the complete expected answer; False unless done
    reason: str = ''
    retry_after_s: float = 0
    answered_at: float = 0  # monotonic time of the first token or the body


@dataclass
class Attempt:
    """All sends of a request under one request id."""

    request_id: str
    sends: int = 0
    broken: list[str] = field(default_factory=list)
    reading: Reading | None = None
    runs: int = 0  # number of recorded runs whose run id contains this id

    @property
    def caller_part(self) -> str:
        """Return the part that the caller generated, unique over all callers."""
        return self.request_id.rpartition('/')[2]


@dataclass
class Record:
    """One request from its first send to its final answer."""

    work: Work
    started: float = field(default_factory=time.monotonic)
    attempts: list[Attempt] = field(default_factory=list)
    final: Reading | None = None
    ended: float = 0
    content_request_count: int = 1
    content_outcomes: set[Outcome] = field(default_factory=set)

    @property
    def outcome(self) -> Outcome | None:
        """Return the final outcome, or None without a final answer."""
        return None if self.final is None else self.final.outcome

    @property
    def first_token_s(self) -> float:
        """Return the seconds from the first send to the first token."""
        return (
            0 if self.final is None else self.final.answered_at - self.started
        )

    @property
    def readings(self) -> list[Reading]:
        """Return the answers to all attempts."""
        return [
            attempt.reading
            for attempt in self.attempts
            if attempt.reading is not None
        ]

    def remove_unsent_attempts(self) -> None:
        """Remove the attempts under whose id nothing was sent.

        The deadline may pass while the caller resolves addresses for a
        retry. The answer to the attempt before is then final, as no attempt
        is left that may have run.
        """
        self.attempts = [attempt for attempt in self.attempts if attempt.sends]

    def finish(self, reading: Reading) -> None:
        """Set the final answer."""
        self.final = reading
        self.ended = time.monotonic()

    def describe(self) -> str:
        """Return the profile, content hash, outcome and attempts in one line."""
        return (
            f'{self.work.profile} {self.work.content} '
            f'{self.outcome} attempts={self.attempts}'
        )


@dataclass(frozen=True)
class Verdict:
    """Counts of requests by outcome, and the faults found in them."""

    sent: int
    done: int
    not_run: int
    other: int
    lost: int
    wrong: tuple[str, ...]
    reasons: tuple[str, ...] = ()  # of requests that were not done, with counts

    @property
    def is_clean(self) -> bool:
        """Whether every request is done and no fault was found."""
        return not self.wrong and not self.lost and self.done == self.sent

    def __str__(self) -> str:
        """Return the text of the demo's last line."""
        return (
            f'sent={self.sent} done={self.done} not_run={self.not_run} '
            f'wrong={len(self.wrong)} lost={self.lost}'
        )


class Ledger:
    """The records of all requests that the callers sent."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[Record] = []

    def open(self, work: Work) -> Record:
        """Add and return the record of a new request."""
        record = Record(work)
        self.records.append(record)
        return record

    def of_tier(self, tier: Tier) -> list[Record]:
        """Return the records of one tier."""
        return [each for each in self.records if each.work.tier is tier]

    def outcomes(self) -> Counter[Outcome | None]:
        """Count the final outcomes."""
        return Counter(record.outcome for record in self.records)

    def judge(
        self,
        runs_of: Counter[str],
        run_ids: Sequence[str] = (),
    ) -> Verdict:
        """Check the answers against the run records of the runners.

        `runs_of` counts runs by content hash; `run_ids` lists all run ids.
        """
        self._count_attempt_runs(run_ids)
        self._group_by_content()
        outcomes = self.outcomes()
        lost = outcomes.pop(None, 0)
        done = outcomes.pop(Outcome.DONE, 0)
        not_run = outcomes.pop(Outcome.NOT_RUN, 0)
        wrong = [
            f'{fault}: {record.describe()}'
            for record in self.records
            for fault in _faults(record, runs_of[record.work.content])
        ]
        return Verdict(
            sent=len(self.records),
            done=done,
            not_run=not_run,
            other=outcomes.total(),
            lost=lost,
            wrong=tuple(wrong),
            reasons=self._reasons(),
        )

    def _count_attempt_runs(self, run_ids: Sequence[str]) -> None:
        # A request that was answered `not_run` may run under the new id of
        # its retry, so content hashes can't show which attempt ran; run ids
        # can. The same holds for content that a caller sends as several
        # requests, each id of which may run once.
        for record in self.records:
            for attempt in record.attempts:
                attempt.runs = sum(
                    attempt.caller_part in run_id for run_id in run_ids
                )

    def _group_by_content(self) -> None:
        # A caller that gives up and starts again sends the same content as a
        # new request. The runs of that content may belong to any of them.
        outcomes_by_content: dict[str, set[Outcome]] = {}
        request_counts: Counter[str] = Counter()
        for record in self.records:
            seen_outcomes = outcomes_by_content.setdefault(
                record.work.content, set()
            )
            seen_outcomes.update(reading.outcome for reading in record.readings)
            record.content_outcomes = seen_outcomes
            request_counts[record.work.content] += 1
        for record in self.records:
            record.content_request_count = request_counts[record.work.content]

    def _reasons(self) -> tuple[str, ...]:
        reasons = Counter(
            f'{record.work.profile} {record.outcome}: '
            f'{record.final.reason if record.final else "no answer"}'
            for record in self.records
            if record.outcome is not Outcome.DONE
        )
        return tuple(f'{count} {why}' for why, count in reasons.items())


def _is_not_run_false(attempt: Attempt) -> bool:
    reading = attempt.reading
    if reading is None or reading.outcome not in NOT_RUN_OUTCOMES:
        return False
    return bool(attempt.runs)


def _faults(record: Record, runs: int) -> list[str]:
    seen_outcomes = record.content_outcomes
    done = [
        reading
        for reading in record.readings
        if reading.outcome is Outcome.DONE
    ]
    found = []
    if not all(reading.is_expected for reading in done):
        found.append('outcome is done, but the answer is not the expected one')
    if done and not runs:
        found.append('outcome is done, but no runner ran the request')
    if runs and seen_outcomes and seen_outcomes <= NOT_RUN_OUTCOMES:
        found.append('outcome is not_run, but a runner ran the request')
    if any(_is_not_run_false(attempt) for attempt in record.attempts):
        found.append(
            'outcome is not_run, but a runner received this request id'
        )
    if record.work.repeat in AT_MOST_ONCE_RULES:
        found.extend(_repeated_runs(record, runs))
    return found


def _repeated_runs(record: Record, runs: int) -> list[str]:
    """Find request request_counts that ran twice and content that ran too often."""
    found = [
        f'a request id ran {attempt.runs} times, allowed is at most once'
        for attempt in record.attempts
        if attempt.runs > 1
    ]
    if runs > record.content_request_count:
        found.append(
            f'ran {runs} times for {record.content_request_count} requests',
        )
    return found
