"""The parts of the declaration file on engines and the weight store."""

from datetime import timedelta
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field

from bramleybend.models import EngineRole, EngineTarget, WeightStore

MAX_LOADS: Final = 1000
MAX_LOAD_TIMEOUT_S: Final = 86_400
DEFAULT_WEIGHT_STORE: Final = WeightStore()

# Engines define the names of models, which contain slashes, dots and colons.
WeightsName = Annotated[str, Field(pattern=r'^[!-~]{1,200}$')]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', strict=True)


class EnginesDeclaration(_StrictModel):
    """Declares what the engines of one service should load."""

    model: WeightsName
    version: WeightsName
    adapters: list[WeightsName] = Field(default_factory=list)
    role: EngineRole = Field(default=EngineRole.MIXED, strict=False)

    def to_target(self) -> EngineTarget:
        """Convert to the internal data type; adapters are sorted."""
        return EngineTarget(
            self.model,
            self.version,
            tuple(sorted(set(self.adapters))),
            self.role,
        )


class WeightStoreDeclaration(_StrictModel):
    """Declares the limits on loads from the weight store."""

    loads_at_once: int = Field(
        default=DEFAULT_WEIGHT_STORE.loads_at_once,
        ge=1,
        le=MAX_LOADS,
    )
    load_timeout_s: float = Field(
        default=DEFAULT_WEIGHT_STORE.load_timeout.total_seconds(),
        gt=0,
        le=MAX_LOAD_TIMEOUT_S,
        allow_inf_nan=False,
    )

    def to_store(self) -> WeightStore:
        """Convert to the internal data type."""
        return WeightStore(
            self.loads_at_once,
            timedelta(seconds=self.load_timeout_s),
        )
