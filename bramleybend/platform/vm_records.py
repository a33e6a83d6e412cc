"""The register of entry VMs, in a keyed topic of the platform's store."""

from collections.abc import Mapping
from ipaddress import AddressValueError, IPv4Address

from result import Result

from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.errors import Problem
from bramleybend.platform.store_client import StoreClient
from bramleybend.platform.wire_names import VM_TOPIC


class VmRecords:
    """Keeps one record for each VM, with its name as key."""

    def __init__(self, store: StoreClient) -> None:
        """Keep the records in this store."""
        self._store = store

    async def read(self) -> Result[Mapping[str, str], Problem]:
        """Return the registered addresses."""
        page = await self._store.fetch_newest(VM_TOPIC)
        return page.map(_addresses)

    async def add(self, vm: str, address: str) -> Result[None, Problem]:
        """Register a VM in place of its earlier address."""
        return await self._store.append_record(VM_TOPIC, vm, address.encode())

    async def remove(self, vm: str) -> Result[None, Problem]:
        """Remove a VM that is gone."""
        return await self._store.append_record(VM_TOPIC, vm, b'')


def _addresses(page: Page) -> dict[str, str]:
    return {
        record.key: record.content.decode()
        for record in page.records
        if _is_address(record)
    }


def _is_address(record: KeyedRecord) -> bool:
    """Tell whether a record holds an address; other writers' may not."""
    try:
        IPv4Address(record.content.decode())
    except (AddressValueError, UnicodeDecodeError):
        return False
    return True
