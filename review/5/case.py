"""Callers leave while they wait; their requests reach the runner later."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))
from standins import (  # noqa: E402
    APP,
    World,
    chunked_request,
    play,
    read_answer,
    response,
)

BODY = b'x' * 90_000  # the largest of the sheet has 100,000 bytes
CHUNK_BYTES = 512
WORK_S = 1.0
CALLERS = 40
LEAVING = 12  # 0.3 of them
LEAVES_AFTER_S = 0.4
LATE_S = 0.5
A_FEW = 3


async def answer(runner, req, writer):
    await asyncio.sleep(WORK_S)
    writer.write(response('200 OK', b'{}', runner.stamp(req.attempt)))


async def call(vm, attempt, leaves, record):
    """Send one request; return when the caller left, if it did."""
    reader, writer = await asyncio.open_connection(*vm.front)
    writer.write(chunked_request('/book/x', attempt, BODY, CHUNK_BYTES))
    await writer.drain()
    record(f'caller: sent {attempt}')
    try:
        async with asyncio.timeout(LEAVES_AFTER_S if leaves else 9):
            status, _, _ = await read_answer(reader)
        record(f'caller: {attempt}: {status}')
    except TimeoutError:
        record(f'caller: {attempt}: closes its channel without an answer')
        return time.monotonic()
    except (OSError, EOFError) as exc:
        record(f'caller: {attempt}: no answer: {exc!r}')
    finally:
        writer.close()
    return None


async def case(record, has_trouble):
    async with World(record) as world:
        runner = await world.add_runner('i-1', APP, 6, answer)
        await world.add_vms(2)
        vm = world.vms[0]
        calls = {}
        for number in range(CALLERS):
            leaves = number >= CALLERS - LEAVING
            attempt = f'leaves-{number}' if leaves else f'stays-{number}'
            calls[attempt] = asyncio.create_task(
                call(vm, attempt, leaves and has_trouble, record)
            )
            await asyncio.sleep(0.005)
        left = {name: await task for name, task in calls.items()}
        await asyncio.sleep(1)
        late = []
        for received_at, attempt in runner.received:
            left_at = left.get(attempt)
            if left_at is not None and received_at - left_at > LATE_S:
                late.append(attempt)
                record(
                    f'GONE: {attempt} reached the runner'
                    f' {received_at - left_at:.2f} s after its caller left'
                )
        record(f'{len(late)} of {LEAVING} reached the runner late')
        return len(late) > A_FEW


play(case)
