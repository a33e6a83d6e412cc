"""A caller of bramleybend in the standard library alone; docs/CALLERS.md."""

import json
import sys
import time
import uuid
from datetime import UTC, datetime, timedelta
from http.client import HTTPException
from urllib.error import HTTPError
from urllib.request import Request, urlopen

PATIENCE_S = 30
BROKEN = (OSError, HTTPException)  # also no answer in time, or half of one


Told = tuple[str, str, float]  # outcome, answer, when to come back


def ask(entries: list[str], profile: str) -> tuple[list[str], str]:
    """Return addresses and a ticket from the first entry VM that serves."""
    for entry in entries:
        url = f'http://{entry}/v1/address?profile={profile}'
        try:
            told = json.load(urlopen(url, timeout=2))
        except BROKEN:
            continue  # the next entry VM may serve
        return told['addresses'], told['ticket']
    return [], ''


def post(addresses: list[str], headers: dict[str, str], body: bytes) -> Told:
    """Send one id until an answer comes whole, to whichever address."""
    for address in addresses * 3:
        req = Request(f'http://{address}/v1/requests', body, headers)
        try:
            reply = urlopen(req, timeout=PATIENCE_S)
        except HTTPError as exc:
            reply = exc  # any answer but `done`
        except BROKEN:
            continue  # the same id again: it runs once, wherever it goes
        try:
            text = reply.read().decode()
        except BROKEN:
            continue
        pause = float(reply.headers.get('Retry-After', 1))
        return reply.headers.get('Bramleybend-Outcome', 'unknown'), text, pause
    return 'unknown', 'no address answered', 1


def send(entries: list[str], names: list[str], body: bytes) -> tuple[str, str]:
    """Send until an outcome other than `not_run` is known; return both."""
    due = datetime.now(UTC) + timedelta(seconds=PATIENCE_S)
    headers = dict(zip(('Workspace', 'Service', 'Profile'), names, strict=True))
    headers['Deadline'] = due.isoformat()
    headers = {f'Bramleybend-{name}': headers[name] for name in headers}
    while True:
        addresses, ticket = ask(entries, names[-1])
        headers['Bramleybend-Request-Id'] = f'{ticket}/{uuid.uuid4().hex}'
        outcome, text, pause = post(addresses, headers, body)
        done = outcome != 'not_run' and addresses
        if done or datetime.now(UTC) >= due:
            return outcome, text
        time.sleep(pause)  # it was not run: a new ticket and a new id


if __name__ == '__main__':
    print(*send(sys.argv[1].split(','), sys.argv[2:5], sys.stdin.buffer.read()))
