"""Much more work than the engines can do, in all tiers at once.

What the caller sees: bulk work is turned away or stopped, high tiers are
served. Order: queues fill, deadlines near, lower tiers give their slots up,
and only then may a higher tier be shed. Why: a request is shed only once no
owner serves anything lower, so each `not_run` (a deadline that ran out in a
queue counts) is held against what the engines were running at that moment.
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
# Eight slots give 320 tokens a second. The second tier alone asks for 600, so
# some of it must be shed; all tiers together ask for about 1,900.
LOAD = (
    Stream('logbook-check', 15, 4, (100, 400), (30, 50)),
    Stream('debrief', 10, 4, (100, 400), (50, 80)),
    Stream('syllabus-summary', 8, 4, (100, 400), (60, 100)),
)


@dataclass(frozen=True)
class _Served:
    tier: Tier
    start: float
    end: float


def _served(scene: Scenario) -> Iterator[_Served]:
    tiers = {
        record.work.content: record.work.tier for record in scene.ledger.records
    }
    for engine in scene.cluster.runners.engines:
        for run in engine.admitted:
            if run.prompt_hash in tiers:
                yield _served_of(run, tiers[run.prompt_hash])


def _served_of(run: Run, tier: Tier) -> _Served:
    return _Served(tier, run.admitted_at, run.ended_at or float('inf'))


def _two_owners() -> str:
    """Split the engines: no owner alone knows all that is served."""
    document = yaml.safe_load(EXAMPLE.read_text())
    document['services']['briefing-llm']['shards'] = 2
    return yaml.safe_dump(document)


async def test_no_higher_tier_is_shed_while_a_lower_one_is_served(
    tmp_path: Path,
) -> None:
    """Each request turned away finds nothing lower on any engine."""
    async with scenario(LAYOUT, tmp_path, _two_owners()) as scene:
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.NOT_RUN, 'logbook-check') >= 20,
                '20 requests of the second tier turned away',
            )
        events = list(parse_events(scene.cluster.event_lines()))
        sheds = [
            event
            for event in events
            if event['event'] == 'settled' and event['outcome'] == 'not_run'
        ]
        assert any(int(shed['tier']) == Tier.HIGH for shed in sheds)
        # What `proved=False` tells apart: no owner gave its word in time.
        asked = {
            each['req']: each['proved']
            for each in events
            if each['event'] == 'shed'
        }
        unasked = [shed for shed in sheds if shed['req'] not in asked]
        assert not unasked, f'{len(unasked)} shed without asking: {unasked[:2]}'
        served = list(_served(scene))
        for shed in sheds:
            lower = [
                each
                for each in served
                if each.tier > int(shed['tier'])
                and each.start < shed.at < each.end
            ]
            assert not lower, (shed, asked[shed['req']], lower)
        assert_clean(scene.verdict())


@pytest.mark.parametrize('pause_s', [0.9, 1.2])
async def test_no_higher_tier_is_shed_after_a_brief_pause_of_an_owner(
    tmp_path: Path,
    pause_s: float,
) -> None:
    """Guards against higher tiers that wait where nobody can serve them."""
    async with scenario(LAYOUT, tmp_path, _two_owners()) as scene:
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
                '20 requests of the second tier turned away',
            )
        served = list(_served(scene))
        wrong = [
            (shed, lower)
            for shed in _sheds(scene)
            if (lower := _lower_beside(shed, served))
        ]
        assert not wrong, f'{len(wrong)} of them: {wrong[:3]}'


def _sheds(scene: Scenario) -> list[LoggedEvent]:
    return [
        event
        for event in parse_events(scene.cluster.event_lines())
        if event['event'] == 'settled' and event['outcome'] == 'not_run'
    ]


def _lower_beside(shed: LoggedEvent, served: list[_Served]) -> list[_Served]:
    return [
        each
        for each in served
        if each.tier > int(shed['tier']) and each.start < shed.at < each.end
    ]
