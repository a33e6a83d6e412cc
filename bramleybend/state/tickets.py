"""Tickets and request ids: the one home that may ever dispatch a request.

A caller mints its request ids under a ticket, and the ticket names one
incarnation of one VM. The right to dispatch therefore stands in the id itself
and never moves, so that neither a lease nor agreement between VMs is needed.
"""

import re
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Final

from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import JournalMode

MAX_PORT: Final = 65535
MAX_SHOWN: Final = 80
INTENT_FIRST_MARK: Final = 'i'
TICKET_FORM: Final = re.compile(
    '(?P<address>[0-9a-f.:]{2,45}):(?P<port>[0-9]{1,5})'
    + ':(?P<incarnation>[0-9a-f]{1,64}):(?P<epoch>[0-9]{1,12})(?P<mark>i?)',
)
OWN_PART: Final = re.compile('[A-Za-z0-9._-]{1,128}')


@dataclass(frozen=True)
class Ticket:
    """Names the home of the ids minted under it.

    Ids under an `intent_first` ticket are dispatched only once their intent
    stands in the log, whatever the terms say by then. The mark is part of the
    id, because a VM that reads the journal of a gone home must know which of
    its dispatches needed an intent; the terms or the profile of a resend may
    have changed since.
    """

    address: str
    port: int
    incarnation: str
    epoch: int
    intent_first: bool = False

    def __str__(self) -> str:
        """Return the form that callers keep; safe in URLs and headers."""
        mark = INTENT_FIRST_MARK if self.intent_first else ''
        return (
            f'{self.address}:{self.port}:{self.incarnation}:{self.epoch}{mark}'
        )

    @property
    def endpoint(self) -> str:
        """Return `ip:port`; a hint from a caller, so forward to members only."""
        return f'{self.address}:{self.port}'


@dataclass(frozen=True)
class RequestId:
    """A caller's name for one request, under the ticket of its home."""

    ticket: Ticket
    own: str

    def __str__(self) -> str:
        """Return `<ticket>/<own part>`."""
        return f'{self.ticket}/{self.own}'


def parse_ticket(text: str) -> Result[Ticket, Problem]:
    """Read a ticket; each ticket has exactly one spelling."""
    form = TICKET_FORM.fullmatch(text)
    if form is None:
        return Err(_bad_ticket(text))
    ticket = Ticket(
        form['address'],
        int(form['port']),
        form['incarnation'],
        int(form['epoch']),
        intent_first=bool(form['mark']),
    )
    # Two spellings of one ticket would be two ids in the journal but one in
    # the home's table, so `007` or a long IPv6 form is refused.
    if not _is_address(ticket) or str(ticket) != text:
        return Err(_bad_ticket(text))
    return Ok(ticket)


def parse_request_id(text: str) -> Result[RequestId, Problem]:
    """Read `<ticket>/<own part>`."""
    ticket_text, _, own = text.partition('/')
    if OWN_PART.fullmatch(own) is None:
        return Err(
            Problem(
                ErrorKind.BAD_REQUEST,
                f'request id has no valid own part: {_shown(text)}',
                'add 1 to 128 of A-Z a-z 0-9 . _ - after <ticket>/',
            ),
        )
    return parse_ticket(ticket_text).map(lambda ticket: RequestId(ticket, own))


def dispatch_mode(
    request_id: RequestId,
    profile_mode: JournalMode,
) -> JournalMode:
    """Return when the home writes the intent: the stricter of id and terms.

    Terms that turn to `behind` while a marked id is under way must not lead
    to a dispatch without an intent: a reader of the journal would take the
    missing intent for proof that the request was not run.
    """
    if request_id.ticket.intent_first:
        return JournalMode.BEFORE_DISPATCH
    return profile_mode


def _is_address(ticket: Ticket) -> bool:
    try:
        address = ip_address(ticket.address)
    except ValueError:
        return False
    return str(address) == ticket.address and 0 < ticket.port <= MAX_PORT


def _shown(text: str) -> str:
    return repr(text[:MAX_SHOWN])


def _bad_ticket(text: str) -> Problem:
    return Problem(
        ErrorKind.BAD_REQUEST,
        f'not a ticket: {_shown(text)}',
        'ask any entry VM for addresses and mint ids under the ticket it gives',
    )
