"""Records of the streams `orders-<service>` and `weight-loads`, as JSON."""

from typing import Annotated, Final, Literal, TypeAlias

from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.state.json_record import JsonRecord

CLAIMS_PREFIX: Final = 'orders-'
LOADS_STREAM: Final = 'weight-loads'
MAX_ID: Final = 300
Id = Annotated[str, Field(min_length=1, max_length=MAX_ID)]


class ClaimRecord(JsonRecord):
    """A scheduler begins to order the engines of one shard.

    The record's offset is the fencing number of its orders.
    """

    kind: Literal['claim'] = 'claim'
    claim_id: Id
    shard: Annotated[int, Field(ge=0)]
    shards: Annotated[int, Field(ge=1)]
    by: str


class LoadBegunRecord(JsonRecord):
    """An issuer asks for a place at the weight store."""

    kind: Literal['load_begun'] = 'load_begun'
    load_id: Id
    runner: Id


class LoadEndedRecord(JsonRecord):
    """The load is over, or its order was never given."""

    kind: Literal['load_ended'] = 'load_ended'
    load_id: Id


LoadRecord: TypeAlias = LoadBegunRecord | LoadEndedRecord
_CLAIM: TypeAdapter[ClaimRecord] = TypeAdapter(ClaimRecord)
_LOAD: TypeAdapter[LoadRecord] = TypeAdapter(
    Annotated[LoadRecord, Field(discriminator='kind')],
)


def claims_stream(service: str) -> str:
    """Return the stream that holds the claims on a service's engines.

    One stream a service, not one a shard: an engine changes its shard when
    the number of shards does, and offsets of two streams can't be compared.
    """
    return CLAIMS_PREFIX + service


def decode_claim(text: str) -> Result[ClaimRecord, Problem]:
    """Read one record of a stream of claims."""
    try:
        return Ok(_CLAIM.validate_json(text))
    except ValidationError as exc:
        return Err(_bad_record(exc))


def decode_load(text: str) -> Result[LoadRecord, Problem]:
    """Read one record of the stream of loads."""
    try:
        return Ok(_LOAD.validate_json(text))
    except ValidationError as exc:
        return Err(_bad_record(exc))


def _bad_record(exc: ValidationError) -> Problem:
    reason = exc.errors()[0]['msg']
    return Problem(
        ErrorKind.BAD_RECORD,
        f'record of engine orders not understood: {reason}',
        'run the same release of bramleybend on every VM',
    )
