"""Whom to probe next: members in shuffled rounds, and listed addresses."""

from collections.abc import Callable, Container, Iterable
from random import Random
from typing import Final

CANDIDATES: Final = 3  # listed addresses one node tries in a period
# Of one address in a period, by all nodes together. An address that nobody
# met is rare but for a newcomer, which meets the last few sooner by this.
TRIES_DEAD: Final = 2
TRIES_UNMET: Final = 60
FORGET_LISTED_S: Final = 120.0


class ProbeOrder:
    """Every member once a round, in an order reshuffled each round.

    Picking at random each time would leave some member unprobed for many
    periods; a round bounds the time until a dead one is met.
    """

    def __init__(self, rng: Random) -> None:
        """Start with nobody to probe."""
        self._rng = rng
        self._order: list[str] = []
        self._cursor = 0

    def add(self, address: str) -> None:
        """Take a newcomer in at a random place, so it isn't always last."""
        place = self._rng.randint(0, len(self._order))
        self._order.insert(place, address)

    def remove(self, address: str) -> None:
        """Probe an address no more."""
        self._order.remove(address)

    def next_some(self, count: int, skip: Callable[[str], bool]) -> list[str]:
        """Return the next addresses of the round, each once."""
        picked = (self._next_of(skip) for _ in range(count))
        return list(dict.fromkeys(addr for addr in picked if addr))

    def _next_of(self, skip: Callable[[str], bool]) -> str | None:
        for _ in self._order:
            address = self._advance()
            if not skip(address):
                return address
        return None

    def _advance(self) -> str:
        if self._cursor >= len(self._order):
            self._rng.shuffle(self._order)
            self._cursor = 0
        self._cursor += 1
        return self._order[self._cursor - 1]


class Candidates:
    """Addresses on the VM list, tried until a member answers there."""

    def __init__(self, rng: Random) -> None:
        """Start with an empty list."""
        self._rng = rng
        self._seen: dict[str, float] = {}

    def note(self, addresses: Iterable[str], now: float) -> None:
        """Remember the list, and what it held a while ago: it lags."""
        self._seen.update(dict.fromkeys(addresses, now))
        self._seen = {
            address: seen
            for address, seen in self._seen.items()
            if now - seen <= FORGET_LISTED_S
        }

    def is_listed(self, address: str) -> bool:
        """Whether the list has held the address lately."""
        return address in self._seen

    def pick(
        self,
        met: Container[str],
        is_dead: Callable[[str], bool],
    ) -> list[str]:
        """Return whom to try in this period.

        The halves of a split region find each other again by this, since
        each holds the other to be dead. All nodes together try an address
        only a few times a period: if each tried the one that is missing,
        hundreds would call on a VM the moment it starts.
        """
        unmet = [addr for addr in self._seen if addr not in met]
        dead = [addr for addr in self._seen if is_dead(addr)]
        known = len(self._seen) - len(unmet) - len(dead)
        wanted = TRIES_UNMET * len(unmet) + TRIES_DEAD * len(dead)
        share = wanted / (known + 1)
        tries = min(CANDIDATES, int(share + self._rng.random()))
        picked = self._rng.sample(unmet, min(tries, len(unmet)))
        rest = min(tries - len(picked), len(dead))
        return picked + self._rng.sample(dead, rest)
