"""Two short seeds of the soak test; `make soak` runs more."""

from pathlib import Path

import pytest

from tests.soak.__main__ import main
from tests.soak.plan import FaultKind, draw_faults, draw_release_faults
from tests.soak.play import run_soak


@pytest.mark.parametrize('seed', [4, 11])
async def test_promises_hold_under_random_faults(
    tmp_path: Path, seed: int
) -> None:
    """Six VMs have fast links (seed 4) or 5 Mbit/s (seed 11) to the store.

    Processes are killed, frozen and stopped, the store is cut off, runners
    join and leave, and thousands of routes are added; faults may overlap.
    """
    result = await run_soak(seed, duration_s=20, vm_count=6, folder=tmp_path)
    assert not result.violations
    assert result.statuses[200] > result.sent / 2


async def test_runners_that_leave_beside_frozen_vms_get_nothing_new(
    tmp_path: Path,
) -> None:
    """Calm VMs must not send to leaving runners while others freeze and wake."""
    result = await run_soak(
        2,
        duration_s=23,
        vm_count=6,
        folder=tmp_path,
        draw=draw_release_faults,
    )
    assert not result.violations
    assert result.statuses[200] > result.sent / 2


def test_a_seed_gives_one_plan() -> None:
    """The same seed repeats a run, and all kinds of faults occur."""
    assert draw_faults(7, 60) == draw_faults(7, 60)
    kinds = {
        fault.kind
        for seed in range(40)
        for fault in draw_faults(seed, 60) + draw_release_faults(seed, 60)
    }
    assert kinds == set(FaultKind)


def test_too_few_vms_are_refused(capsys: pytest.CaptureFixture[str]) -> None:
    """The error line names the given number and the allowed range."""
    assert main(['--vms', '1']) != 0
    assert '--vms 1: use 3 to 99' in capsys.readouterr().err
