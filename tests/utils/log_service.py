"""In-memory stand-in for the platform's log service."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

from tests.utils.faults import MILLISECONDS, Faults, FaultSampler, FaultyServer
from tests.utils.http_server import (
    DropConnectionError,
    HttpRequest,
    HttpResponse,
    json_response,
)
from tests.utils.standin_program import parser, run


@dataclass
class LogFaults(Faults):
    """Faults of the log service.

    `lose_replies` appends the records and drops the connection unanswered.
    """

    lose_replies: float = 0  # count if 1 or more, else a probability
    duplicate_appends: float = 0  # append the same records twice
    max_record_bytes: int = 1_000_000
    keep_last: int = 0  # retained records per stream; 0 keeps all
    # First retained offset, by stream.
    forget_below: dict[str, int] = field(default_factory=dict)


@dataclass
class _Stream:
    first_offset: int = 0
    records: list[str] = field(default_factory=list)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def forget_below(self, offset: int) -> None:
        count = min(max(offset - self.first_offset, 0), len(self.records))
        self.records = self.records[count:]
        self.first_offset += count


class LogService:
    """Append-only record streams with offsets and injected faults."""

    def __init__(self, host: str, port: int, seed: int = 0) -> None:
        """Set the address; `start` binds it."""
        self.faults = LogFaults()
        self.server = FaultyServer(host, port, self.faults, self._handle)
        self.appends = 0
        self.reads = 0
        self._streams: dict[str, _Stream] = {}
        self._fault_sampler = FaultSampler(Random(seed))

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return self.server.http.url

    @property
    def stream_names(self) -> list[str]:
        """Return the names of all streams ever appended to or read."""
        return list(self._streams)

    async def start(self) -> None:
        """Listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop()

    def records(self, stream: str) -> list[str]:
        """Return the retained records of a stream."""
        return list(self._stream(stream).records)

    def append(self, stream_name: str, records: list[str]) -> int:
        """Append records; only the retention faults apply.

        Returns the offset of the first record.
        """
        stream = self._stream(stream_name)
        offset = stream.next_offset
        stream.records.extend(records)
        self.appends += 1
        stream.appended.set()
        stream.appended = asyncio.Event()
        return offset

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/stats':
            return json_response(self._stats())
        _, root, name, kind = req.path.split('/')
        if (root, kind) != ('streams', 'records'):
            return json_response({}, HTTPStatus.NOT_FOUND)
        if req.method == 'POST':
            return self._append(name, req.json()['records'])
        return await self._read(name, req)

    def _append(self, name: str, records: list[str]) -> HttpResponse:
        largest = max(len(record.encode()) for record in records)
        if largest > self.faults.max_record_bytes:
            return json_response(
                {'error': 'record too large'},
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
        offset = self.append(name, records)
        if self._fault_sampler.should_occur(self.faults, 'duplicate_appends'):
            self.append(name, records)
        if self._fault_sampler.should_occur(self.faults, 'lose_replies'):
            raise DropConnectionError
        return json_response({'offset': offset})

    async def _read(self, name: str, req: HttpRequest) -> HttpResponse:
        self.reads += 1
        start = int(req.query.get('from', '0'))
        limit = int(req.query.get('limit', '500'))
        stream = self._stream(name)
        if start >= stream.next_offset:
            await self._wait(stream, float(req.query.get('wait_ms', '0')))
        if self.faults.down:
            return json_response({}, HTTPStatus.SERVICE_UNAVAILABLE)
        start = max(start, stream.first_offset)
        skipped = start - stream.first_offset
        batch = stream.records[skipped : skipped + limit]
        return json_response(
            {
                'first_offset': stream.first_offset,
                'next_offset': stream.next_offset,
                'records': [
                    {'offset': start + index, 'data': record}
                    for index, record in enumerate(batch)
                ],
            },
        )

    async def _wait(self, stream: _Stream, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / MILLISECONDS):
                await stream.appended.wait()
        except TimeoutError:
            return

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        stream.forget_below(self.faults.forget_below.get(name, 0))
        if self.faults.keep_last:
            stream.forget_below(stream.next_offset - self.faults.keep_last)
        return stream

    def _stats(self) -> dict[str, object]:
        return {
            'appends': self.appends,
            'reads': self.reads,
            'streams': {
                name: [stream.first_offset, stream.next_offset]
                for name, stream in self._streams.items()
            },
        }


def main() -> None:
    """Run the log service as a program."""
    flags = parser('Stand-in log service').parse_args()
    run(lambda: LogService(flags.host, flags.port, flags.seed))


if __name__ == '__main__':
    main()
