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

    A fault is recent until `min_calm_s` of the contract after its end.
    """
    calm_since = at - ledger.contract.min_calm_s
    fault_spans = (*ledger.fault_spans[vm], *ledger.fault_spans[''])
    return all(
        fault_span.end < calm_since or fault_span.start > at
        for fault_span in fault_spans
    )


def _find_wrong_answers(ledger: Ledger) -> Iterator[str]:
    for request in ledger.sent_requests.values():
        if request.status != HTTPStatus.OK or not request.is_whole:
            continue
        if request.attempt.encode() not in request.body:
            yield f'{request.attempt} got {request.body[:60]!r}'
        if request.kind in {RequestKind.DRAFT, RequestKind.CHECK}:
            ids = [
                line for line in request.body.splitlines() if line[:3] == b'id:'
            ]
            if ids != [b'id: 1', b'id: 2', b'id: 3']:
                yield f'{request.attempt} looks complete with {ids}'


def _find_unsent_runs(ledger: Ledger) -> Iterator[str]:
    for run in ledger.runner_requests:
        if run.attempt not in ledger.sent_requests:
            yield f'{run.runner} ran {run.attempt}, which nobody sent'


def _find_repeated_runs(ledger: Ledger) -> Iterator[str]:
    runs = Counter(run.attempt for run in ledger.runner_requests)
    for request in ledger.sent_requests.values():
        if request.kind in AT_MOST_ONCE and runs[request.attempt] > 1:
            yield f'{request.attempt} ran {runs[request.attempt]} times'


def _find_false_refusals(ledger: Ledger) -> Iterator[str]:
    received_attempts = {run.attempt for run in ledger.runner_requests}
    for request in ledger.sent_requests.values():
        if (
            request.kind not in AT_MOST_ONCE
            or request.attempt not in received_attempts
        ):
            continue
        if request.status in NOT_RUN_STATUSES:
            yield f'{request.attempt} was told {request.status} and ran'


def _find_late_changes(ledger: Ledger) -> Iterator[str]:
    for request in _not_found_requests(ledger):
        accepted_at = ledger.accepted_at[request.version]
        if request.sent_at - accepted_at < ledger.contract.max_change_s:
            continue
        if is_calm(ledger, request.vm, request.answered_at):
            late_s = request.answered_at - accepted_at
            yield (
                f'{request.vm} answered {request.status} for a route of '
                f'version {request.version}, accepted {late_s:.2f} s before'
            )


def _find_version_regressions(ledger: Ledger) -> Iterator[str]:
    """Find VMs that served a version and later answer without it."""
    served: dict[str, list[SentRequest]] = defaultdict(list)
    for request in ledger.sent_requests.values():
        if request.version and request.status == HTTPStatus.OK:
            served[request.vm].append(request)
    grace_s = ledger.contract.max_change_s * REGRESSION_GRACE_SHARE
    for request in _not_found_requests(ledger):
        for earlier in served[request.vm]:
            newer = earlier.version >= request.version
            if newer and earlier.answered_at < request.sent_at - grace_s:
                if is_calm(ledger, request.vm, request.answered_at):
                    yield f'{request.vm} went back before {request.version}'
                    break


def _not_found_requests(ledger: Ledger) -> Iterator[SentRequest]:
    for request in ledger.sent_requests.values():
        if request.version and request.status == HTTPStatus.NOT_FOUND:
            yield request


def _find_uses_of_revoked_keys(ledger: Ledger) -> Iterator[str]:
    for run in ledger.runner_requests:
        request = ledger.sent_requests.get(run.attempt)
        revoked_at = ledger.revoked_at.get(request.key) if request else None
        if request is None or revoked_at is None:
            continue
        if request.sent_at - revoked_at < ledger.contract.max_change_s:
            continue
        if is_calm(ledger, request.vm, run.received_at):
            yield f'{run.attempt} ran under a key revoked {revoked_at:.2f}'


def _find_rejected_valid_keys(ledger: Ledger) -> Iterator[str]:
    for request in ledger.sent_requests.values():
        if request.status != HTTPStatus.UNAUTHORIZED:
            continue
        if request.key not in ledger.revoked_at:
            yield f'{request.vm} denied {request.attempt} with a good key'


def _find_work_for_leaving_runners(ledger: Ledger) -> Iterator[str]:
    for run in ledger.runner_requests:
        if _is_after_drain(ledger, run):
            after_s = run.received_at - ledger.leaving_at[run.runner]
            yield f'{run.runner} got {run.attempt} {after_s:.2f} s after'


def _is_after_drain(ledger: Ledger, run: RunnerRequest) -> bool:
    left_at = ledger.leaving_at.get(run.runner)
    request = ledger.sent_requests.get(run.attempt)
    if left_at is None or request is None:
        return False
    if run.received_at - left_at < ledger.contract.max_drain_s:
        return False
    return is_calm(ledger, request.vm, run.received_at)


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
