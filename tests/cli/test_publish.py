"""Publishing reports the correct outcome under any fault of the log."""

import json
from pathlib import Path

import pytest

from bramleybend.exit_status import ExitStatus
from bramleybend.state.terms_records import encode_renew
from tests.cli.fakes import PARWAZ, FakeEnvironment


@pytest.fixture(name='world')
def _world() -> FakeEnvironment:
    return FakeEnvironment()


async def test_a_publish_becomes_the_next_version(
    world: FakeEnvironment,
) -> None:
    """The output shows the version and the next step."""
    status, out, _ = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.OK
    assert 'version 1 is accepted' in out
    assert 'bramleybend-ctl wait 1' in out
    assert json.loads(world.log.records[0])['by'] == 'ana'


async def test_a_typo_is_refused_and_nothing_is_published(
    world: FakeEnvironment,
    tmp_path: Path,
) -> None:
    """The message names the line, the key and the nearest valid key."""
    misspelt_file = tmp_path / 'slip.yaml'
    misspelt_file.write_text(
        Path(PARWAZ).read_text().replace('tier: 1', 'teir: 1')
    )
    status, _, err = await world.run(
        'publish', str(misspelt_file), '--base', '0'
    )
    assert status is ExitStatus.INVALID
    assert 'line 18: unknown key profiles.slot-claim.teir' in err
    assert 'did you mean `tier`?' in err
    assert not world.log.appends


async def test_the_second_of_two_publishes_is_told_who_won(
    world: FakeEnvironment,
) -> None:
    """Both publish on version 1; ivan's record is first, so ana's loses."""
    await world.run('publish', PARWAZ, '--base', '0')
    await world.run('publish', PARWAZ, '--base', '1', '--by', 'ivan')
    appends = world.log.appends
    status, _, err = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.CONFLICT
    assert 'ivan published version 2 first' in err
    assert 'bramleybend-ctl diff' in err
    assert world.log.appends == appends


async def test_a_race_within_the_append_is_told_too(
    world: FakeEnvironment,
) -> None:
    """Ivan's record is appended after ana's command has read the stream.

    Ana's command reads version 1, then appends; ivan's record comes between
    the two. Only the order of the log decides the winner, so the command
    reads the stream again.
    """
    await world.run('publish', PARWAZ, '--base', '0')
    await world.run('publish', PARWAZ, '--base', '1', '--by', 'ivan')
    world.log.concurrent_records.append(world.log.records.pop())
    status, _, err = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.CONFLICT
    assert 'ivan published version 2 first' in err
    assert len(world.log.records) == 3


async def test_a_lost_reply_is_settled_and_said(world: FakeEnvironment) -> None:
    """The append took effect, but its reply was lost.

    The command must neither report a failure nor append twice: it finds the
    publish id in the stream.
    """
    world.log.lose_replies = 1
    status, out, err = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.OK
    assert "the log's reply was lost" in out
    assert 'reading the log' in err
    assert world.log.appends == 1


async def test_a_lost_append_is_repeated_once_the_log_was_read(
    world: FakeEnvironment,
) -> None:
    """Without reply and without record in the stream, it is sent again."""
    world.log.lose_records = 1
    status, out, _ = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.OK
    assert 'version 1 is accepted' in out
    assert world.log.appends == 2


async def test_an_append_that_lands_late_is_in_force_once(
    world: FakeEnvironment,
) -> None:
    """The first append takes effect after the second one: no conflict.

    The reply is lost and the stream doesn't hold the record, so it is sent
    again; then the first one appears as well. Both have the same base, so
    only the first record in the stream is accepted.
    """
    world.log.append_delay_s = 3
    status, out, _ = await world.run('publish', PARWAZ, '--base', '0')
    world.clock.advance(10)
    _, history, _ = await world.run('history')
    assert status is ExitStatus.OK
    assert 'version 1 is accepted' in out
    assert len(world.log.records) == 2
    assert 'in force: version 1' in history


async def test_an_outage_after_a_lost_reply_is_not_called_a_failure(
    world: FakeEnvironment,
) -> None:
    """The outcome is unknown until the log is readable again.

    The append takes effect, its reply is lost and the log goes down for
    reads. If the command reported a failure, the operator would publish again
    under a new id. Repeated with the same id, the command finds the record
    and appends nothing.
    """
    world.log.lose_replies = 1
    real_read = world.log.read

    async def fail_later(*args: object) -> object:
        world.log.down_reads = int(world.log.appends > 0)
        return await real_read(*args)  # type: ignore[arg-type]

    world.log.read = fail_later  # type: ignore[assignment]
    status, _, err = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.UNAVAILABLE
    assert 'the outcome of publish id-1 is unknown' in err
    assert '--publish-id id-1' in err
    assert world.log.appends == 1
    world.log.read = real_read  # type: ignore[method-assign]
    world.log.down_reads = 0
    repeat_args = ('publish', PARWAZ, '--base', '0', '--publish-id', 'id-1')
    status, out, _ = await world.run(*repeat_args)
    assert status is ExitStatus.OK
    assert 'published before under this id' in out
    assert world.log.appends == 1


async def test_a_log_that_is_down_leaves_nothing_published(
    world: FakeEnvironment,
) -> None:
    """If reads or appends fail, the exit code is 5 and nothing is appended."""
    world.log.down_reads = 1
    status, _, err = await world.run('publish', PARWAZ, '--base', '0')
    assert (status, world.log.appends) == (ExitStatus.UNAVAILABLE, 0)
    assert 'the log is down; wait' in err
    world.log.down = 1
    status, _, _ = await world.run('publish', PARWAZ, '--base', '0')
    assert (status, world.log.records) == (ExitStatus.UNAVAILABLE, [])


async def test_a_publish_id_never_stands_for_two_texts(
    world: FakeEnvironment,
    tmp_path: Path,
) -> None:
    """Otherwise the command would report an unsent text as in force."""
    await world.run('publish', PARWAZ, '--base', '0', '--publish-id', 'a')
    changed_file = tmp_path / 'other.yaml'
    changed_file.write_text(
        Path(PARWAZ).read_text().replace('weight: 8', 'weight: 9')
    )
    repeat_args = (
        'publish',
        str(changed_file),
        '--base',
        '0',
        '--publish-id',
        'a',
    )
    status, _, err = await world.run(*repeat_args)
    assert status is ExitStatus.CONFLICT
    assert 'was used for another text' in err


async def test_a_base_that_is_not_there_yet_is_refused(
    world: FakeEnvironment,
) -> None:
    """A mistyped base must not stay in the log until its version exists."""
    status, _, err = await world.run('publish', PARWAZ, '--base', '7')
    assert status is ExitStatus.CONFLICT
    assert 'there is no version 7; in force is 0' in err
    assert not world.log.appends


async def test_restore_publishes_old_content_as_a_new_version(
    world: FakeEnvironment,
    tmp_path: Path,
) -> None:
    """A restore makes a new version: version 3 has the text of version 1."""
    changed_file = tmp_path / 'other.yaml'
    changed_file.write_text(
        Path(PARWAZ).read_text().replace('weight: 8', 'weight: 9')
    )
    await world.run('publish', PARWAZ, '--base', '0')
    await world.run('publish', str(changed_file), '--base', '1')
    status, out, _ = await world.run('restore', '1')
    assert status is ExitStatus.OK
    assert 'version 3 is accepted' in out
    _, shown, _ = await world.run('show', '--document')
    assert shown == Path(PARWAZ).read_text()


async def test_restore_of_a_forgotten_version_names_those_that_are_kept(
    world: FakeEnvironment,
) -> None:
    """Versions older than the log's retention can't be restored."""
    status, _, err = await world.run('restore', '4')
    assert status is ExitStatus.NOT_FOUND
    assert 'does not hold version 4; it holds: none' in err


async def test_a_log_that_forgot_the_terms_takes_no_publish(
    world: FakeEnvironment,
) -> None:
    """The base is unknown until a VM renews the terms in the log."""
    await world.run('publish', PARWAZ, '--base', '0')
    world.log.first_offset = 1
    status, _, err = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.UNAVAILABLE
    assert 'wait a minute for a VM to renew them' in err
    assert world.log.appends == 1


async def test_only_what_follows_the_last_renewal_is_read(
    world: FakeEnvironment,
) -> None:
    """Validating thousands of large documents a day would take an hour.

    The winner of a race, or the record of a repeated id, may precede the
    renewal; in these cases the whole stream is read.
    """
    await world.run('publish', PARWAZ, '--base', '0')
    document = json.loads(world.log.records[0])['document']
    world.log.records.append(encode_renew(1, document, 1))
    world.log.read_offsets.clear()
    status, _, _ = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.OK
    assert min(world.log.read_offsets[2:]) == 1
    _, _, err = await world.run('publish', PARWAZ, '--base', '0')
    assert 'ana published version 1 first' in err
    repeat_args = ('publish', PARWAZ, '--base', '0', '--publish-id', 'id-1')
    _, out, _ = await world.run(*repeat_args)
    assert 'published before under this id' in out


async def test_terms_lost_everywhere_are_recovered_once(
    world: FakeEnvironment,
) -> None:
    """Recovery after an outage of all VMs longer than the log's retention.

    Neither the log nor a VM has the terms, so no publish has a base and an
    operator supplies them. The command is rejected while a VM still knows the
    terms and after they were recovered. The first append is silently lost.
    """
    await world.run('publish', PARWAZ, '--base', '0')
    world.log.first_offset = 1
    first_status, _, err = await world.run('recover', PARWAZ, '5')
    assert (first_status, world.log.appends) == (ExitStatus.CONFLICT, 1)
    assert 'still knows the terms' in err
    for process in world.processes.values():
        process.terms_version = 0
    world.log.lose_records = 1
    status, _, _ = await world.run('recover', PARWAZ, '5')
    repeat_args, _, err = await world.run('recover', PARWAZ, '6')
    assert (status, repeat_args) == (ExitStatus.OK, ExitStatus.CONFLICT)
    assert 'in force is 5' in err
    _, out, _ = await world.run('publish', PARWAZ, '--base', '5')
    assert 'version 6 is accepted' in out
