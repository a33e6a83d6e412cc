"""Output and exit codes of queries and of `drain`."""

import json
from pathlib import Path

import pytest

from bramleybend.errors import ErrorKind, Problem
from bramleybend.exit_status import ExitStatus
from tests.cli.fakes import NO_ANSWER, NOT_LISTENING, PARWAZ, FakeEnvironment


@pytest.fixture(name='world')
def _world() -> FakeEnvironment:
    return FakeEnvironment()


async def test_validate_tells_each_file(
    world: FakeEnvironment, tmp_path: Path
) -> None:
    """An invalid file doesn't prevent the validation of the others."""
    bad = tmp_path / 'bad.yaml'
    bad.write_text('schema: 1\nschema: 1\n')
    status, out, _ = await world.run('validate', PARWAZ, str(bad), 'none.yaml')
    good, duplicate_key, absent = out.splitlines()
    assert status is ExitStatus.INVALID
    assert good.endswith('2 services, 6 profiles and 5 workspaces')
    assert 'line 2' in duplicate_key
    assert 'No such file' in absent


async def test_validate_reads_standard_input(world: FakeEnvironment) -> None:
    """`-` reads the declaration from standard input."""
    world.stdin = Path(PARWAZ).read_text()
    status, out, _ = await world.run('validate', '-')
    assert (status, out[:8]) == (ExitStatus.OK, '-: valid')


async def test_diff_names_the_base_to_publish_from(
    world: FakeEnvironment,
    tmp_path: Path,
) -> None:
    """The output ends with the publish command to run next."""
    await world.run('publish', PARWAZ, '--base', '0')
    changed_file = tmp_path / 'other.yaml'
    changed_file.write_text(
        Path(PARWAZ).read_text().replace('weight: 8', 'weight: 9')
    )
    status, out, _ = await world.run('diff', str(changed_file))
    assert status is ExitStatus.OK
    assert '-    weight: 8\n+    weight: 9' in out
    assert out.endswith(f'publish {changed_file} --base 1\n')


async def test_history_shows_what_was_not_accepted(
    world: FakeEnvironment,
) -> None:
    """Malformed records and escape sequences don't break the table."""
    await world.run('publish', PARWAZ, '--base', '0')
    record = json.loads(world.log.records[0])
    record.update(publish_id='x', by='e\x1b[2Jve')
    world.log.records.extend([json.dumps(record), 'no record', '\ud800'])
    status, out, _ = await world.run('history')
    assert status is ExitStatus.OK
    assert 'e?[2Jve' in out
    assert 'in force: version 1' in out
    _, as_json, _ = await world.run('history', '--json')
    publishes = json.loads(as_json)['publishes']
    assert [each['version'] for each in publishes] == [1, None]


async def test_status_shows_the_vms_that_answer_and_those_that_do_not(
    world: FakeEnvironment,
) -> None:
    """A program that doesn't answer must not hide the others."""
    world.processes['10.0.0.2:7002'].problem = NOT_LISTENING
    status, out, _ = await world.run('status')
    assert status is ExitStatus.UNAVAILABLE
    assert out.count('serving') == 3
    assert out.count('no answer') == 1
    _, as_json, _ = await world.run('status', '--json')
    assert [len(json.loads(as_json)), as_json.count('error')] == [4, 1]


async def test_vms_can_be_named_when_the_list_is_down(
    world: FakeEnvironment,
) -> None:
    """The error suggests `--vm`, which works without the VM list."""
    world.list_problem = Problem(ErrorKind.LIST_UNAVAILABLE, 'list down', '')
    status, _, err = await world.run('status')
    assert status is ExitStatus.UNAVAILABLE
    assert 'list down; name the VMs by --vm 10.0.1.11' in err
    status, out, _ = await world.run(
        'status', '--vm', '10.0.0.1', '--vm', '10.0.0.2:7002'
    )
    assert (status, out.count('serving')) == (ExitStatus.OK, 3)


async def test_wait_shows_progress_until_the_last_vm(
    world: FakeEnvironment,
) -> None:
    """Without a version it waits for the newest on the log."""
    await world.run('publish', PARWAZ, '--base', '0')
    for endpoint, process in world.processes.items():
        process.terms_version = int(endpoint.endswith('7001'))
    lagging = world.processes['10.0.0.1:7002']
    status, _, err = await world.run('wait', '--timeout', '3')
    assert status is ExitStatus.TIMEOUT
    assert 'version 1: in force on 2 of 4' in err
    assert 'entry-1 scheduler (version 0)' in err
    lagging.terms_version = 2
    world.processes['10.0.0.2:7002'].terms_version = 1
    status, out, _ = await world.run('wait', '1')
    assert status is ExitStatus.OK
    assert 'version 1 is in force on all 4 processes' in out


async def test_wait_outlasts_a_list_that_is_silent_for_a_moment(
    world: FakeEnvironment,
) -> None:
    """The command must not fail on a short outage within its time limit."""
    await world.run('publish', PARWAZ, '--base', '0')
    world.list_problem = Problem(ErrorKind.LIST_UNAVAILABLE, 'list down', '')
    world.list_failures = 2
    status, out, _ = await world.run('wait', '1')
    assert status is ExitStatus.OK
    assert 'version 1 is in force on all 4 processes' in out


async def test_show_lists_the_version_of_each_program(
    world: FakeEnvironment,
) -> None:
    """The table also shows programs that don't answer."""
    await world.run('publish', PARWAZ, '--base', '0')
    world.processes['10.0.0.2:7002'].problem = NO_ANSWER
    status, out, _ = await world.run('show')
    assert status is ExitStatus.UNAVAILABLE
    assert out.startswith('in force by the log: version 1\n')
    assert 'no answer; try again' in out


async def test_explain_merges_what_all_programs_kept(
    world: FakeEnvironment,
) -> None:
    """Events are in causal order, not in the order of the replies."""
    line = 'hlc={} process=gateway incarnation=aa event={} req=t/1 tier=1'
    first = world.processes['10.0.0.1:7001']
    first.events = [line.format('9.1', 'dispatched')]
    world.processes['10.0.0.2:7002'].events = [line.format('9.0', 'granted')]
    status, out, _ = await world.run('explain', 't/1')
    assert status is ExitStatus.OK
    assert out.index('granted') < out.index('dispatched')
    status, _, err = await world.run('explain', 't/2')
    assert status is ExitStatus.NOT_FOUND
    assert 'all processes answered' in err
    first.problem = NOT_LISTENING
    status, _, err = await world.run('explain', 't/2')
    assert 'no answer from: entry-1 gateway' in err


async def test_drain_waits_for_the_last_request(world: FakeEnvironment) -> None:
    """The scheduler is drained after the gateway's last request."""
    gateway = world.processes['10.0.0.1:7001']
    gateway.in_flight = [2, 1, 0]
    status, out, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert 'entry-1 is drained' in out
    assert err.count('in flight') == 3
    assert world.processes['10.0.0.1:7002'].draining
    assert not world.processes['10.0.0.2:7001'].draining


async def test_drain_can_be_given_again(world: FakeEnvironment) -> None:
    """After the gateway has ended, a repeated command drains the scheduler."""
    world.processes['10.0.0.1:7001'].problem = NOT_LISTENING
    status, _, _ = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert world.processes['10.0.0.1:7002'].draining
    world.processes['10.0.0.1:7002'].problem = NOT_LISTENING
    status, _, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.UNAVAILABLE
    assert 'neither program of entry-1 is running' in err


@pytest.mark.parametrize('port', [7001, 7002])
async def test_drain_outlasts_a_program_that_is_silent_for_a_moment(
    world: FakeEnvironment, port: int
) -> None:
    """A brief pause of a program must not leave its VM partially drained."""
    paused = world.processes[f'10.0.0.1:{port}']
    paused.unanswered_drains = 2
    status, _, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert 'retrying' in err
    assert world.processes['10.0.0.1:7001'].draining
    assert world.processes['10.0.0.1:7002'].draining


async def test_drain_gives_up_on_a_program_that_stays_silent(
    world: FakeEnvironment,
) -> None:
    """The command ends at its time limit if the drain call gets no answer."""
    world.processes['10.0.0.1:7001'].problem = NO_ANSWER
    status, _, _ = await world.run('drain', 'entry-1')
    assert status is ExitStatus.TIMEOUT
    assert not world.processes['10.0.0.1:7002'].draining


async def test_drain_takes_a_closed_port_for_the_end(
    world: FakeEnvironment,
) -> None:
    """A drained gateway exits by itself, which closes its port."""
    gateway = world.processes['10.0.0.1:7001']
    gateway.in_flight, gateway.exits_when_drained = [1, 0], True
    status, out, _ = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert 'last heard with 1 in flight' in out


async def test_drain_does_not_take_a_frozen_gateway_for_a_drained_one(
    world: FakeEnvironment,
) -> None:
    """Requests of a frozen gateway are still in flight.

    The gateway accepts the drain call and then freezes: its port is open but
    it doesn't answer. Stopping its VM would abort the requests, so the
    command ends with exit code 7 and doesn't drain the scheduler.
    """
    gateway = world.processes['10.0.0.1:7001']
    gateway.in_flight = [3]
    real_status = gateway.status
    gateway.draining = True
    status_calls = 0

    async def freeze() -> object:
        nonlocal status_calls
        status_calls += 1
        gateway.problem = NO_ANSWER if status_calls > 1 else None
        return await real_status()

    gateway.status = freeze  # type: ignore[assignment]
    status, _, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.TIMEOUT
    assert 'last heard with 3 requests in flight' in err
    assert not world.processes['10.0.0.1:7002'].draining


@pytest.mark.parametrize(
    ('args', 'status', 'message'),
    [
        ([], ExitStatus.USAGE, 'COMMAND'),
        (['publsh'], ExitStatus.USAGE, "'publsh'"),
        (['publish', PARWAZ], ExitStatus.USAGE, '--base'),
        (['wait', 'x'], ExitStatus.USAGE, "'x' is not a version"),
        (['status', '--vm', 'localhost'], ExitStatus.USAGE, '10.0.1.11'),
        (['status', '--vm', '10.0.0.1:x'], ExitStatus.USAGE, 'not a port'),
        (['history', '--log-service', 'x'], ExitStatus.USAGE, 'http://'),
        (['history', '--timeout', 'nan'], ExitStatus.USAGE, 'not a time'),
        (['diff', 'none.yaml'], ExitStatus.NOT_FOUND, 'No such file'),
        (['drain', 'entry-9'], ExitStatus.NOT_FOUND, 'entry-9'),
        (['show', '9'], ExitStatus.NOT_FOUND, 'version 9'),
    ],
)
async def test_bad_input_gets_a_clear_message(
    world: FakeEnvironment,
    args: list[str],
    status: ExitStatus,
    message: str,
) -> None:
    """Each error has its exit code and a message that names the input."""
    found_status, out, err = await world.run(*args)
    assert (found_status, out) == (status, '')
    assert message in err
    assert err.startswith('bramleybend-ctl: ')


@pytest.mark.parametrize(
    'args',
    [
        ('history',),
        ('diff', PARWAZ),
        ('show',),
        ('wait',),
        ('restore', '1'),
        ('recover', PARWAZ, '1'),
    ],
)
async def test_a_log_that_is_down_is_told_by_every_command_that_reads_it(
    world: FakeEnvironment,
    args: tuple[str, ...],
) -> None:
    """No command mistakes an unavailable log for an empty one."""
    for process in world.processes.values():
        process.terms_version = 0
    world.log.down_reads = 1
    status, out, err = await world.run(*args)
    assert (status, out) == (ExitStatus.UNAVAILABLE, '')
    assert 'the log is down; wait' in err
    assert not world.log.appends


async def test_errors_are_json_for_scripts(world: FakeEnvironment) -> None:
    """Errors in JSON have the keys `error`, `detail` and `remedy`."""
    _, _, err = await world.run('show', '9', '--json')
    assert set(json.loads(err)) == {'error', 'detail', 'remedy'}
