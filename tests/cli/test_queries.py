"""Queries answer people and scripts, with the right exit code."""

import json
from pathlib import Path

import pytest

from bramleybend.errors import ErrorKind, Problem
from bramleybend.status import ExitStatus
from tests.cli.world import FROZEN, GONE, PARWAZ, World


@pytest.fixture(name='world')
def _world() -> World:
    return World()


async def test_validate_tells_each_file(world: World, tmp_path: Path) -> None:
    """One bad file does not hide the verdict on the others."""
    bad = tmp_path / 'bad.yaml'
    bad.write_text('schema: 1\nschema: 1\n')
    status, out, _ = await world.run('validate', PARWAZ, str(bad), 'none.yaml')
    good, twice, absent = out.splitlines()
    assert status is ExitStatus.INVALID
    assert good.endswith('2 services, 6 profiles and 5 workspaces')
    assert 'line 2' in twice
    assert 'No such file' in absent


async def test_validate_reads_standard_input(world: World) -> None:
    """A declaration may come through a pipe."""
    world.stdin = Path(PARWAZ).read_text()
    status, out, _ = await world.run('validate', '-')
    assert (status, out[:8]) == (ExitStatus.OK, '-: valid')


async def test_diff_names_the_base_to_publish_from(
    world: World,
    tmp_path: Path,
) -> None:
    """The next step can be copied."""
    await world.run('publish', PARWAZ, '--base', '0')
    other = tmp_path / 'other.yaml'
    other.write_text(Path(PARWAZ).read_text().replace('weight: 8', 'weight: 9'))
    status, out, _ = await world.run('diff', str(other))
    assert status is ExitStatus.OK
    assert '-    weight: 8\n+    weight: 9' in out
    assert out.endswith(f'publish {other} --base 1\n')


async def test_history_shows_what_was_not_accepted(world: World) -> None:
    """Records from elsewhere neither break the table nor the terminal."""
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
    world: World,
) -> None:
    """One dead program must not hide the others."""
    world.processes['10.0.0.2:7002'].problem = GONE
    status, out, _ = await world.run('status')
    assert status is ExitStatus.UNAVAILABLE
    assert out.count('serving') == 3
    assert out.count('no answer') == 1
    _, as_json, _ = await world.run('status', '--json')
    assert [len(json.loads(as_json)), as_json.count('error')] == [4, 1]


async def test_vms_can_be_named_when_the_list_is_down(world: World) -> None:
    """The message says how, and the flag needs no list."""
    world.list_problem = Problem(ErrorKind.LIST_UNAVAILABLE, 'list down', '')
    status, _, err = await world.run('status')
    assert status is ExitStatus.UNAVAILABLE
    assert 'list down; name the VMs by --vm 10.0.1.11' in err
    status, out, _ = await world.run(
        'status', '--vm', '10.0.0.1', '--vm', '10.0.0.2:7002'
    )
    assert (status, out.count('serving')) == (ExitStatus.OK, 3)


async def test_wait_shows_progress_until_the_last_vm(world: World) -> None:
    """Without a version it waits for the newest on the log."""
    await world.run('publish', PARWAZ, '--base', '0')
    for endpoint, process in world.processes.items():
        process.terms_version = int(endpoint.endswith('7001'))
    last = world.processes['10.0.0.1:7002']
    status, _, err = await world.run('wait', '--timeout', '3')
    assert status is ExitStatus.TIMEOUT
    assert 'version 1: in force on 2 of 4' in err
    assert 'entry-1 scheduler (version 0)' in err
    last.terms_version = 2
    world.processes['10.0.0.2:7002'].terms_version = 1
    status, out, _ = await world.run('wait', '1')
    assert status is ExitStatus.OK
    assert 'version 1 is in force on all 4 processes' in out


async def test_wait_outlasts_a_list_that_is_silent_for_a_moment(
    world: World,
) -> None:
    """Guards against a command that ends long before its time limit."""
    await world.run('publish', PARWAZ, '--base', '0')
    world.list_problem = Problem(ErrorKind.LIST_UNAVAILABLE, 'list down', '')
    world.list_failures = 2
    status, out, _ = await world.run('wait', '1')
    assert status is ExitStatus.OK
    assert 'version 1 is in force on all 4 processes' in out


async def test_show_lists_the_version_of_each_program(world: World) -> None:
    """A VM that lags is seen at a glance."""
    await world.run('publish', PARWAZ, '--base', '0')
    world.processes['10.0.0.2:7002'].problem = FROZEN
    status, out, _ = await world.run('show')
    assert status is ExitStatus.UNAVAILABLE
    assert out.startswith('in force by the log: version 1\n')
    assert 'no answer; try again' in out


async def test_explain_merges_what_all_programs_kept(world: World) -> None:
    """The story is told in causal order, not in the order of the answers."""
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
    first.problem = GONE
    status, _, err = await world.run('explain', 't/2')
    assert 'no answer from: entry-1 gateway' in err


async def test_drain_waits_for_the_last_request(world: World) -> None:
    """The scheduler goes last, when nothing at the gateway needs it."""
    gateway = world.processes['10.0.0.1:7001']
    gateway.in_flight = [2, 1, 0]
    status, out, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert 'entry-1 is drained' in out
    assert err.count('in flight') == 3
    assert world.processes['10.0.0.1:7002'].draining
    assert not world.processes['10.0.0.2:7001'].draining


async def test_drain_can_be_given_again(world: World) -> None:
    """The gateway has ended since; its scheduler must not be left serving."""
    world.processes['10.0.0.1:7001'].problem = GONE
    status, _, _ = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert world.processes['10.0.0.1:7002'].draining
    world.processes['10.0.0.1:7002'].problem = GONE
    status, _, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.UNAVAILABLE
    assert 'neither program of entry-1 is there' in err


@pytest.mark.parametrize('port', [7001, 7002])
async def test_drain_outlasts_a_program_that_is_silent_for_a_moment(
    world: World, port: int
) -> None:
    """Guards against a VM that is left half drained."""
    paused = world.processes[f'10.0.0.1:{port}']
    paused.silent_orders = 2
    status, _, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert 'asking again' in err
    assert world.processes['10.0.0.1:7001'].draining
    assert world.processes['10.0.0.1:7002'].draining


async def test_drain_gives_up_on_a_program_that_stays_silent(
    world: World,
) -> None:
    """Its order is not waited for beyond the command's own time limit."""
    world.processes['10.0.0.1:7001'].problem = FROZEN
    status, _, _ = await world.run('drain', 'entry-1')
    assert status is ExitStatus.TIMEOUT
    assert not world.processes['10.0.0.1:7002'].draining


async def test_drain_takes_a_closed_port_for_the_end(world: World) -> None:
    """A drained gateway ends by itself."""
    gateway = world.processes['10.0.0.1:7001']
    gateway.in_flight, gateway.ends = [1, 0], True
    status, out, _ = await world.run('drain', 'entry-1')
    assert status is ExitStatus.OK
    assert 'last heard with 1 in flight' in out


async def test_drain_does_not_take_a_frozen_gateway_for_a_drained_one(
    world: World,
) -> None:
    """Its requests are still in flight; stopping the VM would cut them.

    The gateway takes the order and then freezes: its port is open and no
    answer comes. The command ends with code 7, its scheduler left serving.
    """
    gateway = world.processes['10.0.0.1:7001']
    gateway.in_flight = [3]
    status_of = gateway.status
    gateway.draining = True
    asked = 0

    async def freeze() -> object:
        nonlocal asked
        asked += 1
        gateway.problem = FROZEN if asked > 1 else None
        return await status_of()

    gateway.status = freeze  # type: ignore[assignment]
    status, _, err = await world.run('drain', 'entry-1')
    assert status is ExitStatus.TIMEOUT
    assert 'last heard with 3 requests in flight' in err
    assert not world.processes['10.0.0.1:7002'].draining


@pytest.mark.parametrize(
    ('args', 'status', 'named'),
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
    world: World,
    args: list[str],
    status: ExitStatus,
    named: str,
) -> None:
    """The code tells the script, the message tells the person."""
    found, out, err = await world.run(*args)
    assert (found, out) == (status, '')
    assert named in err
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
    world: World,
    args: tuple[str, ...],
) -> None:
    """No command takes a log that does not answer for an empty one."""
    for process in world.processes.values():
        process.terms_version = 0
    world.log.down_reads = 1
    status, out, err = await world.run(*args)
    assert (status, out) == (ExitStatus.UNAVAILABLE, '')
    assert 'the log is down; wait' in err
    assert not world.log.appends


async def test_errors_are_json_for_scripts(world: World) -> None:
    """A script reads kind, detail and remedy."""
    _, _, err = await world.run('show', '9', '--json')
    assert set(json.loads(err)) == {'error', 'detail', 'remedy'}
