"""Selection of probe targets: members in shuffled rounds, listed addresses."""

from collections.abc import Callable, Container, Iterable
from random import Random
from typing import Final

MAX_LISTED_PROBES: Final = 3  # listed addresses that a node probes per period
# Probes of one address per period, by all nodes together. Usually only a
# newcomer has addresses that it hasn't met, and this rate lets it meet the
# last few sooner.
PROBES_PER_DEAD: Final = 2
PROBES_PER_UNMET: Final = 60
LISTED_RETENTION_S: Final = 120.0


class ProbeOrder:
    """Yields each member once per round, in an order shuffled each round.

    Independent random picks would leave some members unprobed for many
    periods; rounds bound the time until a dead member is probed.
    """

    def __init__(self, rng: Random) -> None:
        """Start without addresses."""
        self._rng = rng
        self._order: list[str] = []
        self._cursor = 0

    def add(self, address: str) -> None:
        """Insert an address at a random place, so that it isn't always last."""
        place = self._rng.randint(0, len(self._order))
        self._order.insert(place, address)

    def remove(self, address: str) -> None:
        """Remove an address."""
        self._order.remove(address)

    def next_targets(
        self, count: int, should_skip: Callable[[str], bool]
    ) -> list[str]:
        """Return up to `count` next addresses of the round, each once."""
        picked = (self._next_target(should_skip) for _ in range(count))
        return list(dict.fromkeys(addr for addr in picked if addr))

    def _next_target(self, should_skip: Callable[[str], bool]) -> str | None:
        for _ in self._order:
            address = self._advance_cursor()
            if not should_skip(address):
                return address
        return None

    def _advance_cursor(self) -> str:
        if self._cursor >= len(self._order):
            self._rng.shuffle(self._order)
            self._cursor = 0
        self._cursor += 1
        return self._order[self._cursor - 1]


class ListedAddresses:
    """Addresses on the VM list, probed until a member answers there."""

    def __init__(self, rng: Random) -> None:
        """Start with an empty list."""
        self._rng = rng
        self._last_listed_at: dict[str, float] = {}

    def update(self, addresses: Iterable[str], now: float) -> None:
        """Store the list and keep recent entries, as the list may lag."""
        self._last_listed_at.update(dict.fromkeys(addresses, now))
        self._last_listed_at = {
            address: seen
            for address, seen in self._last_listed_at.items()
            if now - seen <= LISTED_RETENTION_S
        }

    def is_listed(self, address: str) -> bool:
        """Whether the address is or recently was on the list."""
        return address in self._last_listed_at

    def pick_targets(
        self,
        known_addresses: Container[str],
        is_dead: Callable[[str], bool],
    ) -> list[str]:
        """Return the listed addresses to probe in this period.

        After a network partition the sides find each other by these probes,
        since each has declared the other dead. All nodes together probe an
        address only a few times per period; otherwise hundreds of nodes would
        contact a missing VM the moment it starts.
        """
        unmet = [
            addr for addr in self._last_listed_at if addr not in known_addresses
        ]
        dead = [addr for addr in self._last_listed_at if is_dead(addr)]
        known_count = len(self._last_listed_at) - len(unmet) - len(dead)
        wanted_probes = PROBES_PER_UNMET * len(unmet) + PROBES_PER_DEAD * len(
            dead
        )
        own_share = wanted_probes / (known_count + 1)
        probe_count = min(
            MAX_LISTED_PROBES, int(own_share + self._rng.random())
        )
        picked = self._rng.sample(unmet, min(probe_count, len(unmet)))
        dead_count = min(probe_count - len(picked), len(dead))
        return picked + self._rng.sample(dead, dead_count)
