"""Scores of a simulated run, from counts and virtual time only."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bramleybend.models import Tier
from tests.utils.queueing_fake import EngineRun, Job


@dataclass
class Scores:
    """Scores of one run; work in units, prefill in tokens."""

    offered: Counter[Tier] = field(default_factory=Counter)
    answered_in_time: Counter[Tier] = field(default_factory=Counter)
    demanded_work: Counter[str] = field(default_factory=Counter)
    served_work: Counter[str] = field(default_factory=Counter)
    repeated_prefill: float = 0  # of segments that another engine had cached
    lost_prefill: float = 0  # of runs without an answer in time
    total_prefill: float = 0
    # Requests refused while cancellable work of a lower tier ran.
    inversions: Counter[Tier] = field(default_factory=Counter)
    refused: int = 0
    refusal_delay_s: float = 0  # from arrival to refusal, summed over requests
    refused_late: int = 0  # with under half of the time to the deadline left

    def record_offered(self, job: Job) -> None:
        self.offered[job.tier] += 1
        self.demanded_work[job.workspace] += round(job.work)

    def record_answered(self, job: Job) -> None:
        self.answered_in_time[job.tier] += 1
        self.served_work[job.workspace] += round(job.work)

    def record_refused(self, job: Job, now: float) -> None:
        self.refused += 1
        self.refusal_delay_s += now - job.at
        if now - job.at > (job.deadline - job.at) / 2:
            self.refused_late += 1

    def record_run_end(self, run: EngineRun, is_useful: bool) -> None:
        """Count a run's prefill, and the part of it that was wasted."""
        if run.started:
            self.total_prefill += run.prefilled
            if is_useful:
                self.repeated_prefill += min(run.elsewhere, run.prefilled)
            else:
                self.lost_prefill += run.prefilled

    @property
    def wasted_prefill(self) -> float:
        return self.repeated_prefill + self.lost_prefill

    def goodput(self, tier: Tier) -> float:
        return self.answered_in_time[tier] / max(self.offered[tier], 1)

    def total_goodput(self) -> float:
        return self.answered_in_time.total() / max(self.offered.total(), 1)

    def fairness(self) -> float:
        """Return Jain's index of work served against the max-min share."""
        shares = max_min_shares(self.demanded_work, self.served_work.total())
        parts = [
            min(self.served_work[name] / share, 1)
            for name, share in shares.items()
            if share
        ]
        return jain_index(parts)


def jain_index(parts: Iterable[float]) -> float:
    """Return Jain's index: 1 for equal parts, 1/n if one part is all."""
    values = list(parts)
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1


def max_min_shares(
    demand: Mapping[str, int],
    total: float,
) -> dict[str, float]:
    """Divide a total equally, with each share capped at its demand."""
    shares: dict[str, float] = {}
    remaining = total
    names_by_demand = sorted(demand, key=lambda name: demand[name])
    for index, name in enumerate(names_by_demand):
        shares[name] = min(
            demand[name], remaining / (len(names_by_demand) - index)
        )
        remaining -= shares[name]
    return shares
