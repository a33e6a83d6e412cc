"""The manifest as it stands on the wire."""

import msgspec


class WireSplit(msgspec.Struct):
    """A part of a route that is split."""

    service: str
    weight: float = 1


class WireRoute(msgspec.Struct, rename='camel'):
    """A route."""

    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    name: str = ''
    service: str = ''
    traffic_split: list[WireSplit] = []
    target_latency_ms: float = 0
    gap_target_ms: float = 0  # of a stream: the longest pause on time
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class WireEngine(msgspec.Struct):
    """What is told of engines."""

    stride: int = 1  # tokens in one event of a stream


class WireService(msgspec.Struct, rename='camel'):
    """A service."""

    name: str
    max_conns: int = 0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct, rename='camel'):
    """Bounds on what callers send; 0 where not told."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: float = 0
    idle_timeout_ms: float = 0


class WireTenant(msgspec.Struct, rename='camel'):
    """A workspace with its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ''
    plain_tokens: float = 0
    rate_per_s: float = 0
    burst: float = 0


class WireManifest(msgspec.Struct):
    """All of it."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None
