"""Decodes the manifest that operators publish into this system's types."""

from collections import defaultdict
from collections.abc import Mapping
from math import inf
from types import MappingProxyType
from typing import Final

import msgspec
from result import Err, Ok, Result

from bramleybend.direct.models import (
    Allotment,
    DeclaredService,
    IngressLimits,
    KeyedWorkspace,
    Manifest,
    Route,
    Target,
)
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import Idempotency, Tier
from bramleybend.platform.manifest_wire import (
    WireLimits,
    WireManifest,
    WireRoute,
    WireService,
    WireTenant,
)

MILLISECONDS: Final = 1000
UNLIMITED_CONNECTIONS: Final = 1_000_000
TOKEN_UNIT: Final = 'tokens'
# The platform's callers abandon a stream that sends no event, be it the first
# or a later one, for the longest of three times: this minimum, the route's
# target latency times the first factor, its gap target times the second.
MIN_EVENT_TIMEOUT_S: Final = 2.0
TARGET_LATENCY_FACTOR: Final = 4
GAP_TARGET_FACTOR: Final = 8

_decoder: Final = msgspec.json.Decoder(WireManifest)

_REPEAT_BY_KIND: Final = MappingProxyType(
    {
        'idempotent': Idempotency.IDEMPOTENT,
        'non_idempotent': Idempotency.NON_IDEMPOTENT,
        'streaming': Idempotency.AT_MOST_ONCE,
    }
)


def decode_manifest(document: bytes) -> Result[Manifest, Problem]:
    """Return the manifest, or a problem if any part of it is invalid."""
    try:
        wire = _decoder.decode(document)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Err(_manifest_problem(str(exc)))
    unknown_kinds = {route.kind for route in wire.routes}.difference(
        _REPEAT_BY_KIND
    )
    if unknown_kinds:
        return Err(
            _manifest_problem(
                f'unknown kinds of route: {sorted(unknown_kinds)}'
            )
        )
    return Ok(_convert_manifest(wire))


def _manifest_problem(detail: str) -> Problem:
    return Problem(
        ErrorKind.BAD_DECLARATION,
        f'the manifest cannot be read: {detail}',
        'publish a corrected version; the last good one stays in force',
    )


def _convert_manifest(wire: WireManifest) -> Manifest:
    by_host: dict[str, list[Route]] = defaultdict(list)
    for route in wire.routes:
        by_host[route.host.lower()].append(_convert_route(route))
    return Manifest(
        wire.version,
        {
            host: tuple(sorted(routes, key=_longest_prefix_first))
            for host, routes in by_host.items()
        },
        {service.name: _convert_service(service) for service in wire.services},
        _convert_key_holders(wire.tenants or []),
        requires_key=wire.tenants is not None,
        limits=_convert_limits(wire.limits),
    )


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)


def _convert_route(wire: WireRoute) -> Route:
    timeout_s = wire.timeout_ms / MILLISECONDS
    targets = [Target(part.service, part.weight) for part in wire.traffic_split]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        repeat=_REPEAT_BY_KIND[wire.kind],
        streaming=wire.kind == 'streaming',
        resumable=wire.resumable,
        timeout_s=timeout_s,
        target_latency_s=wire.target_latency_ms / MILLISECONDS or timeout_s,
        event_timeout_s=_event_timeout_s(wire),
        tier=tier_from_priority(wire.priority),
        targets=tuple(targets) or (Target(wire.service, 1),),
        max_runners=max(wire.max_attempts, 1),
        public=wire.public,
    )


def _event_timeout_s(wire: WireRoute) -> float:
    """Return how long callers wait for a stream's next event."""
    if wire.kind != 'streaming':
        return inf
    return max(
        MIN_EVENT_TIMEOUT_S,
        TARGET_LATENCY_FACTOR * wire.target_latency_ms / MILLISECONDS,
        GAP_TARGET_FACTOR * wire.gap_target_ms / MILLISECONDS,
    )


def tier_from_priority(platform_priority: int) -> Tier:
    """Map a priority of the platform, where 0 is the highest, to a tier."""
    return Tier(
        min(max(platform_priority + Tier.CRITICAL, Tier.CRITICAL), Tier.BULK)
    )


def _convert_service(wire: WireService) -> DeclaredService:
    return DeclaredService(
        wire.name,
        wire.max_conns or UNLIMITED_CONNECTIONS,
        wire.engine is not None,
        max(wire.engine.stride, 1) if wire.engine else 1,
    )


def _convert_key_holders(
    tenants: list[WireTenant],
) -> Mapping[str, KeyedWorkspace]:
    return {
        key: KeyedWorkspace(
            tenant.name,
            None
            if tenant.priority is None
            else tier_from_priority(tenant.priority),
            _convert_allotment(tenant),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }


def _convert_allotment(tenant: WireTenant) -> Allotment | None:
    if not tenant.rate_per_s:
        return None
    return Allotment(
        tenant.rate_per_s,
        tenant.burst,
        tenant.unit == TOKEN_UNIT,
        tenant.plain_tokens,
    )


def _convert_limits(wire: WireLimits) -> IngressLimits:
    defaults = IngressLimits()
    return IngressLimits(
        wire.max_header_bytes or defaults.header_bytes,
        wire.max_body_bytes or defaults.body_bytes,
        wire.header_timeout_ms / MILLISECONDS or defaults.header_timeout_s,
        wire.idle_timeout_ms / MILLISECONDS or defaults.idle_timeout_s,
    )
