"""Tickets and request ids, which name the only home that may dispatch.

A caller creates its request ids under a ticket, and the ticket names one
incarnation of one VM. The id itself therefore determines which process may
dispatch the request, so neither a lease nor consensus between VMs is needed.
"""

import re
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Final

from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import JournalMode

MAX_PORT: Final = 65535
MAX_SHOWN_CHARS: Final = 80
INTENT_FIRST_MARK: Final = 'i'
TICKET_PATTERN: Final = re.compile(
    '(?P<address>[0-9a-f.:]{2,45}):(?P<port>[0-9]{1,5})'
    + ':(?P<incarnation>[0-9a-f]{1,64}):(?P<epoch>[0-9]{1,12})(?P<mark>i?)',
)
OWN_PART_PATTERN: Final = re.compile('[A-Za-z0-9._-]{1,128}')


@dataclass(frozen=True)
class Ticket:
    """Names the home of the request ids created under it.

    The home dispatches an id under an `intent_first` ticket only after its
    intent is in the log, even if the terms have changed by then. The mark is
    part of the id because a VM that reads the journal of a lost home must
    know which dispatches needed an intent; the terms, or the profile that a
    resend names, may have changed in the meantime.
    """

    address: str
    port: int
    incarnation: str
    epoch: int
    intent_first: bool = False

    def __str__(self) -> str:
        """Return the text that callers keep; it is safe in URLs and headers."""
        mark = INTENT_FIRST_MARK if self.intent_first else ''
        return (
            f'{self.address}:{self.port}:{self.incarnation}:{self.epoch}{mark}'
        )

    @property
    def endpoint(self) -> str:
        """Return `ip:port`; not trusted, so forward only to known members."""
        return f'{self.address}:{self.port}'


@dataclass(frozen=True)
class RequestId:
    """The ticket of a request's home, and a part chosen by the caller."""

    ticket: Ticket
    own_part: str

    def __str__(self) -> str:
        """Return `<ticket>/<own part>`."""
        return f'{self.ticket}/{self.own_part}'


def parse_ticket(text: str) -> Result[Ticket, Problem]:
    """Parse a ticket; each ticket has exactly one valid spelling."""
    match = TICKET_PATTERN.fullmatch(text)
    if match is None:
        return Err(_make_ticket_problem(text))
    ticket = Ticket(
        match['address'],
        int(match['port']),
        match['incarnation'],
        int(match['epoch']),
        intent_first=bool(match['mark']),
    )
    # Two spellings of a ticket would be two ids in the journal but a single
    # id in the home's table, so `007` or a long IPv6 form is rejected.
    if not _has_valid_endpoint(ticket) or str(ticket) != text:
        return Err(_make_ticket_problem(text))
    return Ok(ticket)


def parse_request_id(text: str) -> Result[RequestId, Problem]:
    """Parse `<ticket>/<own part>`."""
    ticket_text, _, own = text.partition('/')
    if OWN_PART_PATTERN.fullmatch(own) is None:
        return Err(
            Problem(
                ErrorKind.BAD_REQUEST,
                f'request id has no valid own part: {_shorten(text)}',
                'add 1 to 128 of A-Z a-z 0-9 . _ - after <ticket>/',
            ),
        )
    return parse_ticket(ticket_text).map(lambda ticket: RequestId(ticket, own))


def dispatch_mode(
    request_id: RequestId,
    profile_mode: JournalMode,
) -> JournalMode:
    """Return the stricter of the journal modes of the id and the profile.

    If the terms change to `behind` while an id under an `intent_first` ticket
    is in progress, the home must still write its intent first: a VM that
    reads the journal takes a missing intent as proof that it never ran.
    """
    if request_id.ticket.intent_first:
        return JournalMode.BEFORE_DISPATCH
    return profile_mode


def _has_valid_endpoint(ticket: Ticket) -> bool:
    try:
        address = ip_address(ticket.address)
    except ValueError:
        return False
    return str(address) == ticket.address and 0 < ticket.port <= MAX_PORT


def _shorten(text: str) -> str:
    return repr(text[:MAX_SHOWN_CHARS])


def _make_ticket_problem(text: str) -> Problem:
    return Problem(
        ErrorKind.BAD_REQUEST,
        f'not a ticket: {_shorten(text)}',
        'ask any entry VM for addresses and mint ids under the ticket it gives',
    )
