"""Engines are ordered to load new versions and roles, under load and faults.

New terms name another version or role. The owner of each shard claims its
engines in the log (and so becomes their issuer of orders) and orders only a
few to load at once, as an engine that loads serves no requests. An issuer that
was paused resumes with outdated terms; its orders must have no effect.
"""

import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import yaml

from bramleybend.answers import Outcome
from tests.utils.cluster import ENGINE_SERVICE, EXAMPLE, Layout
from tests.utils.engine import Engine, EngineConfig
from tests.utils.engine_weights import most_at_once
from tests.utils.entry_vm import EntryVm
from tests.utils.eventlog import LoggedEvent, parse_events
from tests.utils.load import Stream
from tests.utils.relay import Cut
from tests.utils.scenario import Scenario, assert_clean, scenario
from tests.utils.waiting import wait_until

MAX_CONCURRENT_LOADS = 2
FENCE_CHECKING_ENGINE = EngineConfig(
    decode_tps=300, checks_fence=True, load_s=1
)
FOUR_ENGINES = Layout(
    vms=3, engines=(FENCE_CHECKING_ENGINE,) * 4, plain_latencies_ms=(20,)
)
# Terms never turn stale here, so a resumed issuer still acts on outdated ones
# and only the fence stops it.
ONE_ENGINE = Layout(
    vms=2,
    engines=(FENCE_CHECKING_ENGINE,),
    plain_latencies_ms=(20,),
    flags=('--terms-stale-after-s', '300'),
)
ONE_FENCE_IGNORING_ENGINE = replace(
    ONE_ENGINE,
    engines=(EngineConfig(decode_tps=300, load_s=1),),
)
ISSUER_ROUNDS_S = 6
LOAD = (Stream('debrief', 8, 8, (50, 200), (10, 20)),)


def _make_terms(
    version: str = '1',
    role: str = 'mixed',
    adapters: Sequence[str] = (),
    loads_at_once: int = MAX_CONCURRENT_LOADS,
    **service: Any,
) -> str:
    document: dict[str, Any] = yaml.safe_load(EXAMPLE.read_text())
    document['services'][ENGINE_SERVICE] |= service
    document['services'][ENGINE_SERVICE]['engines'] = {
        'model': 'model-a',
        'version': version,
        'role': role,
        'adapters': list(adapters),
    }
    document['weight_store'] = {'loads_at_once': loads_at_once}
    return yaml.safe_dump(document)


def _events_named(scene: Scenario, name: str) -> list[LoggedEvent]:
    lines = scene.cluster.event_lines()
    return [each for each in parse_events(lines) if each['event'] == name]


def _max_concurrent_loads(engines: Sequence[Engine]) -> int:
    return most_at_once(
        [load for each in engines for load in each.weights.loads]
    )


def _all_hold_version(engines: Sequence[Engine], version: str) -> bool:
    return all(
        each.weights.version == version and not each.weights.loading
        for each in engines
    )


@pytest.mark.parametrize(('shards', 'limit'), [(1, 2), (2, 1)])
async def test_a_new_version_reaches_every_engine_few_at_a_time(
    tmp_path: Path,
    shards: int,
    limit: int,
) -> None:
    """An engine is drained before it loads and gets no work meanwhile."""
    document = _make_terms(loads_at_once=limit, shards=shards)
    async with scenario(FOUR_ENGINES, tmp_path, document) as scene:
        engines = scene.cluster.runners.engines
        async with scene.load(LOAD):
            new_terms = _make_terms(
                '2',
                adapters=['logbook'],
                loads_at_once=limit,
                shards=shards,
            )
            scene.cluster.publish(new_terms, 1)
            await wait_until(
                lambda: all(
                    'logbook' in each.weights.adapters for each in engines
                ),
                'every engine holds the new version and its adapter',
                60,
            )
            target_count = scene.count(Outcome.DONE) + 20
            await wait_until(
                lambda: scene.count(Outcome.DONE) >= target_count,
                'the load goes on',
            )
        assert _all_hold_version(engines, '2')
        assert _max_concurrent_loads(engines) <= limit
        assert_clean(scene.verdict())
        assert scene.verdict().is_clean, scene.verdict().reasons
        for engine in engines:
            for load in engine.weights.loads:
                assert not [
                    run
                    for run in engine.admitted
                    if run.started_at < load.ended_at
                    and run.ended_at > load.began_at
                ], 'a run was under way while the engine loaded'


async def test_a_version_that_cannot_be_loaded_stops_its_own_rollout(
    tmp_path: Path,
) -> None:
    """The other half of the engines keep the old version and serve."""
    async with scenario(FOUR_ENGINES, tmp_path, _make_terms()) as scene:
        engines = scene.cluster.runners.engines
        for engine in engines:
            engine.faults.unloadable = '2'
            engine.faults.lose_order_replies = 1
        async with scene.load(LOAD):
            scene.cluster.publish(_make_terms('2'), 1)
            await wait_until(
                lambda: (
                    len(_events_named(scene, 'order_failed'))
                    >= MAX_CONCURRENT_LOADS
                ),
                'the issuer sees that the version does not load',
            )
            target_count = scene.count(Outcome.DONE) + 30
            await wait_until(
                lambda: scene.count(Outcome.DONE) >= target_count,
                'the load goes on',
            )
            loaded = [each for each in engines if each.weights.loads]
            assert len(loaded) == MAX_CONCURRENT_LOADS
            scene.cluster.publish(_make_terms('3'), 2)
            await wait_until(
                lambda: _all_hold_version(engines, '3'),
                'the engines load a version that can be loaded',
                30,
            )
        assert _max_concurrent_loads(engines) <= MAX_CONCURRENT_LOADS
        assert_clean(scene.verdict())


async def test_an_issuer_that_wakes_is_refused_by_the_fence(
    tmp_path: Path,
) -> None:
    """It orders the old role; the engine refuses and keeps the new one."""
    async with scenario(ONE_ENGINE, tmp_path, _make_terms()) as scene:
        engine = scene.cluster.runners.engines[0]
        await wait_until(
            lambda: bool(engine.orders), 'the engine has received a fence'
        )
        paused_issuer = _current_issuer(scene)
        successor = _other_vm(scene, paused_issuer)
        paused_issuer.freeze()
        scene.cluster.publish(_make_terms(role='decode'), 1)
        await wait_until(
            lambda: engine.weights.role == 'decode',
            'the successor orders the new role',
            30,
        )
        successor.freeze()
        paused_issuer.log_relay.cut(Cut.BOTH)
        paused_issuer.thaw()
        await wait_until(
            lambda: bool(engine.refused_orders),
            'the resumed issuer is refused',
            30,
        )
        assert engine.weights.role == 'decode'
        successor.thaw()
        await paused_issuer.log_relay.heal(drop=True)
        await wait_until(
            lambda: _order_claims(scene)[-1]['vm'] == paused_issuer.name,
            'the resumed issuer claims again and knows the new terms',
            30,
        )
        assert engine.weights.role == 'decode'
        assert {each['role'] for each in engine.orders[1:]} <= {
            'mixed',
            'decode',
        }


async def test_an_issuer_that_wakes_orders_nothing_where_fences_are_ignored(
    tmp_path: Path,
) -> None:
    """A resumed issuer must read the log, and so its successor's claim, first.

    These engines ignore fences, so they would obey an outdated order.
    """
    document = _make_terms(checks_fence=False)
    async with scenario(ONE_FENCE_IGNORING_ENGINE, tmp_path, document) as scene:
        engine = scene.cluster.runners.engines[0]
        await wait_until(
            lambda: bool(_order_claims(scene)), 'an issuer has claimed'
        )
        paused_issuer = _current_issuer(scene)
        successor = _other_vm(scene, paused_issuer)
        paused_issuer.freeze()
        new_terms = _make_terms(role='decode', checks_fence=False)
        scene.cluster.publish(new_terms, 1)
        await wait_until(
            lambda: engine.weights.role == 'decode',
            'the successor orders the new role',
            30,
        )
        successor.freeze()
        paused_issuer.log_relay.cut(Cut.BOTH)
        paused_issuer.thaw()
        resumed_at = time.monotonic()
        await wait_until(
            lambda: time.monotonic() > resumed_at + ISSUER_ROUNDS_S,
            'the resumed issuer has had time to order',
        )
        assert len(engine.orders) == 1, engine.orders
        successor.thaw()
        await paused_issuer.log_relay.heal(drop=True)
        await wait_until(
            lambda: _order_claims(scene)[-1]['vm'] == paused_issuer.name,
            'the resumed issuer claims again',
            30,
        )
        assert engine.weights.role == 'decode'


async def test_the_loads_of_a_lost_issuer_do_not_block_the_weight_store(
    tmp_path: Path,
) -> None:
    """The successor records the end of a load once the engine reports it.

    The weight store allows one load at a time, so a load that never ends would
    block all others until its timeout.
    """
    document = _make_terms(loads_at_once=1)
    async with scenario(FOUR_ENGINES, tmp_path, document) as scene:
        engines = scene.cluster.runners.engines
        scene.cluster.publish(_make_terms('2', loads_at_once=1), 1)
        await wait_until(
            lambda: any(each.weights.loading for each in engines),
            'an engine loads',
        )
        await _current_issuer(scene).kill()
        await wait_until(
            lambda: _all_hold_version(engines, '2'),
            'a successor goes on, long before the load times out',
            60,
        )
        assert _max_concurrent_loads(engines) == 1


def _order_claims(scene: Scenario) -> list[LoggedEvent]:
    claims = _events_named(scene, 'orders_claimed')
    return sorted(claims, key=lambda each: int(each['fence']))


def _current_issuer(scene: Scenario) -> EntryVm:
    name = _order_claims(scene)[-1]['vm']
    return next(vm for vm in scene.cluster.vms if vm.name == name)


def _other_vm(scene: Scenario, vm: EntryVm) -> EntryVm:
    return next(each for each in scene.cluster.vms if each is not vm)
