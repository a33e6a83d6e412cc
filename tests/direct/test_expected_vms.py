"""Registered VMs that were not heard yet."""

import asyncio

from bramleybend.direct.expected_vms import ExpectedVms


async def test_requests_wait_until_the_register_is_read() -> None:
    """Requests of an outage must not be refused for a read of some ms."""
    expected = ExpectedVms()
    expected.is_unknown_until = 10
    waiting = asyncio.create_task(expected.wait_until_known(now=5))
    await asyncio.sleep(0)
    assert not waiting.done()
    expected.add({'entry-2': '10.0.0.2'}, (), valid_until=40)
    async with asyncio.timeout(1):
        await waiting


async def test_requests_do_not_wait_long_for_a_register_that_is_away() -> None:
    """A store that doesn't answer must not hold requests up."""
    expected = ExpectedVms()
    expected.is_unknown_until = 10
    async with asyncio.timeout(1):
        await expected.wait_until_known(now=9.99)


def test_a_vm_that_is_never_heard_expires() -> None:
    """A VM that is gone must not halve the shares of the others for good."""
    expected = ExpectedVms()
    expected.add({'entry-2': '10.0.0.2'}, (), valid_until=40)
    expected.remove_expired(now=39)
    assert 'entry-2' in expected
    expected.remove_expired(now=41)
    assert not expected
