"""Engines are ordered to hold something new, under load and faults.

What the caller sees: its work goes on. Order: terms that name a new version
or role are published; the owner of each shard claims its engines on the log
and orders them, few at a time; one issuer sleeps meanwhile and wakes. Why: an
engine that loads serves nobody, and a woken issuer still holds the old terms.
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

LOADS_AT_ONCE = 2
CHECKING = EngineConfig(decode_tps=300, checks_fence=True, load_s=1)
FOUR = Layout(vms=3, engines=(CHECKING,) * 4, plain_latencies_ms=(20,))
# The sleeper must act on old terms, so that only the fence stops it.
PAIR = Layout(
    vms=2,
    engines=(CHECKING,),
    plain_latencies_ms=(20,),
    flags=('--terms-stale-after-s', '300'),
)
IGNORING = replace(
    PAIR,
    engines=(EngineConfig(decode_tps=300, load_s=1),),
)
FEW_ROUNDS_S = 6
LOAD = (Stream('debrief', 8, 8, (50, 200), (10, 20)),)


def _terms(
    version: str = '1',
    role: str = 'mixed',
    adapters: Sequence[str] = (),
    loads_at_once: int = LOADS_AT_ONCE,
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


def _events(scene: Scenario, name: str) -> list[LoggedEvent]:
    lines = scene.cluster.event_lines()
    return [each for each in parse_events(lines) if each['event'] == name]


def _most_loading(engines: Sequence[Engine]) -> int:
    return most_at_once(
        [load for each in engines for load in each.weights.loads]
    )


def _all_hold(engines: Sequence[Engine], version: str) -> bool:
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
    """Whoever loads is drained before and gets no work meanwhile."""
    document = _terms(loads_at_once=limit, shards=shards)
    async with scenario(FOUR, tmp_path, document) as scene:
        engines = scene.cluster.runners.engines
        async with scene.load(LOAD):
            new = _terms(
                '2',
                adapters=['logbook'],
                loads_at_once=limit,
                shards=shards,
            )
            scene.cluster.publish(new, 1)
            await wait_until(
                lambda: all(
                    'logbook' in each.weights.adapters for each in engines
                ),
                'every engine holds the new version and its adapter',
                60,
            )
            goal = scene.count(Outcome.DONE) + 20
            await wait_until(
                lambda: scene.count(Outcome.DONE) >= goal,
                'the load goes on',
            )
        assert _all_hold(engines, '2')
        assert _most_loading(engines) <= limit
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
    """Half of the engines keep what they have, and serve."""
    async with scenario(FOUR, tmp_path, _terms()) as scene:
        engines = scene.cluster.runners.engines
        for engine in engines:
            engine.faults.unloadable = '2'
            engine.faults.lose_order_replies = 1
        async with scene.load(LOAD):
            scene.cluster.publish(_terms('2'), 1)
            await wait_until(
                lambda: len(_events(scene, 'order_failed')) >= LOADS_AT_ONCE,
                'the issuer sees that the version does not load',
            )
            goal = scene.count(Outcome.DONE) + 30
            await wait_until(
                lambda: scene.count(Outcome.DONE) >= goal,
                'the load goes on',
            )
            loaded = [each for each in engines if each.weights.loads]
            assert len(loaded) == LOADS_AT_ONCE
            scene.cluster.publish(_terms('3'), 2)
            await wait_until(
                lambda: _all_hold(engines, '3'),
                'terms that can be carried out are',
                30,
            )
        assert _most_loading(engines) <= LOADS_AT_ONCE
        assert_clean(scene.verdict())


async def test_an_issuer_that_wakes_is_refused_by_the_fence(
    tmp_path: Path,
) -> None:
    """It orders the old role, and the engine keeps the new one."""
    async with scenario(PAIR, tmp_path, _terms()) as scene:
        engine = scene.cluster.runners.engines[0]
        await wait_until(lambda: bool(engine.orders), 'a fence is planted')
        sleeper = _issuer(scene)
        successor = _other(scene, sleeper)
        sleeper.freeze()
        scene.cluster.publish(_terms(role='decode'), 1)
        await wait_until(
            lambda: engine.weights.role == 'decode',
            'the successor orders the new role',
            30,
        )
        successor.freeze()
        sleeper.log_relay.cut(Cut.BOTH)
        sleeper.thaw()
        await wait_until(
            lambda: bool(engine.refused_orders),
            'the woken issuer is refused',
            30,
        )
        assert engine.weights.role == 'decode'
        successor.thaw()
        await sleeper.log_relay.heal(drop=True)
        await wait_until(
            lambda: _claims(scene)[-1]['vm'] == sleeper.name,
            'the woken issuer claims again and knows the new terms',
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
    """Not before it has read the log, and so its successor's claim."""
    document = _terms(checks_fence=False)
    async with scenario(IGNORING, tmp_path, document) as scene:
        engine = scene.cluster.runners.engines[0]
        await wait_until(lambda: bool(_claims(scene)), 'an issuer has claimed')
        sleeper = _issuer(scene)
        successor = _other(scene, sleeper)
        sleeper.freeze()
        new = _terms(role='decode', checks_fence=False)
        scene.cluster.publish(new, 1)
        await wait_until(
            lambda: engine.weights.role == 'decode',
            'the successor orders the new role',
            30,
        )
        successor.freeze()
        sleeper.log_relay.cut(Cut.BOTH)
        sleeper.thaw()
        woken_at = time.monotonic()
        await wait_until(
            lambda: time.monotonic() > woken_at + FEW_ROUNDS_S,
            'the woken issuer has had its chance',
        )
        assert len(engine.orders) == 1, engine.orders
        successor.thaw()
        await sleeper.log_relay.heal(drop=True)
        await wait_until(
            lambda: _claims(scene)[-1]['vm'] == sleeper.name,
            'the woken issuer claims again',
            30,
        )
        assert engine.weights.role == 'decode'


async def test_the_loads_of_a_lost_issuer_do_not_block_the_weight_store(
    tmp_path: Path,
) -> None:
    """Its successor ends them once the engine says that it is done."""
    document = _terms(loads_at_once=1)
    async with scenario(FOUR, tmp_path, document) as scene:
        engines = scene.cluster.runners.engines
        scene.cluster.publish(_terms('2', loads_at_once=1), 1)
        await wait_until(
            lambda: any(each.weights.loading for each in engines),
            'an engine loads',
        )
        await _issuer(scene).kill()
        await wait_until(
            lambda: _all_hold(engines, '2'),
            'a successor goes on, long before the load times out',
            60,
        )
        assert _most_loading(engines) == 1


def _claims(scene: Scenario) -> list[LoggedEvent]:
    claims = _events(scene, 'orders_claimed')
    return sorted(claims, key=lambda each: int(each['fence']))


def _issuer(scene: Scenario) -> EntryVm:
    name = _claims(scene)[-1]['vm']
    return next(vm for vm in scene.cluster.vms if vm.name == name)


def _other(scene: Scenario, vm: EntryVm) -> EntryVm:
    return next(each for each in scene.cluster.vms if each is not vm)
