"""Reads the parts of a request's prompt from its headers."""

from bramleybend.clients.channel import HeaderList
from bramleybend.direct.header_codec import first_header
from bramleybend.platform.wire_names import PROMPT_PARTS


def shared_parts(headers: HeaderList) -> tuple[str, ...]:
    """Return the IDs of all parts but the last, which is the request's own."""
    text = first_header(headers, PROMPT_PARTS.encode()).decode('latin-1')
    parts = [entry.partition(':')[0].strip() for entry in text.split(',')]
    return tuple(dict.fromkeys(part for part in parts[:-1] if part))
