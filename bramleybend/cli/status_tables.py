"""What processes said of themselves, as tables and as data."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final

from bramleybend.cli.control import ProcessStatus, ShardStatus
from bramleybend.cli.output import table
from bramleybend.cli.processes import Told
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


def versions_table(told: Sequence[Told]) -> tuple[str, list[Any]]:
    """Return the terms in force on each VM."""
    header = ('VM', 'PROCESS', 'TERMS', 'AGE S', 'NOTE')
    rows = [_version_row(each) for each in told]
    return table(header, rows), [_data(each) for each in told]


def status_tables(told: Sequence[Told]) -> tuple[str, list[Any]]:
    """Return processes, shards and runners."""
    tables = (
        _process_table(told),
        _shard_table(told),
        _runner_table(told),
    )
    return '\n'.join(filter(None, tables)), [_data(each) for each in told]


def _data(told: Told) -> dict[str, object]:
    known = {'vm': told.process.vm, 'endpoint': told.process.endpoint}
    status = told.reply.ok()
    if status is None:
        return {**known, 'error': NO_ANSWER}
    return {**known, **status.model_dump()}


def _version_row(told: Told) -> list[object]:
    where: list[object] = [told.process.vm, told.process.kind]
    status = told.reply.ok()
    if status is None:
        return [*where, None, None, told.reply.err()]
    return [*where, status.terms_version, _age(status), '']


def _process_table(told: Sequence[Told]) -> str:
    return table(PROCESS_HEADER, map(_process_row, told))


def _process_row(told: Told) -> list[object]:
    process = told.process
    status = told.reply.ok()
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
        _age(status),
        _health(status.log_ok),
        _health(status.list_ok),
        status.in_flight,
        *(status.queues.get(tier, 0) for tier in TIERS),
    ]


def _shard_table(told: Sequence[Told]) -> str:
    shards = [shard for status in _said(told) for shard in status.shards]
    rows = {(each.service, each.shard, each.owner): each for each in shards}
    if not rows:
        return ''
    return table(SHARD_HEADER, (_shard_row(rows[key]) for key in sorted(rows)))


def _shard_row(shard: ShardStatus) -> list[object]:
    return [
        shard.service,
        shard.shard,
        shard.owner,
        shard.running,
        shard.waiting,
        shard.limit,
    ]


def _runner_table(told: Sequence[Told]) -> str:
    runners = [runner for status in _said(told) for runner in status.runners]
    known = [runner for runner in runners if isinstance(runner, dict)]
    rows = {str(runner.get('name')): runner for runner in known}
    if not rows:
        return ''
    header = ('RUNNER', 'SERVICE', 'DOMAIN', 'STATE', 'ENDPOINT')
    return table(header, (_runner_row(rows[name]) for name in sorted(rows)))


def _runner_row(runner: dict[str, object]) -> list[object]:
    return [runner.get(key) for key in RUNNER_KEYS]


def _said(told: Iterable[Told]) -> Iterator[ProcessStatus]:
    for each in told:
        status = each.reply.ok()
        if status is not None:
            yield status


def _age(status: ProcessStatus) -> str | None:
    age = status.terms_age_s
    return None if age is None else f'{age:.1f}'


def _health(flag: bool | None) -> str | None:
    if flag is None:
        return None
    return 'ok' if flag else 'DOWN'
