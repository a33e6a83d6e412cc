"""Load patterns and request profiles that the benchmark simulates."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from bramleybend.decisions.runs import DECODE_TOKEN_COST
from bramleybend.models import Repeat, Tier
from tests.utils.queueing_fake import Job, Segment

ARRIVAL_PERIOD_S = 40.0
ENTRY_VMS = 6
WORKSPACE_SHARES = (0.35, 0.3, 0.2, 0.1, 0.05)
SKEWED_SHARES = (0.8, 0.05, 0.05, 0.05, 0.05)
ACTIVE_DOCUMENTS = 6  # in use at one time, per workspace and profile
LONG_COMPLETION_TOKENS = (1200, 2000)  # 20 to 30 s of decoding
NEW_DOCUMENT_PROBABILITY = 0.12  # that a request opens a document
SEEDS = (11, 23, 37, 41, 59)


@dataclass(frozen=True)
class EngineClass:
    """Engines of one speed; `capacity` in work units a second."""

    engine_count: int
    capacity: float
    slots: int
    cache_tokens: int


ENGINE_CLASSES = (
    EngineClass(20, 2000, 4, 60_000),
    EngineClass(18, 4000, 8, 100_000),
    EngineClass(12, 8000, 16, 160_000),
)
FLEET_CAPACITY = sum(
    engine_class.engine_count * engine_class.capacity
    for engine_class in ENGINE_CLASSES
)


@dataclass(frozen=True)
class RequestProfile:
    """Request sizes of one profile; ranges are (min, max)."""

    name: str
    tier: Tier
    repeat: Repeat
    share: float
    # Prompt tokens that all requests on one document share.
    document_tokens: tuple[int, int]
    own_tokens: tuple[int, int]
    completion_tokens: tuple[int, int]
    timeout_s: float

    def mean_completion_tokens(self) -> float:
        return sum(self.completion_tokens) / 2

    def mean_work(self) -> float:
        """Return the mean work units if each document is prefilled once."""
        document_tokens = (
            sum(self.document_tokens) / 2 * NEW_DOCUMENT_PROBABILITY
        )
        own_tokens = sum(self.own_tokens) / 2
        return (
            document_tokens
            + own_tokens
            + self.mean_completion_tokens() * DECODE_TOKEN_COST
        )


PARWAZ = (
    RequestProfile(
        'booking',
        Tier.CRITICAL,
        Repeat.NON_IDEMPOTENT,
        0.4,
        (0, 0),
        (60, 200),
        (10, 30),
        4,
    ),
    RequestProfile(
        'logbook-check',
        Tier.HIGH,
        Repeat.AT_MOST_ONCE,
        0.15,
        (4000, 12_000),
        (100, 400),
        (60, 160),
        15,
    ),
    RequestProfile(
        'debrief',
        Tier.NORMAL,
        Repeat.AT_MOST_ONCE,
        0.35,
        (1000, 3000),
        (400, 1200),
        (150, 400),
        25,
    ),
    RequestProfile(
        'summary',
        Tier.BULK,
        Repeat.IDEMPOTENT,
        0.1,
        (2000, 8000),
        (200, 600),
        (200, 600),
        40,
    ),
)
ZVUKOPAT = (
    RequestProfile(
        'rights-check',
        Tier.CRITICAL,
        Repeat.AT_MOST_ONCE,
        0.25,
        (1500, 6000),
        (200, 800),
        (30, 90),
        10,
    ),
    RequestProfile(
        'royalty-reply',
        Tier.HIGH,
        Repeat.NON_IDEMPOTENT,
        0.2,
        (4000, 14_000),
        (100, 300),
        (80, 200),
        15,
    ),
    RequestProfile(
        'metadata',
        Tier.NORMAL,
        Repeat.AT_MOST_ONCE,
        0.45,
        (1000, 4000),
        (200, 600),
        (100, 300),
        25,
    ),
    RequestProfile(
        'catalogue',
        Tier.BULK,
        Repeat.IDEMPOTENT,
        0.1,
        (3000, 10_000),
        (300, 900),
        (200, 600),
        40,
    ),
)
DEPLOYMENTS = {'parwaz': PARWAZ, 'zvukopat': ZVUKOPAT}


@dataclass(frozen=True)
class Fault:
    """A crash or slowdown of some engines; times are virtual seconds."""

    start_s: float
    end_s: float
    engines: tuple[int, ...]
    slowdown: float = 0  # factor; 0: crash at `start_s`, restart at `end_s`


def _constant_load(load: float) -> Callable[[float], float]:
    return lambda _: load


def _burst_load(now: float) -> float:
    return 3.0 if 10 <= now < 18 else 0.5


@dataclass(frozen=True)
class LoadPattern:
    """A load pattern; load 1 is the fleet capacity with warm caches."""

    name: str
    load: Callable[[float], float]
    workspace_shares: tuple[float, ...] = WORKSPACE_SHARES
    faults: tuple[Fault, ...] = ()
    # Share of requests below the top tier with 30,000 tokens of their own.
    long_prompt_share: float = 0
    # Before this time, only bulk requests with long completions arrive.
    bulk_only_until_s: float = 0


PATTERNS = (
    LoadPattern('steady', _constant_load(0.6)),
    LoadPattern('burst', _burst_load),
    LoadPattern('skew', _constant_load(1.3), workspace_shares=SKEWED_SHARES),
    LoadPattern(
        'slow upstream',
        _constant_load(0.7),
        faults=(Fault(10, 30, (0, 7, 21, 25, 39, 42), slowdown=10),),
    ),
    LoadPattern(
        'long among short', _constant_load(1.3), long_prompt_share=0.04
    ),
    LoadPattern('saturation', _constant_load(2.0)),
    LoadPattern('bulk first', _constant_load(1.0), bulk_only_until_s=10),
    LoadPattern(
        'crash',
        _constant_load(0.7),
        faults=(Fault(12, 24, tuple(range(0, 50, 4))),),
    ),
)


@dataclass
class DocumentPool:
    """Documents that a workspace's requests under one profile share."""

    rng: Random
    label: str
    token_range: tuple[int, int]
    opened_count: int = 0

    def __post_init__(self) -> None:
        self.active: list[Segment] = []

    def choose(self) -> Segment:
        is_new = self.rng.random() < NEW_DOCUMENT_PROBABILITY
        if is_new or len(self.active) < ACTIVE_DOCUMENTS:
            self.opened_count += 1
            tokens = self.rng.randint(*self.token_range)
            name = f'{self.label}/{self.opened_count}'
            self.active.append(Segment(name, tokens))
            self.active = self.active[-ACTIVE_DOCUMENTS:]
        return self.rng.choice(self.active)


def make_jobs(
    profiles: tuple[RequestProfile, ...],
    pattern: LoadPattern,
    seed: int,
    seconds: float = ARRIVAL_PERIOD_S,
) -> list[Job]:
    """Generate the requests of one run, deterministically from the seed."""
    rng = Random(seed)
    mean_request_work = sum(
        profile.share * profile.mean_work() for profile in profiles
    )
    documents: dict[str, DocumentPool] = {}
    jobs: list[Job] = []
    now = float(0)
    max_load = 3.0
    while now < seconds:
        # Thinning of a Poisson process: arrivals are drawn at the maximum
        # rate, and each is kept with probability load / max_load.
        now += rng.expovariate(max_load * FLEET_CAPACITY / mean_request_work)
        is_kept = rng.random() * max_load < pattern.load(now)
        if is_kept and now < seconds:
            profile = rng.choices(
                profiles,
                [each.share for each in profiles],
            )[0]
            if now < pattern.bulk_only_until_s:
                profile = replace(
                    profiles[-1], completion_tokens=LONG_COMPLETION_TOKENS
                )
            job = _make_job(profile, pattern, rng, documents, now, len(jobs))
            jobs.append(job)
    return jobs


def _make_job(
    profile: RequestProfile,
    pattern: LoadPattern,
    rng: Random,
    documents: dict[str, DocumentPool],
    now: float,
    number: int,
) -> Job:
    workspace = f'w{rng.choices(range(5), pattern.workspace_shares)[0]}'
    segments = [Segment(f'{profile.name}/system', 200)]
    if profile.document_tokens[1]:
        label = f'{workspace}/{profile.name}'
        if label not in documents:
            documents[label] = DocumentPool(rng, label, profile.document_tokens)
        segments.append(documents[label].choose())
    own_tokens = rng.randint(*profile.own_tokens)
    if (
        rng.random() < pattern.long_prompt_share
        and profile.tier > Tier.CRITICAL
    ):
        own_tokens = 30_000
    segments.append(Segment(f'own/{number}', own_tokens))
    return Job(
        f'{profile.name}-{number}',
        workspace,
        profile.tier,
        profile.repeat,
        now,
        now + profile.timeout_s,
        tuple(segments),
        rng.randint(*profile.completion_tokens),
        rng.randrange(ENTRY_VMS),
    )


def estimate_cost(job: Job, profiles: tuple[RequestProfile, ...]) -> float:
    """Estimate the work as a gateway does: prompt plus mean completion."""
    name = job.job_id.rsplit('-', 1)[0]
    profile = next(profile for profile in profiles if profile.name == name)
    return job.prompt + profile.mean_completion_tokens() * DECODE_TOKEN_COST


def with_constant_load(pattern: LoadPattern, load: float) -> LoadPattern:
    """Return the pattern with a constant load."""
    return replace(pattern, load=_constant_load(load))
