"""What failed connections tell about this VM's paths to runners."""

from bramleybend.decisions.runner_paths import (
    AVOID_S,
    FIRST_PROBE_S,
    MAX_PROBE_INTERVAL_S,
    SERVICE_PROBE_S,
    RunnerPaths,
)

RUNNERS = ('r1', 'r2', 'r3')
MANY = 100


def paths_to(*runners: str) -> RunnerPaths:
    """Return the intact paths to runners of one service."""
    paths = RunnerPaths()
    paths.update_runners({'app': runners})
    return paths


def test_one_lost_runner_of_several_is_no_lost_link() -> None:
    """A runner that crashes must not send all requests through other VMs."""
    paths = paths_to(*RUNNERS)
    assert paths.record_failure('app', 'r1', 0)
    assert paths.is_lost('app', 'r1')
    assert not paths.is_lost('app', 'r2')
    assert not paths.unreached()


def test_two_losses_without_a_connection_make_a_service_unreached() -> None:
    """The third runner is not tried directly first."""
    paths = paths_to(*RUNNERS)
    paths.record_failure('app', 'r1', 0)
    paths.record_failure('app', 'r2', 1)
    assert paths.unreached() == ('app',)
    assert paths.is_lost('app', 'r3')


def test_runners_lost_one_by_one_between_connections_are_no_lost_link() -> None:
    """Runners that crash over a day, while others connect, are just down."""
    paths = paths_to(*RUNNERS)
    paths.record_failure('app', 'r1', 0)
    paths.record_connected('app', 'r3', 1)
    paths.record_failure('app', 'r2', 2)
    assert not paths.unreached()


def test_the_only_runner_of_a_service_is_enough() -> None:
    """A service of one runner would never be unreached otherwise."""
    paths = paths_to('r1')
    paths.record_failure('app', 'r1', 0)
    assert paths.unreached() == ('app',)


def test_one_connection_ends_the_loss_of_a_service() -> None:
    """The links work again; only runners that failed are still lost."""
    paths = paths_to(*RUNNERS)
    paths.record_failure('app', 'r1', 0)
    paths.record_failure('app', 'r2', 0)
    assert paths.record_connected('app', 'r1', 1)
    assert not paths.unreached()
    assert not paths.is_lost('app', 'r1')
    assert paths.is_lost('app', 'r2')


def test_probes_of_a_dead_runner_do_not_make_its_service_unreached() -> None:
    """Two dead runners that stay listed must not flap the whole service."""
    paths = paths_to(*RUNNERS)
    paths.record_failure('app', 'r1', 0)
    paths.record_failure('app', 'r2', 0)
    paths.record_connected('app', 'r3', 1)
    for moment in range(2, 30):
        for runner in paths.due_probes(moment, 4):
            paths.record_failure('app', runner, moment)
        assert not paths.unreached()


def test_probes_become_rarer_up_to_a_bound() -> None:
    """A runner that is gone costs fewer and fewer connections."""
    paths = paths_to(*RUNNERS)
    paths.record_failure('app', 'r1', 0)
    assert not paths.due_probes(FIRST_PROBE_S - 0.1, 4)
    probed_at = []
    for tick in range(200):
        now = FIRST_PROBE_S + tick * 0.1
        if paths.due_probes(now, 4):
            probed_at.append(now)
            paths.record_failure('app', 'r1', now)
    gaps = [after - at for at, after in zip(probed_at, probed_at[1:])]
    assert gaps == sorted(gaps)
    assert max(gaps) <= MAX_PROBE_INTERVAL_S + 0.2


def test_an_unreached_service_is_probed_at_runners_without_a_loss() -> None:
    """Its lost runners may be dead; a sound one shows that links work."""
    paths = paths_to(*RUNNERS)
    paths.record_failure('app', 'r1', 0)
    paths.record_failure('app', 'r2', 0)
    assert paths.due_probes(0.1, 4) == ['r3']
    assert not paths.due_probes(0.2, 4)
    assert paths.due_probes(0.1 + SERVICE_PROBE_S, 4) == ['r3']


def test_probes_of_many_lost_runners_are_bounded_and_take_turns() -> None:
    """A VM cut off from many runners must not open that many at once."""
    names = [f'r{number}' for number in range(MANY)]
    paths = paths_to(*names)
    for name in names:
        paths.record_failure('app', name, 0)
    probed: set[str] = set()
    for tick in range(MANY):
        due = paths.due_probes(FIRST_PROBE_S + tick * 0.01, 4)
        assert len(due) <= 4
        probed.update(due)
    assert probed == set(names)


def test_what_is_known_of_a_runner_ends_with_it() -> None:
    """A runner that was replaced leaves no loss behind."""
    paths = paths_to(*RUNNERS)
    paths.record_failure('app', 'r1', 0)
    paths.record_heard('app', 'r1', 0)
    paths.avoid('r1', 0)
    paths.update_runners({'app': ('r2', 'r3')})
    assert not paths.is_lost('app', 'r1')
    assert not paths.avoided(0.1)
    assert not paths.was_heard('r1', -1)


def test_a_runner_that_nobody_reaches_is_avoided_for_a_while() -> None:
    """Others are asked first; it is asked again soon."""
    paths = paths_to(*RUNNERS)
    paths.avoid('r1', 0)
    assert paths.avoided(AVOID_S / 2) == {'r1'}
    assert not paths.avoided(AVOID_S)


def test_only_other_runners_tell_that_links_work() -> None:
    """A silent runner's own earlier answers say nothing."""
    paths = paths_to(*RUNNERS)
    paths.record_heard('app', 'r1', 5)
    assert not paths.was_other_heard('app', 'r1', 4)
    assert paths.was_other_heard('app', 'r2', 4)
    assert not paths.was_other_heard('app', 'r2', 5)
