"""Records of a home's journal: JSON lines on one stream per incarnation."""

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

MAX_BODY_BYTES: Final = 4096
JOURNAL_STREAM_PREFIX: Final = 'journal-'
MAX_REQUEST_ID_LENGTH: Final = 300
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599


class _RequestRecord(JsonRecord):
    req: Annotated[str, Field(max_length=MAX_REQUEST_ID_LENGTH)]

    @field_validator('req')
    @classmethod
    def check_request_id(cls, text: str) -> str:
        """Reject text that isn't a valid request id."""
        if parse_request_id(text).is_err():
            raise ValueError('not a request id')
        return text


class IntentRecord(_RequestRecord):
    """The home is about to dispatch the request."""

    kind: Literal['intent'] = 'intent'


class OutcomeRecord(_RequestRecord):
    """How the request ended, with the answer's body if it is small."""

    kind: Literal['outcome'] = 'outcome'
    outcome: Outcome
    status: Annotated[int, Field(ge=MIN_STATUS, le=MAX_STATUS)] | None = None
    content_type: str = ''
    body: Annotated[str, Field(max_length=2 * MAX_BODY_BYTES)] | None = None

    @field_validator('body')
    @classmethod
    def check_base64(cls, text: str | None) -> str | None:
        """Reject a body that isn't valid base64, such as a truncated one."""
        if text is not None:
            b64decode(text, validate=True)
        return text

    @property
    def answer(self) -> bytes | None:
        """Return the body, or None if none was recorded."""
        return None if self.body is None else b64decode(self.body)


class SealRecord(JsonRecord):
    """Ends the stream: an intent behind it allows no dispatch.

    Only the home itself sets `complete`, at a planned stop, after it has
    stopped dispatching and has read back the intent of every dispatch.
    """

    kind: Literal['seal'] = 'seal'
    by: str
    complete: bool = False


JournalRecord = IntentRecord | OutcomeRecord | SealRecord
_ADAPTER: TypeAdapter[JournalRecord] = TypeAdapter(
    Annotated[JournalRecord, Field(discriminator='kind')],
)


def stream_of(incarnation: str) -> str:
    """Return the name of the stream that holds an incarnation's journal."""
    return f'{JOURNAL_STREAM_PREFIX}{incarnation}'


def encode_intent(request_id: RequestId) -> str:
    """Encode the intent to dispatch a request."""
    return IntentRecord(req=str(request_id)).encode()


def encode_outcome(
    request_id: RequestId,
    outcome: Outcome,
    status: int | None = None,
    content_type: str = '',
    body: bytes | None = None,
) -> str:
    """Encode a request's outcome; omit a body over `MAX_BODY_BYTES`."""
    kept = None
    if body is not None and len(body) <= MAX_BODY_BYTES:
        kept = b64encode(body).decode()
    return OutcomeRecord(
        req=str(request_id),
        outcome=outcome,
        status=status,
        content_type=content_type,
        body=kept,
    ).encode()


def encode_seal(by: str, *, complete: bool = False) -> str:
    """Encode a seal written by the VM `by`."""
    return SealRecord(by=by, complete=complete).encode()


def decode_journal_record(text: str) -> Result[JournalRecord, Problem]:
    """Decode one record; the caller counts and skips one that fails."""
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
