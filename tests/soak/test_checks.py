"""Each check of the soak sees the promise broken that it is there for."""

from collections.abc import Callable

import pytest

from tests.soak.checks import CHECKS, judge
from tests.soak.ledger import Ledger, Ran, Sent, Span, Work

VM = 'entry-1'
KEY = 'key-1'


def sent(ledger: Ledger, work: Work, status: int = 200, **more: object) -> Sent:
    """Add a request at second 100, answered well unless told otherwise."""
    attempt = f'a{len(ledger.sent)}'
    body = attempt.encode()
    if work in {Work.DRAFT, Work.CHECK}:
        body = b'%b\nid: 1\nid: 2\nid: 3\n' % body
    one = Sent(attempt, work, VM, KEY, 100)
    one.status, one.body, one.whole, one.answered_at = status, body, True, 100.1
    for name, value in more.items():
        setattr(one, name, value)
    ledger.sent[attempt] = one
    return one


def ran(ledger: Ledger, one: Sent, at: float = 100.05) -> None:
    """Let a request reach a runner."""
    ledger.ran.append(Ran(one.attempt, 'r1', 'school', at))


def good() -> Ledger:
    """Return a run in which every promise holds."""
    ledger = Ledger()
    ledger.versions[2] = 90
    for work in Work:
        one = sent(ledger, work, version=2 if work is Work.ADDED else 0)
        ran(ledger, one)
    denied = sent(ledger, Work.READ, 401, key='old')
    ledger.revoked[denied.key] = 90
    ledger.leaving['r1'] = 99
    return ledger


def other_callers_answer(ledger: Ledger) -> None:
    sent(ledger, Work.READ, body=b'a99')


def half_a_stream(ledger: Ledger) -> None:
    sent(ledger, Work.CHECK, body=b'a6\nid: 1\nid: 3\n')


def unasked(ledger: Ledger) -> None:
    ledger.ran.append(Ran('nobody', 'r2', 'school', 100))


def twice(ledger: Ledger) -> None:
    one = sent(ledger, Work.BOOK)
    ran(ledger, one)
    ran(ledger, one)


def untrue_refusal(ledger: Ledger) -> None:
    ran(ledger, sent(ledger, Work.BOOK, 503))


def late_change(ledger: Ledger) -> None:
    sent(ledger, Work.ADDED, 404, version=2)


def way_back(ledger: Ledger) -> None:
    ledger.versions[2] = 98.5
    sent(ledger, Work.ADDED, version=2, at=99, answered_at=99.1)
    sent(ledger, Work.ADDED, 404, version=2)


def revoked_key(ledger: Ledger) -> None:
    ran(ledger, sent(ledger, Work.READ, key='old'))


def denied_key(ledger: Ledger) -> None:
    sent(ledger, Work.READ, 401)


def late_for_a_leaving_runner(ledger: Ledger) -> None:
    ran(ledger, sent(ledger, Work.READ), at=101.5)


def ended_by_itself(ledger: Ledger) -> None:
    ledger.ended.append(VM)


def silent_at_the_end(ledger: Ledger) -> None:
    ledger.late_vms.append(VM)


BREAKS: dict[Callable[[Ledger], None], str] = {
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
    """Denials of revoked keys and work before a runner left are right."""
    assert judge(good()) == []


@pytest.mark.parametrize(
    ('break_it', 'promise'),
    BREAKS.items(),
    ids=[one.__name__ for one in BREAKS],
)
def test_a_broken_promise_is_found(
    break_it: Callable[[Ledger], None], promise: str
) -> None:
    """That one and no other."""
    ledger = good()
    break_it(ledger)
    assert {one.promise for one in judge(ledger)} == {promise}


def test_every_check_is_shown_to_fail() -> None:
    """A check that nothing breaks proves nothing."""
    assert set(BREAKS.values()) == set(CHECKS)


@pytest.mark.parametrize('name', [VM, ''], ids=['the VM', 'the store'])
@pytest.mark.parametrize(
    'span', [Span(96, 97.5), Span(99.9)], ids=['just over', 'under way']
)
def test_what_is_done_to_a_vm_excuses_lateness_only(
    name: str, span: Span
) -> None:
    """Three seconds after a fault the bounds hold again."""
    ledger = good()
    late_change(ledger)
    twice(ledger)
    ledger.spans[name] = [span]
    assert {one.promise for one in judge(ledger)} == {
        'work that may run once runs once'
    }
    ledger.spans[name] = [Span(96, 97)]
    assert len(judge(ledger)) == 2
