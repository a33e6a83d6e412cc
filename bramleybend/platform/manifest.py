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
    IngressLimits,
    KeyHolder,
    Manifest,
    Route,
    ServiceFacts,
    Target,
)
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import Repeat, Tier
from bramleybend.platform.manifest_wire import (
    WireLimits,
    WireManifest,
    WireRoute,
    WireService,
    WireTenant,
)

MILLISECONDS: Final = 1000
UNBOUNDED: Final = 1_000_000
TOKEN_UNIT: Final = 'tokens'
# The platform's callers abandon a stream that sends no event, be it the first
# or a later one, for the longest of three times: this minimum, the route's
# target latency times the first factor, its gap target times the second.
LEAST_EVENT_PATIENCE_S: Final = 2.0
OBJECTIVES_BORNE: Final = 4
PAUSES_BORNE: Final = 8

_decoder: Final = msgspec.json.Decoder(WireManifest)

_REPEATS: Final = MappingProxyType(
    {
        'idempotent': Repeat.IDEMPOTENT,
        'non_idempotent': Repeat.NON_IDEMPOTENT,
        'streaming': Repeat.AT_MOST_ONCE,
    }
)


def decode_manifest(text: bytes) -> Result[Manifest, Problem]:
    """Return the manifest, or a problem if any part of it is invalid."""
    try:
        wire = _decoder.decode(text)
    except msgspec.MsgspecError as exc:
        return Err(_unreadable(str(exc)))
    unknown = {route.kind for route in wire.routes}.difference(_REPEATS)
    if unknown:
        return Err(_unreadable(f'unknown kinds of route: {sorted(unknown)}'))
    return Ok(_manifest(wire))


def _unreadable(detail: str) -> Problem:
    return Problem(
        ErrorKind.BAD_DECLARATION,
        f'the manifest cannot be read: {detail}',
        'publish a corrected version; the last good one stays in force',
    )


def _manifest(wire: WireManifest) -> Manifest:
    by_host: dict[str, list[Route]] = defaultdict(list)
    for route in wire.routes:
        by_host[route.host.lower()].append(_route(route))
    return Manifest(
        wire.version,
        {
            host: tuple(sorted(routes, key=_longest_first))
            for host, routes in by_host.items()
        },
        {service.name: _service(service) for service in wire.services},
        _key_holders(wire.tenants or []),
        keyed=wire.tenants is not None,
        limits=_limits(wire.limits),
    )


def _longest_first(route: Route) -> int:
    return -len(route.prefix)


def _route(wire: WireRoute) -> Route:
    timeout_s = wire.timeout_ms / MILLISECONDS
    targets = [Target(part.service, part.weight) for part in wire.traffic_split]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        repeat=_REPEATS[wire.kind],
        streaming=wire.kind == 'streaming',
        resumable=wire.resumable,
        timeout_s=timeout_s,
        objective_s=wire.target_latency_ms / MILLISECONDS or timeout_s,
        event_patience_s=_event_patience_s(wire),
        tier=tier_of(wire.priority),
        targets=tuple(targets) or (Target(wire.service, 1),),
        most_runners=max(wire.max_attempts, 1),
        public=wire.public,
    )


def _event_patience_s(wire: WireRoute) -> float:
    """Return how long callers wait for a stream's next event."""
    if wire.kind != 'streaming':
        return inf
    return max(
        LEAST_EVENT_PATIENCE_S,
        OBJECTIVES_BORNE * wire.target_latency_ms / MILLISECONDS,
        PAUSES_BORNE * wire.gap_target_ms / MILLISECONDS,
    )


def tier_of(rank: int) -> Tier:
    """Map a priority of the platform, where 0 is the highest, to a tier."""
    return Tier(min(max(rank + Tier.CRITICAL, Tier.CRITICAL), Tier.BULK))


def _service(wire: WireService) -> ServiceFacts:
    return ServiceFacts(
        wire.name,
        wire.max_conns or UNBOUNDED,
        wire.engine is not None,
        max(wire.engine.stride, 1) if wire.engine else 1,
    )


def _key_holders(tenants: list[WireTenant]) -> Mapping[str, KeyHolder]:
    return {
        key: KeyHolder(
            tenant.name,
            None if tenant.priority is None else tier_of(tenant.priority),
            _allotment(tenant),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }


def _allotment(tenant: WireTenant) -> Allotment | None:
    if not tenant.rate_per_s:
        return None
    return Allotment(
        tenant.rate_per_s,
        tenant.burst,
        tenant.unit == TOKEN_UNIT,
        tenant.plain_tokens,
    )


def _limits(wire: WireLimits) -> IngressLimits:
    usual = IngressLimits()
    return IngressLimits(
        wire.max_header_bytes or usual.header_bytes,
        wire.max_body_bytes or usual.body_bytes,
        wire.header_timeout_ms / MILLISECONDS or usual.header_timeout_s,
        wire.idle_timeout_ms / MILLISECONDS or usual.idle_timeout_s,
    )
