"""A test caller: resolves addresses, sends, retries and reads answers."""

import asyncio
import json
import time
import uuid
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any, Final

from bramleybend.answers import Outcome
from tests.utils.http_client import BrokenCallError, Exchange, call, exchange
from tests.utils.ledger import Attempt, Ledger, Reading, Record
from tests.utils.work import Work

ADDRESS_TIMEOUT_S: Final = 2
RETRY_PAUSE_S: Final = 0.1
GRACE_S: Final = 3  # for an answer that arrives just after the deadline
OUTCOME_HEADER: Final = 'bramleybend-outcome'
EVENT_STREAM: Final = 'text/event-stream'


class NoAnswerError(Exception):
    """The deadline passed without a final answer."""


@dataclass(frozen=True)
class Route:
    """Addresses to send to, their ticket, and the monotonic expiry time."""

    addresses: tuple[str, ...]
    ticket: str
    expires_at: float


class Caller:
    """A client of the entry VMs that caches its route for each profile."""

    def __init__(
        self,
        entries: Sequence[str],
        ledger: Ledger,
        keeps_route: bool = True,
    ) -> None:
        """Resolve routes at `entries` (`ip:port`), in this order."""
        self._entries = list(entries)
        self._ledger = ledger
        self._caches_route = keeps_route
        self._routes: dict[str, Route] = {}  # by profile

    async def send(self, work: Work) -> Record:
        """Send and retry until a final answer or the deadline."""
        record = self._ledger.open(work)
        deadline = record.started + work.deadline_s
        try:
            async with asyncio.timeout(work.deadline_s + GRACE_S):
                await self._send_until_final(record, deadline)
        except (NoAnswerError, TimeoutError):
            record.remove_unsent_attempts()
            readings = record.readings
            if readings and record.attempts[-1].reading is not None:
                record.finish(readings[-1])
        return record

    async def send_under(self, attempt: Attempt, work: Work) -> Reading:
        """Send under one request id until an answer is complete."""
        deadline = time.monotonic() + work.deadline_s
        route = await self.route(work.profile, deadline)
        return await self._send_attempt(
            attempt,
            work,
            route.addresses,
            deadline,
        )

    async def route(self, profile: str, deadline: float) -> Route:
        """Return the cached route, or resolve one at the entries.

        Raises NoAnswerError at the deadline.
        """
        cached = self._routes.get(profile)
        if cached is not None and self._caches_route:
            if cached.expires_at > time.monotonic():
                return cached
        while time.monotonic() < deadline:
            for entry in tuple(self._entries):
                route = await _resolve_route(entry, profile)
                if route is not None:
                    self._routes[profile] = route
                    return route
                self._entries.append(self._entries.pop(0))
            await asyncio.sleep(RETRY_PAUSE_S)
        raise NoAnswerError

    async def _send_until_final(self, record: Record, deadline: float) -> None:
        work = record.work
        while True:
            route = await self.route(work.profile, deadline)
            attempt = Attempt(f'{route.ticket}/{uuid.uuid4().hex}')
            record.attempts.append(attempt)
            reading = await self._send_attempt(
                attempt,
                work,
                route.addresses,
                deadline,
            )
            if reading.outcome is not Outcome.NOT_RUN:
                break
            # A request that was not run is retried under a new id, as the
            # old id stays rejected. A new ticket leads to a VM that serves.
            self._routes.clear()
            pause = max(reading.retry_after_s, RETRY_PAUSE_S)
            if time.monotonic() + pause >= deadline:
                break
            await asyncio.sleep(pause)
        record.finish(reading)

    async def _send_attempt(
        self,
        attempt: Attempt,
        work: Work,
        addresses: Sequence[str],
        deadline: float,
    ) -> Reading:
        while time.monotonic() < deadline:
            for address in addresses:
                reading = await self._send_once(
                    attempt,
                    work,
                    address,
                    deadline,
                )
                if reading is not None:
                    attempt.reading = reading
                    return reading
            await asyncio.sleep(RETRY_PAUSE_S)
            self._routes.clear()
            route = await self.route(work.profile, deadline)
            addresses = route.addresses
        raise NoAnswerError

    async def _send_once(
        self,
        attempt: Attempt,
        work: Work,
        address: str,
        deadline: float,
    ) -> Reading | None:
        attempt.sends += 1
        try:
            return await post(attempt.request_id, work, address, deadline)
        except BrokenCallError as exc:
            attempt.broken.append(f'{address} {exc}')
            return None


async def post(
    request_id: str,
    work: Work,
    address: str,
    deadline: float,
) -> Reading:
    """Send one request to one address and read the complete answer.

    `deadline` is a monotonic time.
    """
    remaining = timedelta(seconds=deadline - time.monotonic())
    headers = {
        'Content-Type': 'application/json',
        'Bramleybend-Request-Id': request_id,
        'Bramleybend-Workspace': work.workspace,
        'Bramleybend-Service': work.service,
        'Bramleybend-Profile': work.profile,
        'Bramleybend-Deadline': _rfc3339(datetime.now(UTC) + remaining),
    }
    url = f'http://{address}/v1/requests'
    async with exchange('POST', url, headers, work.body) as conn:
        if conn.headers.get('content-type', '').startswith(EVENT_STREAM):
            return await _read_stream(conn, work)
        return await _read_body(conn, work)


async def _read_body(conn: Exchange, work: Work) -> Reading:
    body = b''.join([chunk async for chunk in conn.chunks()])
    outcome_name = conn.headers.get(OUTCOME_HEADER)
    if outcome_name is None:
        raise BrokenCallError(f'status {conn.status} has no outcome header')
    outcome = Outcome(outcome_name)
    if outcome is Outcome.DONE:
        return Reading(
            outcome,
            is_expected=work.is_complete(body),
            answered_at=time.monotonic(),
        )
    reply_fields = json.loads(body)
    retry_after = conn.headers.get(
        'retry-after', reply_fields.get('retry_after_s') or 0
    )
    return Reading(
        outcome, False, reply_fields.get('reason', ''), float(retry_after)
    )


async def _read_stream(conn: Exchange, work: Work) -> Reading:
    text = ''
    first_token_at = float(0)
    event_name = ''
    async for line in _read_lines(conn):
        name, _, content = line.partition(': ')
        if name == 'event':
            event_name = content
        elif name == 'data' and event_name == 'outcome':
            return _stream_reading(
                json.loads(content), work, text, first_token_at
            )
        elif name == 'data' and '"text"' in content:
            first_token_at = first_token_at or time.monotonic()
            text += json.loads(content)['text']
    raise BrokenCallError('stream ended without an outcome event')


def _stream_reading(
    reply_fields: dict[str, Any],
    work: Work,
    text: str,
    first_token_at: float,
) -> Reading:
    outcome = Outcome(reply_fields['outcome'])
    return Reading(
        outcome,
        outcome is Outcome.DONE and work.is_complete_text(text),
        reply_fields.get('reason') or '',
        float(reply_fields.get('retry_after_s') or 0),
        first_token_at,
    )


async def _read_lines(conn: Exchange) -> AsyncIterator[str]:
    pending = b''
    async for chunk in conn.chunks():
        *whole, pending = (pending + chunk).split(b'\n')
        for line in whole:
            yield line.decode().rstrip('\r')


async def _resolve_route(entry: str, profile: str) -> Route | None:
    try:
        reply = await call(
            'GET',
            f'http://{entry}/v1/address?profile={profile}',
            timeout_s=ADDRESS_TIMEOUT_S,
        )
    except BrokenCallError:
        return None
    if reply.status != 200:
        return None
    reply_fields = reply.json()
    expires_at = time.monotonic() + float(reply_fields['keep_for_s'])
    return Route(
        tuple(reply_fields['addresses']), reply_fields['ticket'], expires_at
    )


def _rfc3339(moment: datetime) -> str:
    return moment.isoformat().replace('+00:00', 'Z')
