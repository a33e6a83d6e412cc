"""A client of bramleybend that uses only the standard library.

See docs/CALLERS.md.
"""

import json
import sys
import time
import uuid
from datetime import UTC, datetime, timedelta
from http.client import HTTPException
from urllib.error import HTTPError
from urllib.request import Request, urlopen

DEADLINE_S = 30
# Includes timeouts and incomplete responses.
CONNECTION_ERRORS = (OSError, HTTPException)


Reply = tuple[str, str, float]  # outcome, answer, seconds until a retry


def get_ticket(entries: list[str], profile: str) -> tuple[list[str], str]:
    """Return addresses and a ticket from the first entry VM that answers."""
    for entry in entries:
        url = f'http://{entry}/v1/address?profile={profile}'
        try:
            answer = json.load(urlopen(url, timeout=2))
        except CONNECTION_ERRORS:
            continue  # try the next entry VM
        return answer['addresses'], answer['ticket']
    return [], ''


def post(addresses: list[str], headers: dict[str, str], body: bytes) -> Reply:
    """Send a request under one id until an address returns a full answer."""
    for address in addresses * 3:
        req = Request(f'http://{address}/v1/requests', body, headers)
        try:
            reply = urlopen(req, timeout=DEADLINE_S)
        except HTTPError as exc:
            reply = exc  # an answer with any outcome but `done`
        except CONNECTION_ERRORS:
            continue  # retry with the same id, so that it runs at most once
        try:
            text = reply.read().decode()
        except CONNECTION_ERRORS:
            continue
        pause = float(reply.headers.get('Retry-After', 1))
        return reply.headers.get('Bramleybend-Outcome', 'unknown'), text, pause
    return 'unknown', 'no address answered', 1


def send(entries: list[str], names: list[str], body: bytes) -> tuple[str, str]:
    """Send until the outcome isn't `not_run`; return outcome and answer."""
    deadline = datetime.now(UTC) + timedelta(seconds=DEADLINE_S)
    headers = dict(zip(('Workspace', 'Service', 'Profile'), names, strict=True))
    headers['Deadline'] = deadline.isoformat()
    headers = {f'Bramleybend-{name}': headers[name] for name in headers}
    while True:
        addresses, ticket = get_ticket(entries, names[-1])
        headers['Bramleybend-Request-Id'] = f'{ticket}/{uuid.uuid4().hex}'
        outcome, text, pause = post(addresses, headers, body)
        done = outcome != 'not_run' and addresses
        if done or datetime.now(UTC) >= deadline:
            return outcome, text
        time.sleep(pause)  # not run: retry with a new ticket and a new id


if __name__ == '__main__':
    print(*send(sys.argv[1].split(','), sys.argv[2:5], sys.stdin.buffer.read()))
