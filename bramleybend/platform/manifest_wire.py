"""Schema of the manifest as the platform's store holds it, in JSON."""

import msgspec

from bramleybend.platform.wire_types import Amount, Count


class WireSplit(msgspec.Struct):
    """One service of a route that splits its traffic, and its weight."""

    service: str
    weight: float = 1


class WireRoute(msgspec.Struct, rename='camel'):
    """A route from a host and path prefix to one or more services."""

    host: str
    path_prefix: str
    kind: str
    timeout_ms: Amount
    name: str = ''
    service: str = ''
    traffic_split: list[WireSplit] = []
    target_latency_ms: Amount = 0
    gap_target_ms: Amount = 0  # longest pause of a stream that is on time
    priority: int = 0
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False


class WireEngine(msgspec.Struct):
    """Properties of a service whose runners are engines."""

    stride: Count = 1  # tokens in one event of a stream


class WireService(msgspec.Struct, rename='camel'):
    """A service that routes refer to by name."""

    name: str
    max_conns: Count = 0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct, rename='camel'):
    """Limits on callers' requests; 0 stands for the default."""

    max_header_bytes: Count = 0
    max_body_bytes: Count = 0
    header_timeout_ms: Amount = 0
    idle_timeout_ms: Amount = 0


class WireTenant(msgspec.Struct, rename='camel'):
    """A workspace with its API keys and its allotment."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ''
    plain_tokens: Amount = 0
    rate_per_s: Amount = 0
    burst: Amount = 0


class WireManifest(msgspec.Struct):
    """The whole manifest."""

    version: Count
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None
