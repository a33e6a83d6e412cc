"""The program, run in a process of its own."""

import asyncio
import signal
from pathlib import Path

from tests.direct.cluster import (
    PLAIN,
    RawCaller,
    connect,
    running_cluster,
)
from tests.direct.program import program
from tests.utils.waiting import wait_until

CONNECT_S = 15.0


async def wait_until_connected(host: str, port: int) -> RawCaller:
    """Connect as soon as the program listens."""
    async with asyncio.timeout(CONNECT_S):
        while True:
            try:
                return await connect(host, port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.005)


async def test_a_caller_that_comes_while_the_program_loads_is_served(
    tmp_path: Path,
) -> None:
    """A connection that is accepted while the program loads is served.

    The program listens before it imports its libraries; the request waits in
    the kernel until it is read.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        async with program(cluster, tmp_path) as process:
            cfg = cluster.cfgs[0]
            caller = await wait_until_connected(cfg.front.host, cfg.front.port)
            assert 'event=started' not in process.log_text()
            await caller.send('/read/x')
            assert (await caller.answer()).status == 200
            caller.close()


async def test_a_reload_while_the_program_loads_does_not_end_it(
    tmp_path: Path,
) -> None:
    """A signal that comes before its handler is set ended the process."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        async with program(cluster, tmp_path) as process:
            cfg = cluster.cfgs[0]
            await wait_until_connected(cfg.front.host, cfg.front.port)
            assert 'event=started' not in process.log_text()
            process.send_signal(signal.SIGHUP)
            await wait_until(
                lambda: 'event=started' in process.log_text(), 'the start'
            )
            process.check_running()


async def test_signals_reload_and_stop_without_cutting_anything(
    tmp_path: Path,
) -> None:
    """SIGHUP changes nothing for callers; SIGTERM ends with exit code 0."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        async with program(cluster, tmp_path) as process:
            await wait_until(
                lambda: 'event=runner ' in process.log_text(), 'the runner'
            )
            process.send_signal(signal.SIGHUP)
            await wait_until(
                lambda: 'event=reloaded' in process.log_text(), 'the reload'
            )
            assert (await cluster.call('/read/x')).status == 200
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert 'event=stopped' in process.log_text()


async def test_no_key_or_body_is_logged(tmp_path: Path) -> None:
    """Keys and bodies are not logged, whether a request is served or not."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        async with program(cluster, tmp_path) as process:
            await wait_until(
                lambda: 'event=runner ' in process.log_text(), 'the runner'
            )
            secret = b'a very private body'
            await cluster.call('/read/x', body=secret)
            await cluster.call('/read/x', key='stolen-key', body=secret)
            await wait_until(
                lambda: (
                    'event=answered' in process.log_text()
                    and 'event=denied' in process.log_text()
                ),
                'the lines',
            )
            for word in ('key-1', 'stolen-key', secret.decode()):
                assert word not in process.log_text()
