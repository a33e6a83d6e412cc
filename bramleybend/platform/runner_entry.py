"""Decodes the entry that a runner writes about itself into the store."""

from ipaddress import ip_address
from types import MappingProxyType
from typing import Final

import msgspec
from result import Err, Ok, Result

from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.errors import ErrorKind, Problem

MAX_PORT: Final = 65_535

_STATE_BY_NAME: Final = MappingProxyType(
    {'ready': RunnerState.READY, 'draining': RunnerState.LEAVING}
)


class _WireEntry(msgspec.Struct):
    service: str
    addr: str  # ip:port
    state: str
    slots: int
    zone: str = ''
    version: object = ''  # of its software
    # Start of the process, in Unix milliseconds. A new value under the same
    # key means a new process, without the requests and memory of the old one.
    born: int = 0


_decoder: Final = msgspec.json.Decoder(_WireEntry)


def decode_runner(name: str, document: bytes) -> Result[RunnerEntry, Problem]:
    """Return the entry, or a problem if it describes no usable runner."""
    try:
        return Ok(_convert_entry(name, _decoder.decode(document)))
    except (msgspec.MsgspecError, ValueError, KeyError) as exc:
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
    if not 0 < port <= MAX_PORT or wire.slots < 1:
        raise ValueError(f'port {port}, slots {wire.slots}')
    return RunnerEntry(
        name,
        wire.born,
        wire.service,
        str(ip_address(host)),
        port,
        wire.zone,
        wire.slots,
        _STATE_BY_NAME[wire.state],
        wire.version if isinstance(wire.version, str) else '',
    )
