"""The newest record of each other member, and what is yet to be passed on."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from math import log10
from random import Random
from typing import Final

from bramleybend.state.member import Member, MemberState
from bramleybend.state.updates import UpdateQueue

# A killed VM is met by a probe in about a period; the wait gives a live one
# time to hear of the suspicion and answer, which takes longer among more.
SUSPECT_S: Final = 1.0
SUSPECT_PER_DECADE_S: Final = 0.8
FORGET_S: Final = 120.0
JOIN_S: Final = 10.0
MAX_UPDATES: Final = 24
MAX_FILL: Final = 12  # random records, which repair what news has missed
SLICE: Final = 60  # records for a newcomer, in one message


def suspect_s(members: int) -> float:
    """Return how long a suspicion may stand among this many members."""
    return SUSPECT_S + SUSPECT_PER_DECADE_S * log10(members + 1)


class RecordTable:
    """Records by address; suspicion ends in death unless taken back."""

    def __init__(
        self,
        rng: Random,
        on_new: Callable[[str], None],
        now: float,
    ) -> None:
        """Start empty; `on_new` hears of each address met first."""
        self.by_address: dict[str, Member] = {}
        self._since: dict[str, float] = {}  # of suspicion or death
        self.news = UpdateQueue()
        self._rng = rng
        self._on_new = on_new
        self._joined = now + JOIN_S

    # ---- queries

    def is_dead(self, address: str) -> bool:
        """Whether the address is known and declared dead."""
        member = self.by_address.get(address)
        return member is not None and member.state is MemberState.DEAD

    def is_member(self, address: str) -> bool:
        """Whether the address is known and not declared dead."""
        return address in self.by_address and not self.is_dead(address)

    def members_but(self, address: str) -> list[str]:
        """Return the addresses not declared dead, without one."""
        return [
            other
            for other in self.by_address
            if other != address and self.is_member(other)
        ]

    def suspects_of(self, addresses: Iterable[str]) -> list[str]:
        """Return those of the addresses that stand suspected."""
        return [
            address
            for address in dict.fromkeys(addresses)
            if (member := self.by_address.get(address))
            and member.state is MemberState.SUSPECT
        ]

    def current(self, now: float) -> list[Member]:
        """Return every record, with overdue suspicions as deaths."""
        return [
            replace(member, state=MemberState.DEAD)
            if self.is_overdue(member, now)
            else member
            for member in self.by_address.values()
        ]

    def is_overdue(self, member: Member, now: float) -> bool:
        """Whether a suspicion has stood for too long."""
        if member.state is not MemberState.SUSPECT:
            return False
        since = self._since.get(member.address, now)
        return now - since >= suspect_s(len(self.by_address))

    # ---- commands

    def learn(self, record: Member, now: float) -> None:
        """Keep a record and pass it on, if it is news."""
        known = self.by_address.get(record.address)
        if known is None and record.state is MemberState.DEAD:
            return  # forgotten here already
        if known is not None and not record.supersedes(known):
            return
        self.by_address[record.address] = record
        if known is None:
            self._on_new(record.address)
        if record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            self._since[record.address] = now
        else:
            self._since.pop(record.address, None)
        # What a newcomer meets first is news to nobody else; passing it all
        # on would fill its messages for minutes.
        if known is not None or now >= self._joined:
            self.news.add(record.address, len(self.by_address))

    def mark(self, address: str, state: MemberState, now: float) -> None:
        """Learn another state of the incarnation known at an address."""
        member = self.by_address.get(address)
        if member is None:
            return
        if member.state is MemberState.LEAVING:
            # Suspects still own shards. One that has said that it leaves is
            # silent because it is gone, and must not own any in between.
            state = MemberState.DEAD
        self.learn(replace(member, state=state), now)

    def expire(
        self,
        now: float,
        is_listed: Callable[[str], bool],
    ) -> list[str]:
        """End overdue suspicions; forget the long dead and return them.

        Listed ones are kept: the list lags, and the record is what a VM that
        was only cut off has to move past.
        """
        forgotten = []
        for address, since in list(self._since.items()):
            if self.is_overdue(self.by_address[address], now):
                self.mark(address, MemberState.DEAD, now)
            elif self.is_dead(address) and now - since > FORGET_S:
                forgotten.append(address)
        forgotten = [addr for addr in forgotten if not is_listed(addr)]
        for address in forgotten:
            self.by_address.pop(address)
            self._since.pop(address)
            self.news.drop(address)
        return forgotten

    def restart_waits(self, now: float) -> None:
        """Count every suspicion and death from now."""
        self._since = dict.fromkeys(self._since, now)

    def for_peer(self, address: str) -> list[Member]:
        """Return news, a random few, and what is held of the peer itself.

        The last lets a peer that is suspected here take it back at once.
        """
        picked = dict.fromkeys(self.news.take(MAX_UPDATES))
        picked.update((fill.address, None) for fill in self._sample(MAX_FILL))
        if address in self.by_address:
            picked[address] = None
        return [self.by_address[address] for address in picked]

    def for_newcomer(self) -> list[Member]:
        """Return a large random part of the table."""
        return self._sample(SLICE)

    def _sample(self, size: int) -> list[Member]:
        records = list(self.by_address.values())
        return self._rng.sample(records, min(size, len(records)))
