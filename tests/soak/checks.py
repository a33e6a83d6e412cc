"""Checks of the promises against what callers, runners and operator saw.

Time limits come from the contract of the run, not from measurements.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from tests.soak.ledger import Ledger, RequestKind, RunnerRequest, SentRequest

# After a VM has served a version, it may still answer without it for this share
# of the time in which a change must take effect.
REGRESSION_GRACE_SHARE: Final = 1 / 8
NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    )
)
AT_MOST_ONCE: Final = frozenset((RequestKind.BOOK, RequestKind.DRAFT))


@dataclass(frozen=True)
class Violation:
    """One case in which a promise was broken."""

    promise: str
    detail: str


def find_violations(ledger: Ledger) -> list[Violation]:
    """Return all broken promises of a run."""
    return [
        Violation(promise, detail)
        for promise, check in CHECKS.items()
        for detail in check(ledger)
    ]


def is_calm(ledger: Ledger, vm: str, at: float) -> bool:
    """Return whether no recent fault affected the VM or the store.

    A fault counts as recent for `min_calm_s` of the contract.
    """
    calm_since = at - ledger.contract.min_calm_s
    fault_spans = (*ledger.fault_spans[vm], *ledger.fault_spans[''])
    return all(
        fault_span.end < calm_since or fault_span.start > at
        for fault_span in fault_spans
    )


def _find_wrong_answers(ledger: Ledger) -> Iterator[str]:
    for sent in ledger.sent_requests.values():
        if sent.status != HTTPStatus.OK or not sent.is_whole:
            continue
        if sent.attempt.encode() not in sent.body:
            yield f'{sent.attempt} got {sent.body[:60]!r}'
        if sent.kind in {RequestKind.DRAFT, RequestKind.CHECK}:
            ids = [
                line for line in sent.body.splitlines() if line[:3] == b'id:'
            ]
            if ids != [b'id: 1', b'id: 2', b'id: 3']:
                yield f'{sent.attempt} looks complete with {ids}'


def _find_unsent_runs(ledger: Ledger) -> Iterator[str]:
    for ran in ledger.runner_requests:
        if ran.attempt not in ledger.sent_requests:
            yield f'{ran.runner} ran {ran.attempt}, which nobody sent'


def _find_repeated_runs(ledger: Ledger) -> Iterator[str]:
    runs = Counter(ran.attempt for ran in ledger.runner_requests)
    for sent in ledger.sent_requests.values():
        if sent.kind in AT_MOST_ONCE and runs[sent.attempt] > 1:
            yield f'{sent.attempt} ran {runs[sent.attempt]} times'


def _find_false_refusals(ledger: Ledger) -> Iterator[str]:
    ran = {one.attempt for one in ledger.runner_requests}
    for sent in ledger.sent_requests.values():
        if sent.kind not in AT_MOST_ONCE or sent.attempt not in ran:
            continue
        if sent.status in NOT_RUN_STATUSES:
            yield f'{sent.attempt} was told {sent.status} and ran'


def _find_late_changes(ledger: Ledger) -> Iterator[str]:
    for sent in _not_found_requests(ledger):
        accepted_at = ledger.accepted_at[sent.version]
        if sent.sent_at - accepted_at < ledger.contract.max_change_s:
            continue
        if is_calm(ledger, sent.vm, sent.answered_at):
            late_s = sent.answered_at - accepted_at
            yield (
                f'{sent.vm} answered {sent.status} for a route of version '
                f'{sent.version}, accepted {late_s:.2f} s before'
            )


def _find_version_regressions(ledger: Ledger) -> Iterator[str]:
    """Find VMs that served a version and later answer without it."""
    served: dict[str, list[SentRequest]] = defaultdict(list)
    for sent in ledger.sent_requests.values():
        if sent.version and sent.status == HTTPStatus.OK:
            served[sent.vm].append(sent)
    grace_s = ledger.contract.max_change_s * REGRESSION_GRACE_SHARE
    for sent in _not_found_requests(ledger):
        for earlier in served[sent.vm]:
            newer = earlier.version >= sent.version
            if newer and earlier.answered_at < sent.sent_at - grace_s:
                if is_calm(ledger, sent.vm, sent.answered_at):
                    yield f'{sent.vm} went back before {sent.version}'
                    break


def _not_found_requests(ledger: Ledger) -> Iterator[SentRequest]:
    for sent in ledger.sent_requests.values():
        if sent.version and sent.status == HTTPStatus.NOT_FOUND:
            yield sent


def _find_uses_of_revoked_keys(ledger: Ledger) -> Iterator[str]:
    for ran in ledger.runner_requests:
        sent = ledger.sent_requests.get(ran.attempt)
        revoked_at = ledger.revoked_at.get(sent.key) if sent else None
        if sent is None or revoked_at is None:
            continue
        if sent.sent_at - revoked_at < ledger.contract.max_change_s:
            continue
        if is_calm(ledger, sent.vm, ran.received_at):
            yield f'{ran.attempt} ran under a key revoked {revoked_at:.2f}'


def _find_rejected_valid_keys(ledger: Ledger) -> Iterator[str]:
    for sent in ledger.sent_requests.values():
        if sent.status != HTTPStatus.UNAUTHORIZED:
            continue
        if sent.key not in ledger.revoked_at:
            yield f'{sent.vm} denied {sent.attempt} with a good key'


def _find_work_for_leaving_runners(ledger: Ledger) -> Iterator[str]:
    for ran in ledger.runner_requests:
        if _is_after_drain(ledger, ran):
            after_s = ran.received_at - ledger.leaving_at[ran.runner]
            yield f'{ran.runner} got {ran.attempt} {after_s:.2f} s after'


def _is_after_drain(ledger: Ledger, ran: RunnerRequest) -> bool:
    left_at = ledger.leaving_at.get(ran.runner)
    sent = ledger.sent_requests.get(ran.attempt)
    if left_at is None or sent is None:
        return False
    if ran.received_at - left_at < ledger.contract.max_drain_s:
        return False
    return is_calm(ledger, sent.vm, ran.received_at)


def _find_exited_processes(ledger: Ledger) -> Iterator[str]:
    yield from (f'{vm} ended by itself' for vm in ledger.exited_vms)


def _find_unserving_vms(ledger: Ledger) -> Iterator[str]:
    yield from (f'{vm} serves nobody at the end' for vm in ledger.unserving_vms)


CHECKS: Final[dict[str, Callable[[Ledger], Iterator[str]]]] = {
    "answers are whole and the right caller's": _find_wrong_answers,
    'nothing runs that nobody sent': _find_unsent_runs,
    'work that may run once runs once': _find_repeated_runs,
    '"not run" is true': _find_false_refusals,
    'a change is in force in time': _find_late_changes,
    'a VM never goes back to an older version': _find_version_regressions,
    'a revoked key runs nothing': _find_uses_of_revoked_keys,
    'a good key is not denied': _find_rejected_valid_keys,
    'a leaving runner gets nothing new': _find_work_for_leaving_runners,
    'processes end only by signals': _find_exited_processes,
    'all VMs serve again after the last fault': _find_unserving_vms,
}
