"""Table of the newest record of each other member, with pending updates."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from math import log10
from random import Random
from typing import Final

from bramleybend.state.member import Member, MemberState
from bramleybend.state.update_queue import UpdateQueue

# A probe finds a killed VM within about one period. The timeout gives a live
# VM time to learn of the suspicion and refute it, which takes longer with more
# members.
SUSPICION_BASE_S: Final = 1.0
SUSPICION_PER_DECADE_S: Final = 0.8
DEAD_RETENTION_S: Final = 120.0
JOIN_PERIOD_S: Final = 10.0
MAX_UPDATES: Final = 24
MAX_RANDOM_RECORDS: Final = 12  # repair lost updates
MAX_NEWCOMER_RECORDS: Final = 60  # in one reply


def suspicion_timeout_s(members: int) -> float:
    """Return after how many seconds a suspected member counts as dead."""
    return SUSPICION_BASE_S + SUSPICION_PER_DECADE_S * log10(members + 1)


class MemberTable:
    """Records by address; a suspect is declared dead unless it refutes that."""

    def __init__(
        self,
        rng: Random,
        on_new_address: Callable[[str], None],
        now: float,
    ) -> None:
        """Start empty; call `on_new_address` for each address that is new."""
        self.by_address: dict[str, Member] = {}
        self._failed_since: dict[str, float] = {}  # suspected or dead
        self.updates = UpdateQueue()
        self._rng = rng
        self._on_new_address = on_new_address
        self._join_ends_at = now + JOIN_PERIOD_S

    # ---- queries

    def is_dead(self, address: str) -> bool:
        """Whether the address is known and declared dead."""
        member = self.by_address.get(address)
        return member is not None and member.state is MemberState.DEAD

    def is_member(self, address: str) -> bool:
        """Whether the address is known and not declared dead."""
        return address in self.by_address and not self.is_dead(address)

    def members_except(self, address: str) -> list[str]:
        """Return the addresses not declared dead, except the given one."""
        return [
            other
            for other in self.by_address
            if other != address and self.is_member(other)
        ]

    def filter_suspects(self, addresses: Iterable[str]) -> list[str]:
        """Return those of the addresses that are suspected, without repeats."""
        return [
            address
            for address in dict.fromkeys(addresses)
            if (member := self.by_address.get(address))
            and member.state is MemberState.SUSPECT
        ]

    def list_records(self, now: float) -> list[Member]:
        """Return every record, with overdue suspects as dead."""
        return [
            replace(member, state=MemberState.DEAD)
            if self.is_overdue(member, now)
            else member
            for member in self.by_address.values()
        ]

    def is_overdue(self, member: Member, now: float) -> bool:
        """Whether a member was suspected for longer than the timeout."""
        if member.state is not MemberState.SUSPECT:
            return False
        since = self._failed_since.get(member.address, now)
        return now - since >= suspicion_timeout_s(len(self.by_address))

    # ---- commands

    def merge(self, record: Member, now: float) -> None:
        """Store a record and queue it for sending if it is newer."""
        stored = self.by_address.get(record.address)
        if stored is None and record.state is MemberState.DEAD:
            return  # this node has removed it already
        if stored is not None and not record.supersedes(stored):
            return
        self.by_address[record.address] = record
        if stored is None:
            self._on_new_address(record.address)
        if record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            self._failed_since[record.address] = now
        else:
            self._failed_since.pop(record.address, None)
        # The records that a newcomer receives first are known to all others;
        # sending them on would fill its messages for minutes.
        if stored is not None or now >= self._join_ends_at:
            self.updates.add(record.address, len(self.by_address))

    def set_state(self, address: str, state: MemberState, now: float) -> None:
        """Set the state of the incarnation known at an address."""
        member = self.by_address.get(address)
        if member is None:
            return
        if member.state is MemberState.LEAVING:
            # Suspects may own shards. A member that announced that it leaves
            # is silent because it has stopped, and must not own any again.
            state = MemberState.DEAD
        self.merge(replace(member, state=state), now)

    def expire(
        self,
        now: float,
        is_listed: Callable[[str], bool],
    ) -> list[str]:
        """Declare overdue suspects dead; remove and return long dead members.

        Listed members are kept, although the list may be outdated: a VM that
        was only cut off has to receive its record from here to refute it.
        """
        removed = []
        for address, since in list(self._failed_since.items()):
            if self.is_overdue(self.by_address[address], now):
                self.set_state(address, MemberState.DEAD, now)
            elif self.is_dead(address) and now - since > DEAD_RETENTION_S:
                removed.append(address)
        removed = [addr for addr in removed if not is_listed(addr)]
        for address in removed:
            self.by_address.pop(address)
            self._failed_since.pop(address)
            self.updates.remove(address)
        return removed

    def restart_timers(self, now: float) -> None:
        """Restart the timers of all suspected and dead members."""
        self._failed_since = dict.fromkeys(self._failed_since, now)

    def select_for_peer(self, address: str) -> list[Member]:
        """Return updates, some random records and the peer's own record.

        The peer's record lets a peer that is suspected here refute it at once.
        """
        picked = dict.fromkeys(self.updates.next_addresses(MAX_UPDATES))
        picked.update(
            (record.address, None)
            for record in self._sample(MAX_RANDOM_RECORDS)
        )
        if address in self.by_address:
            picked[address] = None
        return [self.by_address[address] for address in picked]

    def select_for_newcomer(self) -> list[Member]:
        """Return up to `MAX_NEWCOMER_RECORDS` random records."""
        return self._sample(MAX_NEWCOMER_RECORDS)

    def _sample(self, size: int) -> list[Member]:
        records = list(self.by_address.values())
        return self._rng.sample(records, min(size, len(records)))
