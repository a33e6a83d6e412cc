"""Records of the streams `orders-<service>` and `weight-loads`."""

from typing import Annotated, Final, Literal, TypeAlias

from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.state.json_record import JsonRecord

CLAIMS_STREAM_PREFIX: Final = 'orders-'
LOADS_STREAM: Final = 'weight-loads'
MAX_ID_LENGTH: Final = 300
RecordId = Annotated[str, Field(min_length=1, max_length=MAX_ID_LENGTH)]


class ClaimRecord(JsonRecord):
    """A scheduler claims the right to order the engines of one shard.

    The offset of the record is the fencing token of its orders.
    """

    kind: Literal['claim'] = 'claim'
    claim_id: RecordId
    shard: Annotated[int, Field(ge=0)]
    shards: Annotated[int, Field(ge=1)]
    by: str


class LoadBegunRecord(JsonRecord):
    """An issuer requests a permit to load from the weight store."""

    kind: Literal['load_begun'] = 'load_begun'
    load_id: RecordId
    runner: RecordId


class LoadEndedRecord(JsonRecord):
    """The load has ended, or its order was never sent."""

    kind: Literal['load_ended'] = 'load_ended'
    load_id: RecordId


LoadRecord: TypeAlias = LoadBegunRecord | LoadEndedRecord
_CLAIM_ADAPTER: TypeAdapter[ClaimRecord] = TypeAdapter(ClaimRecord)
_LOAD_ADAPTER: TypeAdapter[LoadRecord] = TypeAdapter(
    Annotated[LoadRecord, Field(discriminator='kind')],
)


def claims_stream(service: str) -> str:
    """Return the stream that holds the claims on a service's engines.

    There is one stream per service, not per shard: an engine may move to
    another shard when their number changes, and the offsets of two streams
    can't be compared.
    """
    return CLAIMS_STREAM_PREFIX + service


def decode_claim(text: str) -> Result[ClaimRecord, Problem]:
    """Decode one record of a claims stream."""
    try:
        return Ok(_CLAIM_ADAPTER.validate_json(text))
    except ValidationError as exc:
        return Err(_bad_record(exc))


def decode_load(text: str) -> Result[LoadRecord, Problem]:
    """Decode one record of the loads stream."""
    try:
        return Ok(_LOAD_ADAPTER.validate_json(text))
    except ValidationError as exc:
        return Err(_bad_record(exc))


def _bad_record(exc: ValidationError) -> Problem:
    reason = exc.errors()[0]['msg']
    return Problem(
        ErrorKind.BAD_RECORD,
        f'record of engine orders not understood: {reason}',
        'run the same release of bramleybend on every VM',
    )
