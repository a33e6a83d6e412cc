"""Runs the program of an entry VM in a process of its own."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.direct.cluster import Cluster
from tests.utils.processes import Process


@asynccontextmanager
async def program(cluster: Cluster, folder: Path) -> AsyncIterator[Process]:
    """Run the program in place of the cluster's last VM."""
    await cluster.vms.pop().kill()
    cfg = cluster.cfgs[len(cluster.vms)]
    seeds = f'{cluster.cfgs[0].address}:1' if cluster.vms else ''
    settings = folder / 'settings.conf'
    settings.write_text(
        f'BRAMLEYBEND_VM=entry-9\nBRAMLEYBEND_DOMAIN=walton\n'
        f'BRAMLEYBEND_ADDRESS={cfg.address}\n'
        f'BRAMLEYBEND_FRONT={cfg.front.host}:{cfg.front.port}\n'
        f'BRAMLEYBEND_READY={cfg.ready.host}:{cfg.ready.port}\n'
        f'BRAMLEYBEND_DIRECTORY={cfg.directory.host}:{cfg.directory.port}\n'
        f'BRAMLEYBEND_PEER_PORT={cfg.peer_port}\n'
        f'BRAMLEYBEND_STORE={cfg.store.host}:{cfg.store.port}\n'
        f'BRAMLEYBEND_SEEDS={seeds}\nBRAMLEYBEND_FIRST_START=true\nOTHER=x\n'
    )
    process = Process(
        'entry-9',
        ['tests.direct.entry_process', str(settings)],
        folder / 'entry.log',
    )
    await process.start()
    try:
        yield process
    finally:
        await process.kill()
