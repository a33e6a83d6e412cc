"""Admission control: which requests may run, and under which limits.

Load pattern: the manifest changes while a VM cannot receive the changes. If
that VM answered from its old manifest, it would tell a caller that a route or
key doesn't exist, and the caller would give up on a request that all other VMs
serve. So an unknown host, path or key is denied only if the manifest was
confirmed as current within `MAX_CONFIRMED_AGE_S`; otherwise the caller is asked
to retry.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.allotment_models import (
    NO_CHARGE,
    AllotmentDecision,
    Allowance,
    Charge,
    FleetView,
)
from bramleybend.decisions.allotments import AllotmentLedger
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.members import Members
from bramleybend.direct.models import (
    Allotment,
    KeyedWorkspace,
    RequestMetadata,
    Route,
    Target,
)
from bramleybend.direct.queues import Queues
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.models import Tier

# The duration of a long poll of the store plus its timeout. A manifest that was
# confirmed longer ago may be outdated.
MAX_CONFIRMED_AGE_S: Final = 4.0
# A VM that has just started receives the manifest within milliseconds unless
# the store is down. A caller rejected at once would spend its only retry on
# another VM that has no manifest either. So a request waits for the manifest
# for this share of its caller's timeout, and is then told to retry within the
# following shares of the remaining time, which is how long callers are willing
# to wait before they retry.
MANIFEST_WAIT_SHARE: Final = 0.4
RETRY_AFTER_SHARES: Final = (0.15, 0.33)
DEFAULT_PATIENCE_S: Final = 1.0
# By then the store has confirmed the manifest or sent a newer one.
UNCONFIRMED_RETRY_AFTER_S: Final = 0.5


@dataclass(frozen=True)
class Admission:
    """An admitted request's route, service, workspace, tier and charge."""

    route: Route
    service: str
    workspace: str
    tier: Tier
    charge: Charge = NO_CHARGE  # of its first try
    allotment: Allotment | None = None  # of its workspace; none: unlimited


class AdmissionControl:
    """Admits or rejects each request before it is queued."""

    def __init__(
        self,
        catalog: Catalog,
        members: Members,
        allotments: AllotmentLedger,
        queues: Queues,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Create admission control over the current manifest and runners."""
        self._catalog = catalog
        self._members = members
        self._allotments = allotments
        self._queues = queues
        self._clock = clock
        self._rng = rng

    async def wait_until_informed(self, facts: RequestMetadata) -> None:
        """Wait, if this VM has just started, for what admission depends on."""
        await self._catalog.wait_until_complete(manifest_wait_s(facts))
        await self._members.expected.wait_until_known(self._clock.monotonic())

    def admit(
        self, req: RawRequest, facts: RequestMetadata
    ) -> Admission | Reply:
        """Admit a request, or return the answer that rejects it."""
        manifest = self._catalog.manifest
        if manifest is None or not self._catalog.is_complete:
            return own_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'this VM knows no manifest yet; nothing was run',
                retry_after_s(facts, self._rng),
            )
        route = manifest.find_route(req.host, req.path)
        if route is None:
            return self._denial(HTTPStatus.NOT_FOUND, 'no route fits')
        holder = manifest.workspaces_by_key.get(facts.key)
        if holder is None and manifest.requires_key and not route.public:
            return self._denial(HTTPStatus.UNAUTHORIZED, 'the key is unknown')
        return self._check_allotment(route, holder, facts)

    def charge_further_try(
        self, admission: Admission, facts: RequestMetadata
    ) -> AllotmentDecision:
        """Charge another try of an admitted request, or tell when to retry."""
        manifest = self._catalog.manifest
        holder = manifest.workspaces_by_key.get(facts.key) if manifest else None
        allotment = holder.allotment if holder else admission.allotment
        if allotment is None:
            return AllotmentDecision(NO_CHARGE)
        return self._allotments.admit_further_try(
            admission.workspace,
            Allowance(allotment.rate_per_s, allotment.burst),
            facts.allotment_units(allotment),
            self._clock.monotonic(),
            self._fleet_view(),
        )

    def refund(self, workspace: str, charge: Charge) -> None:
        """Refund the charge of a try that did not run."""
        if charge.units:
            self._allotments.refund(workspace, charge)

    def _check_allotment(
        self,
        route: Route,
        holder: KeyedWorkspace | None,
        facts: RequestMetadata,
    ) -> Admission | Reply:
        service = choose_service(route.targets, self._rng)
        if holder is None or holder.allotment is None:
            workspace = holder.name if holder else ''
            return Admission(route, service, workspace, route.tier)
        units = facts.allotment_units(holder.allotment)
        verdict = self._verdict(holder.name, holder.allotment, units, service)
        if verdict.charge is not None:
            return Admission(
                route,
                service,
                holder.name,
                route.tier,
                verdict.charge,
                holder.allotment,
            )
        view = self._fleet_view()
        return own_reply(
            HTTPStatus.TOO_MANY_REQUESTS,
            'the workspace is over its allotment; nothing was run',
            verdict.retry_after_s,
            inputs={
                'workspace': holder.name,
                'units': f'{units:.0f}',
                'owed': f'{verdict.debt:.0f}',
                'rate_per_s': f'{holder.allotment.rate_per_s:.0f}',
                'burst': f'{holder.allotment.burst:.0f}',
                'accounts_s': f'{self._account_age_s():.2f}',
                'vms_heard': f'{view.share:.2f}',
                'news_age_s': f'{view.news_age_s:.2f}',
                'retry_after_s': f'{verdict.retry_after_s:.2f}',
            },
        )

    def _verdict(
        self, workspace: str, allotment: Allotment, units: float, service: str
    ) -> AllotmentDecision:
        return self._allotments.admit(
            workspace,
            Allowance(allotment.rate_per_s, allotment.burst),
            units,
            self._clock.monotonic(),
            self._fleet_view(),
            are_runners_idle=self._queues.queue_for(service).is_idle(),
        )

    def _account_age_s(self) -> float:
        return self._allotments.age_s(self._clock.monotonic())

    def _fleet_view(self) -> FleetView:
        return self._members.fleet_view(self._clock.monotonic())

    def _denial(self, status: HTTPStatus, reason: str) -> Reply:
        inputs = self._manifest_inputs()
        if self._catalog.manifest_age_s() <= MAX_CONFIRMED_AGE_S:
            return own_reply(status, reason, inputs=inputs)
        return own_reply(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'{reason}, by a manifest that may be outdated; nothing was run',
            UNCONFIRMED_RETRY_AFTER_S,
            inputs=inputs,
        )

    def _manifest_inputs(self) -> dict[str, str]:
        return {
            'manifest': str(self._catalog.manifest_version()),
            'manifest_age_s': f'{self._catalog.manifest_age_s():.2f}',
        }


def manifest_wait_s(facts: RequestMetadata) -> float:
    """Return the seconds for which a request waits for the manifest."""
    return MANIFEST_WAIT_SHARE * _patience_s(facts)


def retry_after_s(facts: RequestMetadata, rng: Random) -> float:
    """Return the seconds after which a caller without a manifest retries.

    They are random, so that the callers of an outage don't all return at the
    same moment.
    """
    remaining_s = (1 - MANIFEST_WAIT_SHARE) * _patience_s(facts)
    return remaining_s * rng.uniform(*RETRY_AFTER_SHARES)


def _patience_s(facts: RequestMetadata) -> float:
    return facts.timeout_s or DEFAULT_PATIENCE_S


def choose_service(targets: Sequence[Target], rng: Random) -> str:
    """Choose a target's service at random by the weights of the split."""
    if len(targets) == 1:
        return targets[0].service
    weights = [max(target.weight, 0) for target in targets]
    if not sum(weights):
        return targets[0].service
    return rng.choices([target.service for target in targets], weights)[0]
