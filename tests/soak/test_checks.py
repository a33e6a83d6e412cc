"""Each check of the soak test reports when its own promise is broken."""

from collections.abc import Callable

import pytest

from tests.soak.checks import CHECKS, find_violations
from tests.soak.ledger import (
    FaultSpan,
    Ledger,
    RequestKind,
    RunnerRequest,
    SentRequest,
)

VM = 'entry-1'
KEY = 'key-1'


def add_request(
    ledger: Ledger, kind: RequestKind, status: int = 200, **fields: object
) -> SentRequest:
    """Record a request at second 100, with a 200 answer by default."""
    attempt = f'a{len(ledger.sent_requests)}'
    body = attempt.encode()
    if kind in {RequestKind.DRAFT, RequestKind.CHECK}:
        body = b'%b\nid: 1\nid: 2\nid: 3\n' % body
    request = SentRequest(attempt, kind, VM, KEY, 100)
    request.status, request.body, request.is_whole, request.answered_at = (
        status,
        body,
        True,
        100.1,
    )
    for name, value in fields.items():
        setattr(request, name, value)
    ledger.sent_requests[attempt] = request
    return request


def add_runner_request(
    ledger: Ledger, request: SentRequest, at: float = 100.05
) -> None:
    """Record that a runner received the request."""
    ledger.runner_requests.append(
        RunnerRequest(request.attempt, 'r1', 'school', at)
    )


def make_clean_ledger() -> Ledger:
    """Return the records of a run in which every promise holds."""
    ledger = Ledger()
    ledger.accepted_at[2] = 90
    for kind in RequestKind:
        request = add_request(
            ledger, kind, version=2 if kind is RequestKind.ADDED else 0
        )
        add_runner_request(ledger, request)
    rejected = add_request(ledger, RequestKind.READ, 401, key='old')
    ledger.revoked_at[rejected.key] = 90
    ledger.leaving_at['r1'] = 99
    return ledger


def other_callers_answer(ledger: Ledger) -> None:
    add_request(ledger, RequestKind.READ, body=b'a99')


def half_a_stream(ledger: Ledger) -> None:
    add_request(ledger, RequestKind.CHECK, body=b'a6\nid: 1\nid: 3\n')


def unasked(ledger: Ledger) -> None:
    ledger.runner_requests.append(RunnerRequest('nobody', 'r2', 'school', 100))


def twice(ledger: Ledger) -> None:
    request = add_request(ledger, RequestKind.BOOK)
    add_runner_request(ledger, request)
    add_runner_request(ledger, request)


def untrue_refusal(ledger: Ledger) -> None:
    add_runner_request(ledger, add_request(ledger, RequestKind.BOOK, 503))


def late_change(ledger: Ledger) -> None:
    add_request(ledger, RequestKind.ADDED, 404, version=2)


def way_back(ledger: Ledger) -> None:
    ledger.accepted_at[2] = 98.5
    add_request(
        ledger, RequestKind.ADDED, version=2, sent_at=99, answered_at=99.1
    )
    add_request(ledger, RequestKind.ADDED, 404, version=2)


def revoked_key(ledger: Ledger) -> None:
    add_runner_request(ledger, add_request(ledger, RequestKind.READ, key='old'))


def denied_key(ledger: Ledger) -> None:
    add_request(ledger, RequestKind.READ, 401)


def late_for_a_leaving_runner(ledger: Ledger) -> None:
    add_runner_request(ledger, add_request(ledger, RequestKind.READ), at=101.5)


def ended_by_itself(ledger: Ledger) -> None:
    ledger.exited_vms.append(VM)


def silent_at_the_end(ledger: Ledger) -> None:
    ledger.unserving_vms.append(VM)


CASES: dict[Callable[[Ledger], None], str] = {
    other_callers_answer: "answers are whole and the right caller's",
    half_a_stream: "answers are whole and the right caller's",
    unasked: 'nothing runs that nobody sent',
    twice: 'work that may run once runs once',
    untrue_refusal: '"not run" is true',
    late_change: 'a change is in force in time',
    way_back: 'a VM never goes back to an older version',
    revoked_key: 'a revoked key runs nothing',
    denied_key: 'a good key is not denied',
    late_for_a_leaving_runner: 'a leaving runner gets nothing new',
    ended_by_itself: 'processes end only by signals',
    silent_at_the_end: 'all VMs serve again after the last fault',
}


def test_a_good_run_has_no_finding() -> None:
    """Rejecting a revoked key and work just after a leave break no promise."""
    assert find_violations(make_clean_ledger()) == []


@pytest.mark.parametrize(
    ('break_it', 'promise'),
    CASES.items(),
    ids=[case.__name__ for case in CASES],
)
def test_a_broken_promise_is_found(
    break_it: Callable[[Ledger], None], promise: str
) -> None:
    """Only the broken promise is reported."""
    ledger = make_clean_ledger()
    break_it(ledger)
    assert {each.promise for each in find_violations(ledger)} == {promise}


def test_every_check_is_shown_to_fail() -> None:
    """Each promise is broken by at least one of the cases."""
    assert set(CASES.values()) == set(CHECKS)


@pytest.mark.parametrize('name', [VM, ''], ids=['the VM', 'the store'])
@pytest.mark.parametrize(
    'span',
    [FaultSpan(96, 97.5), FaultSpan(99.9)],
    ids=['just over', 'under way'],
)
def test_what_is_done_to_a_vm_excuses_lateness_only(
    name: str, span: FaultSpan
) -> None:
    """A recent fault excuses late changes, but not repeated runs.

    Three seconds after the end of a fault, the time limits hold again.
    """
    ledger = make_clean_ledger()
    late_change(ledger)
    twice(ledger)
    ledger.fault_spans[name] = [span]
    assert {each.promise for each in find_violations(ledger)} == {
        'work that may run once runs once'
    }
    ledger.fault_spans[name] = [FaultSpan(96, 97)]
    assert len(find_violations(ledger)) == 2
