"""Base class of the JSON records on the log's streams."""

from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field

SCHEMA_VERSION: Final = 1


class JsonRecord(BaseModel):
    """A record encoded as one JSON line; unknown fields are rejected."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    record_version: Annotated[Literal[1], Field(alias='v')] = SCHEMA_VERSION

    def encode(self) -> str:
        """Return the record as one JSON line."""
        return self.model_dump_json(by_alias=True)
