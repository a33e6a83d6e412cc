"""Formats status replies of processes as tables and as JSON data."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final

from bramleybend.cli.control import ProcessStatus, ShardStatus
from bramleybend.cli.output import format_table
from bramleybend.cli.processes import StatusResult
from bramleybend.models import Tier

NO_ANSWER: Final = 'no answer'
TIERS: Final = tuple(str(tier.value) for tier in Tier)
PROCESS_HEADER: Final = (
    'VM',
    'DOMAIN',
    'PROCESS',
    'STATE',
    'INCARNATION',
    'TERMS',
    'AGE S',
    'LOG',
    'LIST',
    'IN FLIGHT',
    *(f'TIER {tier}' for tier in TIERS),
)
SHARD_HEADER: Final = (
    'SERVICE',
    'SHARD',
    'OWNER',
    'RUNNING',
    'WAITING',
    'LIMIT',
)
RUNNER_KEYS: Final = ('name', 'service', 'domain', 'state', 'endpoint')


def versions_table(results: Sequence[StatusResult]) -> tuple[str, list[Any]]:
    """Return the terms in force on each VM, as a table and as data."""
    header = ('VM', 'PROCESS', 'TERMS', 'AGE S', 'NOTE')
    rows = [_version_row(result) for result in results]
    return format_table(header, rows), [_to_data(result) for result in results]


def status_tables(results: Sequence[StatusResult]) -> tuple[str, list[Any]]:
    """Return the tables of processes, shards and runners, and the data."""
    tables = (
        _process_table(results),
        _shard_table(results),
        _runner_table(results),
    )
    return '\n'.join(filter(None, tables)), [
        _to_data(result) for result in results
    ]


def _to_data(result: StatusResult) -> dict[str, object]:
    known = {'vm': result.process.vm, 'endpoint': result.process.endpoint}
    status = result.reply.ok()
    if status is None:
        return {**known, 'error': NO_ANSWER}
    return {**known, **status.model_dump()}


def _version_row(result: StatusResult) -> list[object]:
    where: list[object] = [result.process.vm, result.process.kind]
    status = result.reply.ok()
    if status is None:
        return [*where, None, None, result.reply.err()]
    return [*where, status.terms_version, _format_age(status), '']


def _process_table(results: Sequence[StatusResult]) -> str:
    return format_table(PROCESS_HEADER, map(_process_row, results))


def _process_row(result: StatusResult) -> list[object]:
    process = result.process
    status = result.reply.ok()
    if status is None:
        known: list[object] = [process.vm, None, process.kind, NO_ANSWER]
        return known + [None for _ in PROCESS_HEADER[len(known) :]]
    return [
        process.vm,
        status.domain,
        process.kind,
        'draining' if status.draining else 'serving',
        status.incarnation,
        status.terms_version,
        _format_age(status),
        _format_health(status.log_ok),
        _format_health(status.list_ok),
        status.in_flight,
        *(status.queues.get(tier, 0) for tier in TIERS),
    ]


def _shard_table(results: Sequence[StatusResult]) -> str:
    shards = [shard for status in _received(results) for shard in status.shards]
    rows = {(item.service, item.shard, item.owner): item for item in shards}
    if not rows:
        return ''
    return format_table(
        SHARD_HEADER, (_shard_row(rows[key]) for key in sorted(rows))
    )


def _shard_row(shard: ShardStatus) -> list[object]:
    return [
        shard.service,
        shard.shard,
        shard.owner,
        shard.running,
        shard.waiting,
        shard.limit,
    ]


def _runner_table(results: Sequence[StatusResult]) -> str:
    runners = [
        runner for status in _received(results) for runner in status.runners
    ]
    known = [runner for runner in runners if isinstance(runner, dict)]
    rows = {str(runner.get('name')): runner for runner in known}
    if not rows:
        return ''
    header = ('RUNNER', 'SERVICE', 'DOMAIN', 'STATE', 'ENDPOINT')
    return format_table(
        header, (_runner_row(rows[name]) for name in sorted(rows))
    )


def _runner_row(runner: dict[str, object]) -> list[object]:
    return [runner.get(key) for key in RUNNER_KEYS]


def _received(results: Iterable[StatusResult]) -> Iterator[ProcessStatus]:
    for result in results:
        status = result.reply.ok()
        if status is not None:
            yield status


def _format_age(status: ProcessStatus) -> str | None:
    age = status.terms_age_s
    return None if age is None else f'{age:.1f}'


def _format_health(flag: bool | None) -> str | None:
    if flag is None:
        return None
    return 'ok' if flag else 'DOWN'
