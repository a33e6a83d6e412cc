"""The load patterns and the two deployments that the benchmark plays."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from bramleybend.decisions.runs import DECODE_TOKEN_COST
from bramleybend.models import Repeat, Tier
from tests.utils.queueing_fake import Job, Segment

SECONDS = 40.0
ENTRY_VMS = 6
SHARES = (0.35, 0.3, 0.2, 0.1, 0.05)
SKEWED = (0.8, 0.05, 0.05, 0.05, 0.05)
ACTIVE_DOCUMENTS = 6  # of a workspace and kind, in use at one time
LONG_ANSWER = (1200, 2000)  # tokens, 20 to 30 s
NEW_DOCUMENT = 0.12  # chance that a request opens another one
SEEDS = (11, 23, 37, 41, 59)


@dataclass(frozen=True)
class Speed:
    """One of the three speeds."""

    count: int
    capacity: float
    slots: int
    cache: int


FLEET = (
    Speed(20, 2000, 4, 60_000),
    Speed(18, 4000, 8, 100_000),
    Speed(12, 8000, 16, 160_000),
)
CAPACITY = sum(speed.count * speed.capacity for speed in FLEET)


@dataclass(frozen=True)
class Kind:
    """A profile's requests."""

    name: str
    tier: Tier
    repeat: Repeat
    share: float
    document: tuple[int, int]  # tokens, shared by requests on one document
    own: tuple[int, int]
    completion: tuple[int, int]
    timeout: float

    def mean_completion(self) -> float:
        return sum(self.completion) / 2

    def mean_work(self) -> float:
        """Return the least work: each document filled once."""
        document = sum(self.document) / 2 * NEW_DOCUMENT
        own = sum(self.own) / 2
        return document + own + self.mean_completion() * DECODE_TOKEN_COST


PARWAZ = (
    Kind(
        'booking',
        Tier.CRITICAL,
        Repeat.NON_IDEMPOTENT,
        0.4,
        (0, 0),
        (60, 200),
        (10, 30),
        4,
    ),
    Kind(
        'logbook-check',
        Tier.HIGH,
        Repeat.AT_MOST_ONCE,
        0.15,
        (4000, 12_000),
        (100, 400),
        (60, 160),
        15,
    ),
    Kind(
        'debrief',
        Tier.NORMAL,
        Repeat.AT_MOST_ONCE,
        0.35,
        (1000, 3000),
        (400, 1200),
        (150, 400),
        25,
    ),
    Kind(
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
    Kind(
        'rights-check',
        Tier.CRITICAL,
        Repeat.AT_MOST_ONCE,
        0.25,
        (1500, 6000),
        (200, 800),
        (30, 90),
        10,
    ),
    Kind(
        'royalty-reply',
        Tier.HIGH,
        Repeat.NON_IDEMPOTENT,
        0.2,
        (4000, 14_000),
        (100, 300),
        (80, 200),
        15,
    ),
    Kind(
        'metadata',
        Tier.NORMAL,
        Repeat.AT_MOST_ONCE,
        0.45,
        (1000, 4000),
        (200, 600),
        (100, 300),
        25,
    ),
    Kind(
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
    """What happens to some engines."""

    at: float
    until: float
    engines: tuple[int, ...]
    slowdown: float = 0  # 0: the engine dies at `at` and is back at `until`


def _flat(load: float) -> Callable[[float], float]:
    return lambda _: load


def _burst(now: float) -> float:
    return 3.0 if 10 <= now < 18 else 0.5


@dataclass(frozen=True)
class Pattern:
    """One load pattern; loads are parts of the capacity with warm caches."""

    name: str
    load: Callable[[float], float]
    shares: tuple[float, ...] = SHARES
    faults: tuple[Fault, ...] = ()
    long_share: float = 0  # of requests: a prompt of 30,000 tokens
    prelude: float = 0  # until then only the lowest tier, with long answers


PATTERNS = (
    Pattern('steady', _flat(0.6)),
    Pattern('burst', _burst),
    Pattern('skew', _flat(1.3), shares=SKEWED),
    Pattern(
        'slow upstream',
        _flat(0.7),
        faults=(Fault(10, 30, (0, 7, 21, 25, 39, 42), slowdown=10),),
    ),
    Pattern('long among short', _flat(1.3), long_share=0.04),
    Pattern('saturation', _flat(2.0)),
    Pattern('bulk first', _flat(1.0), prelude=10),
    Pattern(
        'crash',
        _flat(0.7),
        faults=(Fault(12, 24, tuple(range(0, 50, 4))),),
    ),
)


@dataclass
class Documents:
    """The documents that one workspace works on under one profile."""

    rng: Random
    label: str
    size: tuple[int, int]
    opened: int = 0

    def __post_init__(self) -> None:
        self.active: list[Segment] = []

    def pick(self) -> Segment:
        new = self.rng.random() < NEW_DOCUMENT
        if new or len(self.active) < ACTIVE_DOCUMENTS:
            self.opened += 1
            tokens = self.rng.randint(*self.size)
            name = f'{self.label}/{self.opened}'
            self.active.append(Segment(name, tokens))
            self.active = self.active[-ACTIVE_DOCUMENTS:]
        return self.rng.choice(self.active)


def make_jobs(
    kinds: tuple[Kind, ...],
    pattern: Pattern,
    seed: int,
    seconds: float = SECONDS,
) -> list[Job]:
    """Draw the requests of one run; the same seed gives the same."""
    rng = Random(seed)
    mean = sum(kind.share * kind.mean_work() for kind in kinds)
    documents: dict[str, Documents] = {}
    jobs: list[Job] = []
    now = float(0)
    highest = 3.0
    while now < seconds:
        # Thinning: draw at the highest rate, keep the part that is due.
        now += rng.expovariate(highest * CAPACITY / mean)
        kept = rng.random() * highest < pattern.load(now)
        if kept and now < seconds:
            kind = rng.choices(kinds, [each.share for each in kinds])[0]
            if now < pattern.prelude:
                kind = replace(kinds[-1], completion=LONG_ANSWER)
            job = _make_job(kind, pattern, rng, documents, now, len(jobs))
            jobs.append(job)
    return jobs


def _make_job(
    kind: Kind,
    pattern: Pattern,
    rng: Random,
    documents: dict[str, Documents],
    now: float,
    number: int,
) -> Job:
    workspace = f'w{rng.choices(range(5), pattern.shares)[0]}'
    segments = [Segment(f'{kind.name}/system', 200)]
    if kind.document[1]:
        label = f'{workspace}/{kind.name}'
        if label not in documents:
            documents[label] = Documents(rng, label, kind.document)
        segments.append(documents[label].pick())
    own = rng.randint(*kind.own)
    if rng.random() < pattern.long_share and kind.tier > Tier.CRITICAL:
        own = 30_000
    segments.append(Segment(f'own/{number}', own))
    return Job(
        f'{kind.name}-{number}',
        workspace,
        kind.tier,
        kind.repeat,
        now,
        now + kind.timeout,
        tuple(segments),
        rng.randint(*kind.completion),
        rng.randrange(ENTRY_VMS),
    )


def expected_cost(job: Job, kinds: tuple[Kind, ...]) -> float:
    """Guess the work as a gateway would: the prompt and the usual answer."""
    name = job.job_id.rsplit('-', 1)[0]
    kind = next(kind for kind in kinds if kind.name == name)
    return job.prompt + kind.mean_completion() * DECODE_TOKEN_COST


def scaled(pattern: Pattern, load: float) -> Pattern:
    """Return the pattern at a constant load."""
    return replace(pattern, load=_flat(load))
