"""Budget of requests sent to a second runner, over all VMs."""

from bramleybend.decisions.resends import ResendBudget, ResendLimits

TERMS = ResendLimits(ratio=0.2, extra_per_window=52, window_s=10)
STEP_S = 0.01


def test_an_outage_adds_no_more_arrivals_than_the_budget() -> None:
    """Every request fails and is to be sent again, on six VMs.

    In any window the resends stay within the ratio of the requests plus the
    fixed allowance, although the VMs don't communicate.
    """
    vms, per_s = 6, 10
    budgets = [ResendBudget(TERMS) for _ in range(vms)]
    spent: list[float] = []
    requests: list[float] = []
    for step in range(int(40 / STEP_S)):
        now = step * STEP_S
        if step % int(1 / STEP_S / per_s):
            continue
        for budget in budgets:
            requests.append(now)
            budget.record_request('s', vms, now)
            while budget.try_spend('s', vms, now):
                spent.append(now)
    for start in range(30):
        window = range(start, start + int(TERMS.window_s))
        asked = sum(int(at) in window for at in requests)
        again = sum(int(at) in window for at in spent)
        assert again <= TERMS.ratio * asked + TERMS.extra_per_window


def test_a_quiet_vm_may_resend_a_failed_request() -> None:
    """A VM's part of the fixed allowance needs no traffic."""
    budget = ResendBudget(TERMS)
    assert budget.try_spend('s', 6, 0)


def test_many_vms_share_the_fixed_allowance() -> None:
    """With 78 VMs a part is below 1; resends then need requests."""
    budget = ResendBudget(TERMS)
    assert not budget.try_spend('s', 78, 0)
    for _ in range(5):
        budget.record_request('s', 78, 0)
    assert budget.try_spend('s', 78, 0)
