"""Records of the `terms` stream: publishes and renewals, as JSON lines."""

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.state.json_record import JsonRecord


class PublishRecord(JsonRecord):
    """An operator's new document, edited from version `base`."""

    kind: Literal['publish'] = 'publish'
    publish_id: Annotated[str, Field(min_length=1)]
    base: Annotated[int, Field(ge=0)]
    document: str
    by: str


class RenewRecord(JsonRecord):
    """Repeats the terms in force just before offset `at`.

    Valid only if it lands at `at`: then no record that its writer hadn't read
    precedes it.
    """

    kind: Literal['renew'] = 'renew'
    version: Annotated[int, Field(ge=1)]
    document: str
    at: Annotated[int, Field(ge=0)]


TermsRecord = PublishRecord | RenewRecord
_ADAPTER: TypeAdapter[TermsRecord] = TypeAdapter(
    Annotated[TermsRecord, Field(discriminator='kind')],
)


def encode_publish(publish_id: str, base: int, document: str, by: str) -> str:
    """Encode a publish; a second copy of the record isn't accepted again."""
    return PublishRecord(
        publish_id=publish_id,
        base=base,
        document=document,
        by=by,
    ).encode()


def encode_renew(version: int, document: str, at: int) -> str:
    """Encode a renewal, written before the log drops the terms in force."""
    return RenewRecord(
        version=version,
        document=document,
        at=at,
    ).encode()


def decode_terms_record(text: str) -> Result[TermsRecord, Problem]:
    """Decode one record; the caller counts and skips one that fails."""
    try:
        return Ok(_ADAPTER.validate_json(text))
    except ValidationError as exc:
        reason = exc.errors()[0]['msg']
        return Err(
            Problem(
                ErrorKind.BAD_RECORD,
                f'terms record not understood: {reason}',
                'publish through bramleybend-ctl of the same version',
            ),
        )
