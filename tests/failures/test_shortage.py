"""Load in all tiers far above what the engines can serve.

Queues fill, deadlines come near, and lower tiers give up their slots; only then
may a higher tier be shed. Bulk work is refused or stopped, higher tiers are
served. A request may be shed only once no owner serves anything lower, so each
`not_run`, also by a deadline that passed in a queue, is compared with what the
engines were running at that moment.
"""

import asyncio
import signal
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
import yaml

from bramleybend.answers import Outcome
from bramleybend.models import Tier
from tests.utils.cluster import ENGINE_SERVICE, EXAMPLE, Layout
from tests.utils.engine import EngineConfig
from tests.utils.engine_batch import Run
from tests.utils.eventlog import LoggedEvent, parse_events
from tests.utils.load import Stream
from tests.utils.scenario import Scenario, assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(slots=4, decode_tps=40),) * 2,
    plain_latencies_ms=(20,),
)
# Eight slots decode 320 tokens per second. The second tier alone needs 600, so
# some of it must be shed; all tiers together need about 1,900.
LOAD = (
    Stream('logbook-check', 15, 4, (100, 400), (30, 50)),
    Stream('debrief', 10, 4, (100, 400), (50, 80)),
    Stream('syllabus-summary', 8, 4, (100, 400), (60, 100)),
)


@dataclass(frozen=True)
class _ServedRun:
    tier: Tier
    start: float
    end: float


def _served_runs(scene: Scenario) -> Iterator[_ServedRun]:
    tiers = {
        record.work.content: record.work.tier for record in scene.ledger.records
    }
    for engine in scene.cluster.runners.engines:
        for run in engine.admitted:
            if run.prompt_hash in tiers:
                yield _make_served_run(run, tiers[run.prompt_hash])


def _make_served_run(run: Run, tier: Tier) -> _ServedRun:
    return _ServedRun(tier, run.admitted_at, run.ended_at or float('inf'))


def _make_two_shard_terms() -> str:
    """Return terms that split the engines between two owners.

    Then no owner knows all that the engines serve.
    """
    document = yaml.safe_load(EXAMPLE.read_text())
    document['services']['briefing-llm']['shards'] = 2
    return yaml.safe_dump(document)


async def test_no_higher_tier_is_shed_while_a_lower_one_is_served(
    tmp_path: Path,
) -> None:
    """No engine runs a lower tier at the moment in which a request is shed."""
    async with scenario(LAYOUT, tmp_path, _make_two_shard_terms()) as scene:
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.NOT_RUN, 'logbook-check') >= 20,
                '20 requests of the second tier shed',
            )
        events = list(parse_events(scene.cluster.event_lines()))
        sheds = [
            event
            for event in events
            if event['event'] == 'settled' and event['outcome'] == 'not_run'
        ]
        assert any(int(shed['tier']) == Tier.HIGH for shed in sheds)
        # `proved` is false where the owners did not confirm the shed in time.
        proved_by_request = {
            each['req']: each['proved']
            for each in events
            if each['event'] == 'shed'
        }
        unconfirmed = [
            shed for shed in sheds if shed['req'] not in proved_by_request
        ]
        assert not unconfirmed, (
            f'{len(unconfirmed)} shed without asking: {unconfirmed[:2]}'
        )
        served = list(_served_runs(scene))
        for shed in sheds:
            lower = [
                each
                for each in served
                if each.tier > int(shed['tier'])
                and each.start < shed.at < each.end
            ]
            assert not lower, (shed, proved_by_request[shed['req']], lower)
        assert_clean(scene.verdict())


@pytest.mark.parametrize('pause_s', [0.9, 1.2])
async def test_no_higher_tier_is_shed_after_a_brief_pause_of_an_owner(
    tmp_path: Path,
    pause_s: float,
) -> None:
    """Guards against higher tiers that wait where no owner can serve them."""
    async with scenario(LAYOUT, tmp_path, _make_two_shard_terms()) as scene:
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) >= 10,
                'requests are served before the pause',
            )
            owner = scene.owner(ENGINE_SERVICE).scheduler
            owner.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            owner.send_signal(signal.SIGCONT)
            await wait_until(
                lambda: scene.count(Outcome.NOT_RUN, 'logbook-check') >= 20,
                '20 requests of the second tier shed',
            )
        served = list(_served_runs(scene))
        violations = [
            (shed, lower)
            for shed in _shed_events(scene)
            if (lower := _lower_tier_runs_at(shed, served))
        ]
        assert not violations, f'{len(violations)} of them: {violations[:3]}'


def _shed_events(scene: Scenario) -> list[LoggedEvent]:
    return [
        event
        for event in parse_events(scene.cluster.event_lines())
        if event['event'] == 'settled' and event['outcome'] == 'not_run'
    ]


def _lower_tier_runs_at(
    shed: LoggedEvent, served: list[_ServedRun]
) -> list[_ServedRun]:
    return [
        each
        for each in served
        if each.tier > int(shed['tier']) and each.start < shed.at < each.end
    ]
