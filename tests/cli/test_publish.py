"""Publishing tells the truth about what is in force, whatever the log does."""

import json
from pathlib import Path

import pytest

from bramleybend.state.terms_records import encode_renew
from bramleybend.status import ExitStatus
from tests.cli.world import PARWAZ, World


@pytest.fixture(name='world')
def _world() -> World:
    return World()


async def test_a_publish_becomes_the_next_version(world: World) -> None:
    """The operator is told the version and the next step."""
    status, out, _ = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.OK
    assert 'version 1 is accepted' in out
    assert 'bramleybend-ctl wait 1' in out
    assert json.loads(world.log.records[0])['by'] == 'ana'


async def test_a_typo_is_refused_and_nothing_is_published(
    world: World,
    tmp_path: Path,
) -> None:
    """The message names the line, the key and the nearest valid key."""
    slip = tmp_path / 'slip.yaml'
    slip.write_text(Path(PARWAZ).read_text().replace('tier: 1', 'teir: 1'))
    status, _, err = await world.run('publish', str(slip), '--base', '0')
    assert status is ExitStatus.INVALID
    assert 'line 18: unknown key profiles.slot-claim.teir' in err
    assert 'did you mean `tier`?' in err
    assert not world.log.appends


async def test_the_second_of_two_publishes_is_told_who_won(
    world: World,
) -> None:
    """Both read version 1; ivan's record lands first, so ana is told."""
    await world.run('publish', PARWAZ, '--base', '0')
    await world.run('publish', PARWAZ, '--base', '1', '--by', 'ivan')
    appends = world.log.appends
    status, _, err = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.CONFLICT
    assert 'ivan published version 2 first' in err
    assert 'bramleybend-ctl diff' in err
    assert world.log.appends == appends


async def test_a_race_within_the_append_is_told_too(world: World) -> None:
    """Ivan's record lands after ana has read the stream.

    Ana's command reads version 1, then appends; ivan's append lands between
    the two. Only the log's order can say who won, so the stream is read again.
    """
    await world.run('publish', PARWAZ, '--base', '0')
    await world.run('publish', PARWAZ, '--base', '1', '--by', 'ivan')
    world.log.overtaken_by.append(world.log.records.pop())
    status, _, err = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.CONFLICT
    assert 'ivan published version 2 first' in err
    assert len(world.log.records) == 3


async def test_a_lost_reply_is_settled_and_said(world: World) -> None:
    """The append took effect, its reply did not arrive.

    The operator must neither be told of a failure nor publish twice: the
    stream shows the publish id, so the command needs no second append.
    """
    world.log.lose_replies = 1
    status, out, err = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.OK
    assert "the log's reply was lost" in out
    assert 'reading the log' in err
    assert world.log.appends == 1


async def test_a_lost_append_is_repeated_once_the_log_was_read(
    world: World,
) -> None:
    """Neither landed nor answered: absent from the stream, sent again."""
    world.log.lose_records = 1
    status, out, _ = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.OK
    assert 'version 1 is accepted' in out
    assert world.log.appends == 2


async def test_an_append_that_lands_late_is_in_force_once(
    world: World,
) -> None:
    """The first append lands after the second: one version, no conflict.

    The reply is lost and the stream does not show the record, so it is sent
    again; then the first one lands as well. Both name the same base, so the
    rules take the one and pass the other over.
    """
    world.log.late_s = 3
    status, out, _ = await world.run('publish', PARWAZ, '--base', '0')
    world.clock.advance(10)
    _, history, _ = await world.run('history')
    assert status is ExitStatus.OK
    assert 'version 1 is accepted' in out
    assert len(world.log.records) == 2
    assert 'in force: version 1' in history


async def test_an_outage_after_a_lost_reply_is_not_called_a_failure(
    world: World,
) -> None:
    """Nobody can know; the publish id settles it once the log is back.

    The append lands, its reply is lost and the log goes down for reads. A
    plain "failed" would make the operator publish again under a new id. The
    same command with the id then finds the record and appends nothing.
    """
    world.log.lose_replies = 1
    before = world.log.read

    async def fail_later(*args: object) -> object:
        world.log.down_reads = int(world.log.appends > 0)
        return await before(*args)  # type: ignore[arg-type]

    world.log.read = fail_later  # type: ignore[assignment]
    status, _, err = await world.run('publish', PARWAZ, '--base', '0')
    assert status is ExitStatus.UNAVAILABLE
    assert 'it is not known whether publish id-1 landed' in err
    assert '--publish-id id-1' in err
    assert world.log.appends == 1
    world.log.read = before  # type: ignore[method-assign]
    world.log.down_reads = 0
    again = ('publish', PARWAZ, '--base', '0', '--publish-id', 'id-1')
    status, out, _ = await world.run(*again)
    assert status is ExitStatus.OK
    assert 'published before under this id' in out
    assert world.log.appends == 1


async def test_a_log_that_is_down_leaves_nothing_published(
    world: World,
) -> None:
    """Down for reads or for appends: code 5, and the stream stays empty."""
    world.log.down_reads = 1
    status, _, err = await world.run('publish', PARWAZ, '--base', '0')
    assert (status, world.log.appends) == (ExitStatus.UNAVAILABLE, 0)
    assert 'the log is down; wait' in err
    world.log.down = 1
    status, _, _ = await world.run('publish', PARWAZ, '--base', '0')
    assert (status, world.log.records) == (ExitStatus.UNAVAILABLE, [])


async def test_a_publish_id_never_stands_for_two_texts(
    world: World,
    tmp_path: Path,
) -> None:
    """Else the operator would be told that a text not sent is in force."""
    await world.run('publish', PARWAZ, '--base', '0', '--publish-id', 'a')
    other = tmp_path / 'other.yaml'
    other.write_text(Path(PARWAZ).read_text().replace('weight: 8', 'weight: 9'))
    again = ('publish', str(other), '--base', '0', '--publish-id', 'a')
    status, _, err = await world.run(*again)
    assert status is ExitStatus.CONFLICT
    assert 'stands for other text' in err


async def test_a_base_that_is_not_there_yet_is_refused(world: World) -> None:
    """A slip of the number must not wait in the log for its version."""
    status, _, err = await world.run('publish', PARWAZ, '--base', '7')
    assert status is ExitStatus.CONFLICT
    assert 'there is no version 7; in force is 0' in err
    assert not world.log.appends


async def test_restore_publishes_old_content_as_a_new_version(
    world: World,
    tmp_path: Path,
) -> None:
    """Nothing reverts: version 3 has the text of version 1."""
    other = tmp_path / 'other.yaml'
    other.write_text(Path(PARWAZ).read_text().replace('weight: 8', 'weight: 9'))
    await world.run('publish', PARWAZ, '--base', '0')
    await world.run('publish', str(other), '--base', '1')
    status, out, _ = await world.run('restore', '1')
    assert status is ExitStatus.OK
    assert 'version 3 is accepted' in out
    _, shown, _ = await world.run('show', '--document')
    assert shown == Path(PARWAZ).read_text()


async def test_restore_of_a_forgotten_version_names_those_that_are_kept(
    world: World,
) -> None:
    """The log keeps records for a limited time."""
    status, _, err = await world.run('restore', '4')
    assert status is ExitStatus.NOT_FOUND
    assert 'does not hold version 4; it holds: none' in err


async def test_a_log_that_forgot_the_terms_takes_no_publish(
    world: World,
) -> None:
    """Without them nobody knows the base; the VMs write them again."""
    await world.run('publish', PARWAZ, '--base', '0')
    world.log.first_offset = 1
    status, _, err = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.UNAVAILABLE
    assert 'wait a minute for a VM to renew them' in err
    assert world.log.appends == 1


async def test_only_what_follows_the_last_renewal_is_read(
    world: World,
) -> None:
    """Thousands of large documents a day would take an hour to validate.

    The winner of a race and a repeated id may stand before the renewal, so
    for these the whole stream is read.
    """
    await world.run('publish', PARWAZ, '--base', '0')
    document = json.loads(world.log.records[0])['document']
    world.log.records.append(encode_renew(1, document, 1))
    world.log.read_from.clear()
    status, _, _ = await world.run('publish', PARWAZ, '--base', '1')
    assert status is ExitStatus.OK
    assert min(world.log.read_from[2:]) == 1
    _, _, err = await world.run('publish', PARWAZ, '--base', '0')
    assert 'ana published version 1 first' in err
    again = ('publish', PARWAZ, '--base', '0', '--publish-id', 'id-1')
    _, out, _ = await world.run(*again)
    assert 'published before under this id' in out


async def test_terms_lost_everywhere_are_recovered_once(world: World) -> None:
    """All VMs were away for longer than the log keeps records.

    Neither the log nor a VM knows the terms, so no publish has a base. The
    operator states them; a second operator, and one whose VMs still know
    them, are refused. The first append is lost without a word.
    """
    await world.run('publish', PARWAZ, '--base', '0')
    world.log.first_offset = 1
    refused, _, err = await world.run('recover', PARWAZ, '5')
    assert (refused, world.log.appends) == (ExitStatus.CONFLICT, 1)
    assert 'still knows the terms' in err
    for process in world.processes.values():
        process.terms_version = 0
    world.log.lose_records = 1
    status, _, _ = await world.run('recover', PARWAZ, '5')
    again, _, err = await world.run('recover', PARWAZ, '6')
    assert (status, again) == (ExitStatus.OK, ExitStatus.CONFLICT)
    assert 'in force is 5' in err
    _, out, _ = await world.run('publish', PARWAZ, '--base', '5')
    assert 'version 6 is accepted' in out
