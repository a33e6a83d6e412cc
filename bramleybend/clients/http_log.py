"""HTTP client of the log service that docs/PLATFORM.md describes."""

from collections.abc import Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import Final

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from bramleybend.clients.http import HttpApi, HttpResponse
from bramleybend.clients.log_service import (
    NO_WAIT,
    READ_LIMIT,
    LogBatch,
    LogRecord,
    LogService,
)
from bramleybend.errors import ErrorKind, Problem

LOG_TIMEOUT_S: Final = 2.0
MILLISECONDS: Final = 1000


class AppendedBody(BaseModel):
    """The response to an append; the offset is its first record's."""

    offset: int


class RecordBody(BaseModel):
    """One record in a response of the log service."""

    offset: int
    data: str


class ReadBody(BaseModel):
    """The response to a read."""

    first_offset: int
    next_offset: int
    records: list[RecordBody]


class HttpLogService:
    """Appends and reads records; keeps no state between calls."""

    def __init__(self, api: HttpApi) -> None:
        """Use this API client for the calls."""
        self._api = api

    async def append(
        self,
        stream: str,
        records: Sequence[str],
    ) -> Result[int, Problem]:
        """Append records; see `LogService.append` for the errors."""
        call_result = await self._api.call(
            'POST',
            f'/streams/{stream}/records',
            {'records': list(records)},
            is_stall_tolerant=True,
        )
        match call_result:
            case Err(problem):
                return Err(_append_problem(problem))
            case Ok(response):
                return _parse_append(response)

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Read records from `start` on, waiting up to `wait` for one."""
        wait_ms = int(wait.total_seconds() * MILLISECONDS)
        target = (
            f'/streams/{stream}/records'
            f'?from={start}&limit={limit}&wait_ms={wait_ms}'
        )
        call_result = await self._api.call(
            'GET',
            target,
            extra_timeout_s=wait.total_seconds(),
        )
        match call_result:
            case Err(problem):
                return Err(_unavailable_problem(problem.detail))
            case Ok(response):
                return _parse_batch(response)


def make_http_log(url: str) -> LogService:
    """Make a client of the log service at `url`."""
    return HttpLogService(HttpApi(url, LOG_TIMEOUT_S))


def _unavailable_problem(detail: str) -> Problem:
    return Problem(
        ErrorKind.LOG_UNAVAILABLE,
        f'the log service is unavailable: {detail}',
        'try again when it is back; nothing was appended',
    )


def _append_problem(problem: Problem) -> Problem:
    if problem.kind is ErrorKind.PEER_UNAVAILABLE:
        return _unavailable_problem(problem.detail)
    return Problem(
        ErrorKind.LOG_REPLY_LOST,
        f'the log did not say whether it appended: {problem.detail}',
        'read the stream to see whether the record is there',
    )


def _parse_append(response: HttpResponse) -> Result[int, Problem]:
    match response.status:
        case HTTPStatus.OK:
            return _parse_offset(response.body)
        case HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            return Err(
                Problem(
                    ErrorKind.LOG_REFUSED,
                    'the log refused the record for its size',
                    'make the record smaller; nothing was appended',
                ),
            )
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return Err(_unavailable_problem('it answered 503'))
    return Err(
        Problem(
            ErrorKind.LOG_REPLY_LOST,
            f'the log answered {response.status}',
            'read the stream to see whether the record is there',
        ),
    )


def _parse_offset(body: bytes) -> Result[int, Problem]:
    try:
        return Ok(AppendedBody.model_validate_json(body).offset)
    except ValidationError:
        return Err(
            Problem(
                ErrorKind.LOG_REPLY_LOST,
                'the log answered an append with something else',
                'read the stream to see whether the record is there',
            ),
        )


def _parse_batch(response: HttpResponse) -> Result[LogBatch, Problem]:
    if response.status != HTTPStatus.OK:
        return Err(_unavailable_problem(f'it answered {response.status}'))
    try:
        body = ReadBody.model_validate_json(response.body)
    except ValidationError:
        return Err(_unavailable_problem('its answer is not a batch of records'))
    records = tuple(
        LogRecord(record.offset, record.data) for record in body.records
    )
    return Ok(LogBatch(body.first_offset, body.next_offset, records))
