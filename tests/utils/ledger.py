"""What callers got, judged against what the runners recorded."""

import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from bramleybend.answers import Outcome
from bramleybend.models import Repeat, Tier
from tests.utils.work import Work

NOTHING_RAN: Final = frozenset({Outcome.NOT_RUN, Outcome.REJECTED})
ONCE: Final = frozenset({Repeat.AT_MOST_ONCE, Repeat.NON_IDEMPOTENT})


@dataclass(frozen=True)
class Reading:
    """One answer as a caller read it."""

    outcome: Outcome
    is_own: bool  # whole and this request's own; False unless done
    reason: str = ''
    retry_after_s: float = 0
    answered_at: float = 0  # monotonic time of the first token or the body


@dataclass
class Attempt:
    """One id that a request was sent under."""

    request_id: str
    sends: int = 0
    broken: list[str] = field(default_factory=list)
    reading: Reading | None = None
    runs: int = 0  # how often runners were given a run id made of this id

    @property
    def own_part(self) -> str:
        """Return what the caller minted; unique over all callers."""
        return self.request_id.rpartition('/')[2]


@dataclass
class Record:
    """One request from its first send to its final answer."""

    work: Work
    started: float = field(default_factory=time.monotonic)
    attempts: list[Attempt] = field(default_factory=list)
    final: Reading | None = None
    ended: float = 0
    requests_of_content: int = 1
    told_of_content: set[Outcome] = field(default_factory=set)

    @property
    def outcome(self) -> Outcome | None:
        """Return the final outcome, if one came."""
        return None if self.final is None else self.final.outcome

    @property
    def first_token_s(self) -> float:
        """Return the wait for the first token, over all sends."""
        return (
            0 if self.final is None else self.final.answered_at - self.started
        )

    @property
    def readings(self) -> list[Reading]:
        """Return every answer that came, under any id."""
        return [
            attempt.reading
            for attempt in self.attempts
            if attempt.reading is not None
        ]

    def drop_unsent(self) -> None:
        """Drop ids under which nothing was sent.

        The deadline may pass while the caller asks for addresses to come back
        to. What it was told before is then its final answer: nothing that may
        have run is open.
        """
        self.attempts = [one for one in self.attempts if one.sends]

    def finish(self, reading: Reading) -> None:
        """Take the last answer for good."""
        self.final = reading
        self.ended = time.monotonic()

    def describe(self) -> str:
        """Tell the whole story in one line."""
        return (
            f'{self.work.profile} {self.work.content} '
            f'{self.outcome} attempts={self.attempts}'
        )


@dataclass(frozen=True)
class Verdict:
    """The sums of a load, and what was wrong by request."""

    sent: int
    done: int
    not_run: int
    other: int
    lost: int
    wrong: tuple[str, ...]
    reasons: tuple[str, ...] = ()  # of what was not done, with counts

    @property
    def is_clean(self) -> bool:
        """Whether every request got one whole answer of its own."""
        return not self.wrong and not self.lost and self.done == self.sent

    def __str__(self) -> str:
        """Read as the demo's last line does."""
        return (
            f'sent={self.sent} done={self.done} not_run={self.not_run} '
            f'wrong={len(self.wrong)} lost={self.lost}'
        )


class Ledger:
    """Every request that the callers sent."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[Record] = []

    def open(self, work: Work) -> Record:
        """Start the record of one request."""
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
        """Hold the answers against the runners' own records."""
        self._check_not_run(run_ids)
        self._pool_contents()
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

    def _check_not_run(self, run_ids: Sequence[str]) -> None:
        # A request told `not_run` and sent again under a new id may run under
        # that one; only run ids tell which of its sends ran.
        # The same holds of content that its caller sends as several requests:
        # each of its ids may run once.
        for record in self.records:
            for attempt in record.attempts:
                attempt.runs = sum(
                    attempt.own_part in run_id for run_id in run_ids
                )

    def _pool_contents(self) -> None:
        # One content may be sent as several requests (a caller that gives up
        # and starts anew), and its runs may be those of any of them.
        pooled: dict[str, set[Outcome]] = {}
        ids: Counter[str] = Counter()
        for record in self.records:
            told = pooled.setdefault(record.work.content, set())
            told.update(reading.outcome for reading in record.readings)
            record.told_of_content = told
            ids[record.work.content] += 1
        for record in self.records:
            record.requests_of_content = ids[record.work.content]

    def _reasons(self) -> tuple[str, ...]:
        reasons = Counter(
            f'{record.work.profile} {record.outcome}: '
            f'{record.final.reason if record.final else "no answer"}'
            for record in self.records
            if record.outcome is not Outcome.DONE
        )
        return tuple(f'{count} {why}' for why, count in reasons.items())


def _is_false_not_run(attempt: Attempt) -> bool:
    reading = attempt.reading
    if reading is None or reading.outcome not in NOTHING_RAN:
        return False
    return bool(attempt.runs)


def _faults(record: Record, runs: int) -> list[str]:
    told = record.told_of_content
    done = [
        reading
        for reading in record.readings
        if reading.outcome is Outcome.DONE
    ]
    found = []
    if not all(reading.is_own for reading in done):
        found.append('an answer passed as done is torn or not its own')
    if done and not runs:
        found.append('done, but no runner ran it')
    if runs and told and told <= NOTHING_RAN:
        found.append('told not run, but a runner ran it')
    if any(_is_false_not_run(attempt) for attempt in record.attempts):
        found.append('told not run of an id that a runner was given')
    if record.work.repeat in ONCE:
        found.extend(_repeats(record, runs))
    return found


def _repeats(record: Record, runs: int) -> list[str]:
    """Find a second run, of one id or of all that a content was sent as."""
    found = [
        f'an id ran {attempt.runs} times, at most once allowed'
        for attempt in record.attempts
        if attempt.runs > 1
    ]
    if runs > record.requests_of_content:
        found.append(
            f'ran {runs} times for {record.requests_of_content} requests',
        )
    return found
