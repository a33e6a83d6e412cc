"""What counts as a final response of a peer."""

from http import HTTPStatus
from typing import Final

import h11

# The last of the five classes of status codes is 5xx (RFC 9110, section 15).
STATUS_LIMIT: Final = 600


def require_final_response(event: object) -> h11.Response:
    """Return `event` if it is the head of a final response.

    Raises `EOFError` if the connection ended in its place, and
    `h11.RemoteProtocolError` if its status is not one of HTTP.
    """
    if not isinstance(event, h11.Response):
        raise EOFError('the connection ended before an answer')
    if not HTTPStatus.OK <= event.status_code < STATUS_LIMIT:
        raise h11.RemoteProtocolError(
            f'the answer has the invalid status {event.status_code}'
        )
    return event
