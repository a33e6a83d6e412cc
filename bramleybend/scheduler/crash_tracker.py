"""Records crashes of a shard's runners and the content in flight at them."""

from collections.abc import Collection, Iterable
from math import inf
from typing import Final

from bramleybend.decisions.quarantine import CrashRegistry

# Each gateway that had a run on a crashed runner reports the crash separately,
# after its attempts to resume the run, which take 0.6 s at most.
SAME_CRASH_WINDOW_S: Final = 0.8


class CrashTracker:
    """Counts crashes and keeps suspect content off runners it crashed."""

    def __init__(self, book: CrashRegistry) -> None:
        """Write into the crash records that the process's shards share."""
        self._book = book
        self._last_crashes: dict[str, tuple[int, float]] = {}

    def get_excluded_runners(
        self,
        fingerprint: str,
        runners: Collection[str],
    ) -> frozenset[str]:
        """Return the runners to exclude for content, if others are left.

        Prefix affinity places content on the runner that it has just crashed.
        Repeated crashes of one runner don't prove that the content is at
        fault, so it would go on crashing that runner and never be refused.
        """
        crashed = self._book.runners(fingerprint)
        others = [name for name in runners if name not in crashed]
        return crashed if others else frozenset()

    def record_crash(
        self,
        runner: str,
        fingerprints: Iterable[str],
        has_few_runners: bool,
        now: float,
    ) -> None:
        """Mark all content that was in flight on the runner as suspect.

        The crash may have been caused by any of it, or by the runner itself,
        so content is refused only after crashes of several runners. With
        `has_few_runners` the shard has fewer runners than that takes, and each
        crash of one runner counts separately.
        """
        crash_number, last_reported_at = self._last_crashes.get(
            runner, (0, -inf)
        )
        if now - last_reported_at > SAME_CRASH_WINDOW_S:
            crash_number += 1
        self._last_crashes[runner] = (crash_number, now)
        name = f'{runner}#{crash_number}' if has_few_runners else runner
        known = [each for each in fingerprints if each]
        self._book.record_crash(name, known, now)

    def record_finish(self, fingerprint: str, now: float) -> None:
        """Clear content that ran to its end.

        An attempt that a restarting runner refused must not clear content;
        otherwise content that crashes runners would go on crashing them.
        """
        if fingerprint:
            self._book.record_finish(fingerprint, now)
