"""Helpers to change the published terms and to check what VMs serve."""

import asyncio
import time
from typing import Any

import yaml

from bramleybend.answers import Outcome
from tests.utils.callers import post
from tests.utils.cluster import EXAMPLE
from tests.utils.entry_vm import EntryVm
from tests.utils.http_client import BrokenCallError, call_json
from tests.utils.ledger import Reading
from tests.utils.scenario import LARGE_SCHOOL, Scenario
from tests.utils.work import Declaration, WorkFactory


def with_profile(name: str) -> str:
    """Return the example terms with one more profile, for all workspaces."""
    document: dict[str, Any] = yaml.safe_load(EXAMPLE.read_text())
    # In the highest tier only the terms decide whether a request is served.
    profile = {**document['profiles']['availability'], 'tier': 1}
    document['profiles'][name] = profile
    for workspace in document['workspaces'].values():
        workspace['profiles'].append(name)
    return yaml.safe_dump(document)


async def ask_under(vm: EntryVm, profile: str) -> Reading | None:
    """Send one request of a profile to a VM, with a ticket of that VM.

    Returns None if the VM gave no ticket or the connection broke.
    """
    factory = WorkFactory(Declaration.load(with_profile(profile)))
    work = factory.plain(LARGE_SCHOOL, profile)
    try:
        address_reply = await call_json('GET', f'{vm.url}/v1/address')
        return await post(
            f'{address_reply["ticket"]}/{work.key}',
            work,
            vm.endpoint,
            time.monotonic() + 5,
        )
    except (BrokenCallError, KeyError):
        return None


async def in_force(scene: Scenario, profile: str) -> bool:
    """Whether every VM serves requests of the profile."""
    readings = await asyncio.gather(
        *(ask_under(vm, profile) for vm in scene.cluster.vms),
    )
    return all(
        reading is not None and reading.outcome is Outcome.DONE
        for reading in readings
    )


async def assert_void(scene: Scenario, profile: str) -> None:
    """Assert that every VM rejects a profile that isn't in force."""
    for vm in scene.cluster.vms:
        reading = await ask_under(vm, profile)
        assert reading is not None
        assert reading.outcome is Outcome.REJECTED, (vm.name, reading)
