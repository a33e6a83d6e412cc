"""Which requests are let in, and under which terms.

Load pattern: changes of the manifest, and a VM that is cut off from them.
Without care: a VM with an old manifest tells a caller that its route or key
doesn't exist, and the caller gives up on what all other VMs would serve. So
an unknown host, path or key is denied only by a manifest that was confirmed
a moment ago; else the caller is told to come back.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.allotments import (
    AllotmentBook,
    Allowance,
    Verdict,
)
from bramleybend.direct.book import Book
from bramleybend.direct.members import Members
from bramleybend.direct.models import (
    Allotment,
    KeyHolder,
    RequestFacts,
    Route,
    Target,
)
from bramleybend.direct.queues import Queues
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.models import Tier

# A long poll of the store and its timeout: an older manifest may be outdated.
MAX_CONFIRMED_AGE_S: Final = 4.0
# A VM that has just started has the manifest within milliseconds, unless the
# store is away; a caller that is sent off at once uses up its one retry on a
# VM that knows no more. It is kept for this part of its patience, and told to
# come back within the part of the rest that callers are ready to wait.
MANIFEST_WAIT_SHARE: Final = 0.4
RETRY_AFTER_SHARES: Final = (0.15, 0.33)
DEFAULT_PATIENCE_S: Final = 1.0
# An unsure denial is settled by the next answer of the store.
UNCONFIRMED_RETRY_AFTER_S: Final = 0.5


@dataclass(frozen=True)
class Admission:
    """A request that is let in, with the terms it runs under."""

    route: Route
    service: str
    workspace: str
    tier: Tier
    units: float  # counted against the workspace's allotment; 0: none
    is_beyond: bool = False  # let in beyond it, as runners stood idle


class AdmissionControl:
    """Decides on each request before anything is done for it."""

    def __init__(
        self,
        book: Book,
        members: Members,
        allotments: AllotmentBook,
        queues: Queues,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Decide by what the book holds."""
        self._book = book
        self._members = members
        self._allotments = allotments
        self._queues = queues
        self._clock = clock
        self._rng = rng

    def admit(self, req: RawRequest, facts: RequestFacts) -> Admission | Reply:
        """Let a request in, or answer it."""
        manifest = self._book.manifest
        if manifest is None or not self._book.is_complete:
            return own_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'this VM knows no manifest yet; nothing was run',
                retry_after_s(facts, self._rng),
            )
        route = manifest.route_of(req.host, req.path)
        if route is None:
            return self._denied(HTTPStatus.NOT_FOUND, 'no route fits')
        holder = manifest.key_holders.get(facts.key)
        if holder is None and manifest.keyed and not route.public:
            return self._denied(HTTPStatus.UNAUTHORIZED, 'the key is unknown')
        return self._within_allotment(route, holder, facts)

    def refund(self, admitted: Admission) -> None:
        """Undo the count of a request that did not run."""
        if admitted.units:
            self._allotments.give_back(
                admitted.workspace,
                admitted.units,
                is_beyond=admitted.is_beyond,
            )

    def _within_allotment(
        self, route: Route, holder: KeyHolder | None, facts: RequestFacts
    ) -> Admission | Reply:
        service = choose_target(route.targets, self._rng)
        if holder is None or holder.allotment is None:
            name = holder.name if holder else ''
            return Admission(route, service, name, route.tier, 0)
        units = facts.units(holder.allotment)
        verdict = self._verdict(holder.name, holder.allotment, units, service)
        if verdict.is_let_in:
            return Admission(
                route,
                service,
                holder.name,
                route.tier,
                units,
                verdict.is_beyond,
            )
        return own_reply(
            HTTPStatus.TOO_MANY_REQUESTS,
            'the workspace is over its allotment; nothing was run',
            verdict.retry_after_s,
            inputs={
                'workspace': holder.name,
                'units': f'{units:.0f}',
                'owed': f'{verdict.owed:.0f}',
                'rate_per_s': f'{holder.allotment.rate_per_s:.0f}',
                'burst': f'{holder.allotment.burst:.0f}',
                'accounts_s': f'{self._accounts_s():.2f}',
                'vms_heard': f'{self._share():.2f}',
                'retry_after_s': f'{verdict.retry_after_s:.2f}',
            },
        )

    def _verdict(
        self, workspace: str, terms: Allotment, units: float, service: str
    ) -> Verdict:
        return self._allotments.admit(
            workspace,
            Allowance(terms.rate_per_s, terms.burst),
            units,
            self._clock.monotonic(),
            self._share(),
            are_runners_idle=self._queues.of(service).is_idle(),
        )

    def _accounts_s(self) -> float:
        return self._allotments.age_s(self._clock.monotonic())

    def _share(self) -> float:
        return self._members.share(self._clock.monotonic())

    def _denied(self, status: HTTPStatus, reason: str) -> Reply:
        inputs = self._manifest_inputs()
        if self._book.manifest_age_s() <= MAX_CONFIRMED_AGE_S:
            return own_reply(status, reason, inputs=inputs)
        return own_reply(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'{reason}, by a manifest that may be outdated; nothing was run',
            UNCONFIRMED_RETRY_AFTER_S,
            inputs=inputs,
        )

    def _manifest_inputs(self) -> dict[str, str]:
        return {
            'manifest': str(self._book.manifest_version()),
            'manifest_age_s': f'{self._book.manifest_age_s():.2f}',
        }


def manifest_wait_s(facts: RequestFacts) -> float:
    """Return how long a request waits for a manifest."""
    return MANIFEST_WAIT_SHARE * _patience_s(facts)


def retry_after_s(facts: RequestFacts, rng: Random) -> float:
    """Return when a request that waited in vain should come back.

    Spread, or all callers of an outage would be back in the same moment.
    """
    left_s = (1 - MANIFEST_WAIT_SHARE) * _patience_s(facts)
    return left_s * rng.uniform(*RETRY_AFTER_SHARES)


def _patience_s(facts: RequestFacts) -> float:
    return facts.patience_s or DEFAULT_PATIENCE_S


def choose_target(targets: Sequence[Target], rng: Random) -> str:
    """Pick a service by the weights of the split."""
    if len(targets) == 1:
        return targets[0].service
    weights = [max(target.weight, 0) for target in targets]
    if not sum(weights):
        return targets[0].service
    return rng.choices([target.service for target in targets], weights)[0]
