"""The caller's side: ask for addresses, send, send again, read the answer."""

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
ROUND_PAUSE_S: Final = 0.1
GRACE_S: Final = 3  # an answer may come just after its deadline
OUTCOME_HEADER: Final = 'bramleybend-outcome'
EVENT_STREAM: Final = 'text/event-stream'


class NoAnswerError(Exception):
    """The deadline passed without a final answer."""


@dataclass(frozen=True)
class Route:
    """Where to send, under which ticket, and until when that is good."""

    addresses: tuple[str, ...]
    ticket: str
    until: float


class Caller:
    """One client: keeps its route and sends one request at a time or many."""

    def __init__(
        self,
        entries: Sequence[str],
        ledger: Ledger,
        keeps_route: bool = True,
    ) -> None:
        """Know a few entry addresses (`ip:port`) to ask first."""
        self._entries = list(entries)
        self._ledger = ledger
        self._keeps_route = keeps_route
        self._routes: dict[str, Route] = {}  # by profile

    async def send(self, work: Work) -> Record:
        """Send until a final answer comes or the deadline has passed."""
        record = self._ledger.open(work)
        deadline = record.started + work.deadline_s
        try:
            async with asyncio.timeout(work.deadline_s + GRACE_S):
                await self._send_until_final(record, deadline)
        except (NoAnswerError, TimeoutError):
            record.drop_unsent()
            readings = record.readings
            if readings and record.attempts[-1].reading is not None:
                record.finish(readings[-1])
        return record

    async def send_under(self, attempt: Attempt, work: Work) -> Reading:
        """Send under an id until one whole answer comes."""
        deadline = time.monotonic() + work.deadline_s
        route = await self.route(work.profile, deadline)
        return await self._send_attempt(
            attempt,
            work,
            route.addresses,
            deadline,
        )

    async def route(self, profile: str, deadline: float) -> Route:
        """Return the kept route, or ask the entries for one."""
        kept = self._routes.get(profile)
        if kept is not None and self._keeps_route:
            if kept.until > time.monotonic():
                return kept
        while time.monotonic() < deadline:
            for entry in tuple(self._entries):
                route = await _ask(entry, profile)
                if route is not None:
                    self._routes[profile] = route
                    return route
                self._entries.append(self._entries.pop(0))
            await asyncio.sleep(ROUND_PAUSE_S)
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
            # A request that was not run comes back under a new id: the old
            # one is void for ever. A new ticket leads to a VM that serves.
            self._routes.clear()
            pause = max(reading.retry_after_s, ROUND_PAUSE_S)
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
            await asyncio.sleep(ROUND_PAUSE_S)
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
    """Send one request to one address and read its answer whole."""
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
        return await _read_whole(conn, work)


async def _read_whole(conn: Exchange, work: Work) -> Reading:
    body = b''.join([chunk async for chunk in conn.chunks()])
    named = conn.headers.get(OUTCOME_HEADER)
    if named is None:
        raise BrokenCallError(f'{conn.status} without an outcome')
    outcome = Outcome(named)
    if outcome is Outcome.DONE:
        return Reading(
            outcome,
            is_own=work.is_whole(body),
            answered_at=time.monotonic(),
        )
    told = json.loads(body)
    after = conn.headers.get('retry-after', told.get('retry_after_s') or 0)
    return Reading(outcome, False, told.get('reason', ''), float(after))


async def _read_stream(conn: Exchange, work: Work) -> Reading:
    text = ''
    first_at = float(0)
    event_name = ''
    async for line in _lines(conn):
        name, _, content = line.partition(': ')
        if name == 'event':
            event_name = content
        elif name == 'data' and event_name == 'outcome':
            return _stream_reading(json.loads(content), work, text, first_at)
        elif name == 'data' and '"text"' in content:
            first_at = first_at or time.monotonic()
            text += json.loads(content)['text']
    raise BrokenCallError('the stream ended without an outcome')


def _stream_reading(
    told: dict[str, Any],
    work: Work,
    text: str,
    first_at: float,
) -> Reading:
    outcome = Outcome(told['outcome'])
    return Reading(
        outcome,
        outcome is Outcome.DONE and work.is_whole_text(text),
        told.get('reason') or '',
        float(told.get('retry_after_s') or 0),
        first_at,
    )


async def _lines(conn: Exchange) -> AsyncIterator[str]:
    pending = b''
    async for chunk in conn.chunks():
        *whole, pending = (pending + chunk).split(b'\n')
        for line in whole:
            yield line.decode().rstrip('\r')


async def _ask(entry: str, profile: str) -> Route | None:
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
    told = reply.json()
    until = time.monotonic() + float(told['keep_for_s'])
    return Route(tuple(told['addresses']), told['ticket'], until)


def _rfc3339(moment: datetime) -> str:
    return moment.isoformat().replace('+00:00', 'Z')
