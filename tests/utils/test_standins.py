"""The stand-ins behave as docs/PLATFORM.md says, and their faults work."""

import json
from collections.abc import AsyncIterator

import pytest

from tests.utils.engine import POISON, Engine, EngineConfig
from tests.utils.expected_answers import (
    content_hash,
    expected_body,
    expected_text,
)
from tests.utils.http_client import BrokenCallError, call, call_json, exchange
from tests.utils.log_service import LogService
from tests.utils.plain_service import PlainService
from tests.utils.vm_list import VmListService

HOST = '127.0.0.1'
PROMPT = 'syllabus ' * 200
VM = {
    'name': 'runner-1',
    'address': HOST,
    'port': 1,
    'service': 'briefing-llm',
    'domain': 'walton',
    'state': 'live',
}


@pytest.fixture
async def log() -> AsyncIterator[LogService]:
    """A new log service."""
    service = LogService(HOST, 0)
    await service.start()
    yield service
    await service.stop()


@pytest.fixture
async def engine() -> AsyncIterator[Engine]:
    """A fast engine with one slot and a queue of one request."""
    cfg = EngineConfig(
        slots=1,
        max_waiting=1,
        decode_tps=200,
        cache_lag_s=0,
        cache_drop=0,
        restart_s=0.01,
    )
    service = Engine(HOST, 0, cfg=cfg)
    await service.start()
    yield service
    await service.stop()


@pytest.fixture
async def plain() -> AsyncIterator[PlainService]:
    """A plain service with one slot."""
    service = PlainService(HOST, 0, latency_ms=1, slots=1)
    await service.start()
    yield service
    await service.stop()


async def _append(log: LogService, *records: str) -> int:
    reply = await call_json(
        'POST',
        f'{log.url}/streams/s/records',
        {'records': records},
    )
    return int(reply['offset'])


async def _complete_stream(
    engine: Engine,
    run_id: str,
    prompt: str = PROMPT,
    max_tokens: int = 10,
) -> list[str]:
    body = {'prompt': prompt, 'max_tokens': max_tokens, 'stream': True}
    url = f'{engine.url}/v1/completions'
    headers = {'X-Run-Id': run_id}
    reply = await call('POST', url, headers, json.dumps(body).encode())
    assert reply.status == 200
    return _event_data(reply.body)


def _event_data(body: bytes) -> list[str]:
    return [
        line.removeprefix('data: ')
        for line in body.decode().split('\n')
        if line
    ]


def _joined_text(events: list[str]) -> str:
    return ''.join(json.loads(event).get('text', '') for event in events)


async def test_the_log_gives_offsets_and_reads_back(log: LogService) -> None:
    """The records of one append have consecutive offsets."""
    assert await _append(log, 'a', 'b') == 0
    assert await _append(log, 'c') == 2
    batch = await call_json('GET', f'{log.url}/streams/s/records?from=1')
    assert [record['data'] for record in batch['records']] == ['b', 'c']
    assert batch['next_offset'] == 3


async def test_a_lost_reply_leaves_its_record(log: LogService) -> None:
    """An append takes effect although its reply is lost."""
    await call_json('POST', f'{log.url}/faults', {'lose_replies': 1})
    with pytest.raises(BrokenCallError):
        await _append(log, 'a')
    assert log.records('s') == ['a']
    assert await _append(log, 'b') == 1


async def test_a_forgotten_record_moves_the_first_offset(
    log: LogService,
) -> None:
    """A read below the first retained record starts at that record."""
    await _append(log, 'a', 'b', 'c')
    await call_json('POST', f'{log.url}/faults', {'keep_last': 1})
    batch = await call_json('GET', f'{log.url}/streams/s/records?from=0')
    assert batch['first_offset'] == 2
    assert batch['records'] == [{'offset': 2, 'data': 'c'}]


async def test_a_large_record_is_refused_whole(log: LogService) -> None:
    """An append with a record that is too large appends nothing."""
    log.faults.max_record_bytes = 3
    reply = await call(
        'POST',
        f'{log.url}/streams/s/records',
        body=json.dumps({'records': ['a', 'long']}).encode(),
    )
    assert reply.status == 413
    assert log.records('s') == []


async def test_a_log_that_is_down_says_so(log: LogService) -> None:
    """A call that is answered with 503 appends nothing."""
    log.faults.down = True
    reply = await call('POST', f'{log.url}/streams/s/records', body=b'{}')
    assert reply.status == 503
    assert log.records('s') == []


async def test_the_list_lags() -> None:
    """A change is not visible before the lag has passed."""
    service = VmListService(HOST, 0)
    await service.start()
    await call_json('PUT', f'{service.url}/vms', {'vms': [VM]})
    service.faults.lag_s = 60
    service.mark_leaving('runner-1')
    seen = await call_json('GET', f'{service.url}/vms')
    await service.stop()
    assert [vm['state'] for vm in seen['vms']] == ['live']


async def test_an_engine_streams_the_expected_answer(engine: Engine) -> None:
    """The stream has the tokens, then the usage, then `[DONE]`."""
    events = await _complete_stream(engine, 'r1')
    assert events[-1] == '[DONE]'
    assert _joined_text(events[:-1]) == expected_text(PROMPT, 10)


async def test_a_repeated_prompt_comes_from_the_cache(engine: Engine) -> None:
    """The second run prefills only the last, incomplete block."""
    await _complete_stream(engine, 'r1')
    events = await _complete_stream(engine, 'r2')
    usage = json.loads(events[-2])['usage']
    assert usage['cached_tokens'] == 448
    feed = await call_json('GET', f'{engine.url}/v1/cache-events?from=0')
    assert [event['kind'] for event in feed['events']] == ['stored'] * 7


async def test_a_known_run_id_is_refused(engine: Engine) -> None:
    """An engine admits a run id only once."""
    await _complete_stream(engine, 'r1')
    url = f'{engine.url}/v1/completions'
    reply = await call('POST', url, {'X-Run-Id': 'r1'}, b'{}')
    assert reply.status == 409
    assert len(engine.admitted) == 1


async def test_a_cut_stream_is_resumed_where_it_broke(engine: Engine) -> None:
    """The run continues while no client reads its stream."""
    engine.faults.cut_streams = 1
    with pytest.raises(BrokenCallError):
        await _complete_stream(engine, 'r1')
    reply = await call('GET', f'{engine.url}/v1/runs/r1/events?from=3')
    events = _event_data(reply.body)
    assert json.loads(events[0])['index'] == 3
    assert events[-1] == '[DONE]'


async def test_a_cancelled_run_ends_without_the_end_mark(
    engine: Engine,
) -> None:
    """Without `[DONE]` a reader can't regard the stream as complete."""
    body = {'prompt': PROMPT, 'max_tokens': 10_000, 'stream': True}
    async with exchange(
        'POST',
        f'{engine.url}/v1/completions',
        {'X-Run-Id': 'r1'},
        json.dumps(body).encode(),
    ) as conn:
        await call('POST', f'{engine.url}/v1/runs/r1/cancel')
        streamed = b''.join([chunk async for chunk in conn.chunks()])
    assert b'[DONE]' not in streamed
    assert engine.admitted[0].state == 'cancelled'


async def test_poison_breaks_every_run_and_is_forgotten(
    engine: Engine,
) -> None:
    """A crash drops the connections, and the engine restarts empty."""
    with pytest.raises(BrokenCallError):
        await _complete_stream(engine, 'r1', f'{POISON} {PROMPT}')
    assert [run.state for run in engine.admitted] == ['crashed']
    assert not engine.batch.running


async def test_a_plain_service_records_what_it_ran(
    plain: PlainService,
) -> None:
    """The service also records a call whose answer was lost."""
    url = f'{plain.url}/call'
    reply = await call('POST', url, {'X-Run-Id': 'r1'}, b'slot 1')
    assert reply.body == expected_body(b'slot 1')
    plain.faults.die_after_effect = 1
    with pytest.raises(BrokenCallError):
        await call('POST', url, {'X-Run-Id': 'r2'}, b'slot 2')
    assert [recorded.body_hash for recorded in plain.calls] == [
        content_hash(b'slot 1'),
        content_hash(b'slot 2'),
    ]
