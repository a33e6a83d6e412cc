"""Records of a home's journal, as JSON lines on a stream of its own."""

from base64 import b64decode, b64encode
from typing import Annotated, Final, Literal

from pydantic import (
    Field,
    TypeAdapter,
    ValidationError,
    field_validator,
)
from result import Err, Ok, Result

from bramleybend.answers import Outcome
from bramleybend.errors import ErrorKind, Problem
from bramleybend.state.json_record import JsonRecord
from bramleybend.state.tickets import RequestId, parse_request_id

MAX_BODY: Final = 4096
STREAM_PREFIX: Final = 'journal-'
MAX_ID: Final = 300
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599


class _AboutRequest(JsonRecord):
    req: Annotated[str, Field(max_length=MAX_ID)]

    @field_validator('req')
    @classmethod
    def is_request_id(cls, text: str) -> str:
        """Refuse what no home could have written."""
        if parse_request_id(text).is_err():
            raise ValueError('not a request id')
        return text


class IntentRecord(_AboutRequest):
    """The home means to dispatch the request."""

    kind: Literal['intent'] = 'intent'


class OutcomeRecord(_AboutRequest):
    """How the request ended, with the answer if it is small."""

    kind: Literal['outcome'] = 'outcome'
    outcome: Outcome
    status: Annotated[int, Field(ge=MIN_STATUS, le=MAX_STATUS)] | None = None
    content_type: str = ''
    body: Annotated[str, Field(max_length=2 * MAX_BODY)] | None = None

    @field_validator('body')
    @classmethod
    def is_base64(cls, text: str | None) -> str | None:
        """Refuse a body that would be read back torn."""
        if text is not None:
            b64decode(text, validate=True)
        return text

    @property
    def answer(self) -> bytes | None:
        """Return the whole body, or None where it was too large to keep."""
        return None if self.body is None else b64decode(self.body)


class SealRecord(JsonRecord):
    """Ends the stream: no intent after it gives a right.

    `complete` is set only by the home itself at a planned stop, once it has
    stopped to dispatch and has read back the intent of every dispatch.
    """

    kind: Literal['seal'] = 'seal'
    by: str
    complete: bool = False


JournalRecord = IntentRecord | OutcomeRecord | SealRecord
_ADAPTER: TypeAdapter[JournalRecord] = TypeAdapter(
    Annotated[JournalRecord, Field(discriminator='kind')],
)


def stream_of(incarnation: str) -> str:
    """Return the name of an incarnation's journal."""
    return f'{STREAM_PREFIX}{incarnation}'


def encode_intent(request_id: RequestId) -> str:
    """Write down that the home means to dispatch."""
    return IntentRecord(req=str(request_id)).encode()


def encode_outcome(
    request_id: RequestId,
    outcome: Outcome,
    status: int | None = None,
    content_type: str = '',
    body: bytes | None = None,
) -> str:
    """Write down how the request ended; a body too large is left out."""
    kept = None
    if body is not None and len(body) <= MAX_BODY:
        kept = b64encode(body).decode()
    return OutcomeRecord(
        req=str(request_id),
        outcome=outcome,
        status=status,
        content_type=content_type,
        body=kept,
    ).encode()


def encode_seal(by: str, *, complete: bool = False) -> str:
    """End the stream."""
    return SealRecord(by=by, complete=complete).encode()


def decode(text: str) -> Result[JournalRecord, Problem]:
    """Read one record; the caller counts and skips what is not one."""
    try:
        return Ok(_ADAPTER.validate_json(text))
    except ValidationError as exc:
        reason = exc.errors()[0]['msg']
        return Err(
            Problem(
                ErrorKind.BAD_RECORD,
                f'journal record not understood: {reason}',
                'look at who writes to the stream and at the program versions',
            ),
        )
