"""What a run is judged by: counts and virtual time only."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bramleybend.models import Tier
from tests.utils.queueing_fake import EngineRun, Job


@dataclass
class Scores:
    """The counts of one run."""

    offered: Counter[Tier] = field(default_factory=Counter)
    in_time: Counter[Tier] = field(default_factory=Counter)
    demand: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    repeated: float = 0  # prefill of what another engine held
    lost: float = 0  # prefill of runs that came to nothing
    prefilled: float = 0
    inversions: Counter[Tier] = field(
        default_factory=Counter
    )  # shed while lower cancellable work was running
    refused: int = 0
    refused_after: float = 0  # seconds between request and refusal, summed
    refused_late: int = 0  # with less than half of the time left

    def offer(self, job: Job) -> None:
        self.offered[job.tier] += 1
        self.demand[job.workspace] += round(job.work)

    def answer(self, job: Job) -> None:
        self.in_time[job.tier] += 1
        self.served[job.workspace] += round(job.work)

    def refuse(self, job: Job, now: float) -> None:
        self.refused += 1
        self.refused_after += now - job.at
        if now - job.at > (job.deadline - job.at) / 2:
            self.refused_late += 1

    def run_over(self, run: EngineRun, useful: bool) -> None:
        """Count a run's prefill, and what of it was in vain."""
        if run.started:
            self.prefilled += run.prefilled
            if useful:
                self.repeated += min(run.elsewhere, run.prefilled)
            else:
                self.lost += run.prefilled

    @property
    def wasted(self) -> float:
        return self.repeated + self.lost

    def goodput(self, tier: Tier) -> float:
        return self.in_time[tier] / max(self.offered[tier], 1)

    def total(self) -> float:
        return self.in_time.total() / max(self.offered.total(), 1)

    def fairness(self) -> float:
        """Return Jain's index of work served against the max-min share."""
        shares = max_min_shares(self.demand, self.served.total())
        parts = [
            min(self.served[name] / share, 1)
            for name, share in shares.items()
            if share
        ]
        return jain(parts)


def jain(parts: Iterable[float]) -> float:
    """Return 1 for equal parts, 1/n if one has all."""
    values = list(parts)
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1


def max_min_shares(
    demand: Mapping[str, int],
    total: float,
) -> dict[str, float]:
    """Share a total out: equally, but to none more than its demand."""
    shares: dict[str, float] = {}
    left = total
    by_demand = sorted(demand, key=lambda name: demand[name])
    for index, name in enumerate(by_demand):
        shares[name] = min(demand[name], left / (len(by_demand) - index))
        left -= shares[name]
    return shares
