"""Validates a caller's headers, deadline and names before it is accepted."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from http import HTTPStatus
from typing import Final

from result import Err, Ok, Result
from xxhash import xxh3_128_hexdigest

from bramleybend.answers import Answer, answer_rejected
from bramleybend.clock import Clock
from bramleybend.gateway.run import CallerRequest
from bramleybend.models import Profile, Terms

REQUEST_ID: Final = 'bramleybend-request-id'
WORKSPACE: Final = 'bramleybend-workspace'
SERVICE: Final = 'bramleybend-service'
PROFILE: Final = 'bramleybend-profile'
DEADLINE: Final = 'bramleybend-deadline'
MAX_ECHOED_CHARS: Final = 64  # of a bad value, in an answer
REQUIRED_HEADERS: Final = (REQUEST_ID, WORKSPACE, SERVICE, PROFILE, DEADLINE)


@dataclass(frozen=True)
class ReceivedRequest:
    """An unchecked request: headers with lower-case names, and the body."""

    headers: Mapping[str, str]
    body: bytes


def check_headers(
    received: ReceivedRequest,
    clock: Clock,
) -> Result[CallerRequest, Answer]:
    """Parse headers and body into a request, or return a `rejected` answer."""
    missing = [
        name for name in REQUIRED_HEADERS if not received.headers.get(name)
    ]
    if missing:
        return Err(
            answer_rejected(
                f'header {missing[0]} is missing',
                'send it; docs/CALLERS.md lists the headers',
            ),
        )
    parsed = _parse_seconds_left(received.headers[DEADLINE], clock)
    match parsed:
        case Err() as err:
            return err
        case Ok(seconds):
            return Ok(_make_request(received, clock.monotonic() + seconds))


def check_terms(req: CallerRequest, terms: Terms) -> Result[Profile, Answer]:
    """Return the request's profile, or an answer if a name is not allowed."""
    workspace = terms.workspaces.get(req.workspace)
    if workspace is None:
        return Err(_unknown_name('workspace', req.workspace))
    if req.service not in terms.services:
        return Err(_unknown_name('service', req.service))
    profile = terms.profiles.get(req.profile)
    if profile is None:
        return Err(_unknown_name('profile', req.profile))
    if profile.service != req.service:
        return Err(
            answer_rejected(
                f'profile {req.profile} belongs to {profile.service}',
                f'send it to {profile.service} or name another profile',
            ),
        )
    if req.profile not in workspace.profiles:
        return Err(
            answer_rejected(
                f'workspace {req.workspace} may not use {req.profile}',
                'name a profile that its terms list',
                HTTPStatus.FORBIDDEN,
            ),
        )
    return Ok(profile)


def check_deadline(req: CallerRequest, clock: Clock) -> Answer | None:
    """Return an answer for a new request whose deadline has passed.

    Not for resends: a request that ran must get its own answer, and `rejected`
    would tell the caller that nothing ran.
    """
    if req.deadline > clock.monotonic():
        return None
    return answer_rejected(
        'the deadline has passed',
        'send a later one; check that both clocks agree',
    )


def compute_fingerprint(body: bytes) -> str:
    """Return a hash of the body, equal for equal contents."""
    return xxh3_128_hexdigest(body)


def _make_request(received: ReceivedRequest, deadline: float) -> CallerRequest:
    headers = received.headers
    return CallerRequest(
        request_id=headers[REQUEST_ID],
        workspace=headers[WORKSPACE],
        service=headers[SERVICE],
        profile=headers[PROFILE],
        deadline=deadline,
        body=received.body,
        fingerprint=compute_fingerprint(received.body),
        stream=wants_stream(received.body),
    )


def wants_stream(body: bytes) -> bool:
    """Whether the body asks for server-sent events."""
    if b'"stream"' not in body:
        return False
    try:
        payload = json.loads(body)
    except ValueError:
        return False
    return isinstance(payload, dict) and payload.get('stream') is True


def _parse_seconds_left(text: str, clock: Clock) -> Result[float, Answer]:
    try:
        deadline = datetime.fromisoformat(text)
    except ValueError:
        return Err(
            answer_rejected(
                f'deadline {text[:MAX_ECHOED_CHARS]!r} is not a time',
                'send RFC 3339 in UTC, as in 2026-12-02T21:00:00Z',
            ),
        )
    if deadline.tzinfo is None:
        deadline = deadline.replace(tzinfo=UTC)
    return Ok((deadline - clock.now()).total_seconds())


def _unknown_name(kind: str, name: str) -> Answer:
    return answer_rejected(
        f'there is no {kind} {name[:MAX_ECHOED_CHARS]!r}',
        'use a name that the published terms hold',
        HTTPStatus.NOT_FOUND,
    )
