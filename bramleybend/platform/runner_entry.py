"""Decodes the entry that a runner writes about itself into the store."""

from ipaddress import ip_address
from types import MappingProxyType
from typing import Annotated, Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.errors import ErrorKind, Problem
from bramleybend.platform.wire_types import Count

MAX_PORT: Final = 65_535
MAX_NAME_LENGTH: Final = 255
MAX_SLOTS: Final = 100_000
# Other writers may leave anything: deep nesting exhausts the decoder's stack.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    KeyError,
)

_Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]

_STATE_BY_NAME: Final = MappingProxyType(
    {'ready': RunnerState.READY, 'draining': RunnerState.LEAVING}
)


class _WireEntry(msgspec.Struct):
    service: _Name
    addr: _Name  # ip:port
    state: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    zone: _Name = ''
    version: object = ''  # of its software
    # Start of the process, in Unix milliseconds. A new value under the same
    # key means a new process, without the requests and memory of the old one.
    born: Count = 0


_decoder: Final = msgspec.json.Decoder(_WireEntry)


def decode_runner(name: str, document: bytes) -> Result[RunnerEntry, Problem]:
    """Return the entry, or a problem if it describes no usable runner."""
    try:
        return Ok(_convert_entry(name, _decoder.decode(document)))
    except DECODE_ERRORS as exc:
        return Err(
            Problem(
                ErrorKind.BAD_RECORD,
                f'the entry of runner {name!r} cannot be used: {exc!r}',
                'see which program wrote it; the other runners are used',
            ),
        )


def _convert_entry(name: str, wire: _WireEntry) -> RunnerEntry:
    host, _, port_text = wire.addr.rpartition(':')
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port {port}')
    return RunnerEntry(
        name,
        wire.born,
        wire.service,
        str(ip_address(host)),
        port,
        wire.zone,
        wire.slots,
        _STATE_BY_NAME[wire.state],
        _version_of(wire),
    )


def _version_of(wire: _WireEntry) -> str:
    version = wire.version
    if isinstance(version, str) and len(version) <= MAX_NAME_LENGTH:
        return version
    return ''
