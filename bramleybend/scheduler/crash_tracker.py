"""What a shard's owner makes of its runners' crashes."""

from collections.abc import Collection, Iterable
from math import inf
from typing import Final

from bramleybend.decisions.quarantine import CrashBook

# The gateways whose runs a crash took report it each on its own, after their
# tries to resume, which take 0.6 s at most.
SAME_CRASH_WINDOW_S: Final = 0.8


class CrashTracker:
    """Tells crashes apart and keeps suspects from what they crashed."""

    def __init__(self, book: CrashBook) -> None:
        """Write into the process's book."""
        self._book = book
        self._last_crashes: dict[str, tuple[int, float]] = {}

    def get_excluded_runners(
        self,
        fingerprint: str,
        runners: Collection[str],
    ) -> frozenset[str]:
        """Return runners that a suspect is kept from, if others are left.

        Its prefix draws it to the runner it has just crashed. There it would
        crash the same one again and again, which proves nothing against it,
        and would never be refused.
        """
        crashed = self._book.runners(fingerprint)
        others = [name for name in runners if name not in crashed]
        return crashed if others else frozenset()

    def record_crash(
        self,
        runner: str,
        fingerprints: Iterable[str],
        few: bool,
        now: float,
    ) -> None:
        """Suspect all that was in flight there, whoever's fault it was.

        With too `few` runners to condemn by, each crash counts for itself.
        """
        number, at = self._last_crashes.get(runner, (0, -inf))
        if now - at > SAME_CRASH_WINDOW_S:
            number += 1
        self._last_crashes[runner] = (number, now)
        name = f'{runner}#{number}' if few else runner
        known = [each for each in fingerprints if each]
        self._book.crashed(name, known, now)

    def record_finish(self, fingerprint: str, now: float) -> None:
        """Clear content that ran to its end, and by nothing less.

        A try that a restarting runner refused shows nothing; cleared by it, a
        poison would go on killing.
        """
        if fingerprint:
            self._book.finished(fingerprint, now)
