"""The part of the declaration file that says what engines should hold."""

from datetime import timedelta
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field

from bramleybend.models import EngineRole, EngineTarget, WeightStore

LOADS_LIMIT: Final = 1000
LOAD_TIMEOUT_LIMIT_S: Final = 86_400
DEFAULT_STORE: Final = WeightStore()

# Names of models are the engines' own and hold slashes, dots and colons.
WeightsName = Annotated[str, Field(pattern=r'^[!-~]{1,200}$')]


class _Declared(BaseModel):
    model_config = ConfigDict(extra='forbid', strict=True)


class EnginesDeclaration(_Declared):
    """What the engines of one service should hold."""

    model: WeightsName
    version: WeightsName
    adapters: list[WeightsName] = Field(default_factory=list)
    role: EngineRole = Field(default=EngineRole.MIXED, strict=False)

    def to_target(self) -> EngineTarget:
        """Return the model that the system works with."""
        return EngineTarget(
            self.model,
            self.version,
            tuple(sorted(set(self.adapters))),
            self.role,
        )


class WeightStoreDeclaration(_Declared):
    """The rate limit of the weight store."""

    loads_at_once: int = Field(
        default=DEFAULT_STORE.loads_at_once,
        ge=1,
        le=LOADS_LIMIT,
    )
    load_timeout_s: float = Field(
        default=DEFAULT_STORE.load_timeout.total_seconds(),
        gt=0,
        le=LOAD_TIMEOUT_LIMIT_S,
        allow_inf_nan=False,
    )

    def to_store(self) -> WeightStore:
        """Return the model that the system works with."""
        return WeightStore(
            self.loads_at_once,
            timedelta(seconds=self.load_timeout_s),
        )
