"""What all records of the log's streams share."""

from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field

SCHEMA_VERSION: Final = 1


class JsonRecord(BaseModel):
    """A record that is one JSON line; a field too many is refused."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    record_version: Annotated[Literal[1], Field(alias='v')] = SCHEMA_VERSION

    def encode(self) -> str:
        """Return the record as one JSON line."""
        return self.model_dump_json(by_alias=True)
