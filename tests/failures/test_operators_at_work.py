"""An operator publishes, inspects and drains while callers are served.

A publish is awaited on all processes, then one VM is drained: its gateway
accepts no new requests, finishes those it has and exits, and only then its
scheduler leaves. Requests that wait at a draining gateway still need slots, and
other VMs use its scheduler until it has handed over its shards. Every answer
must be whole.
"""

import asyncio
import json
from io import StringIO
from pathlib import Path

from bramleybend.answers import Outcome
from bramleybend.cli.ctl import execute
from bramleybend.cli.environment import Environment
from bramleybend.cli.timeline import main as show_timeline
from bramleybend.clients.log_service import TERMS_STREAM
from bramleybend.exit_status import ExitStatus
from examples.caller import send
from tests.utils.cluster import EXAMPLE, Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import LARGE_SCHOOL, Scenario, assert_clean, scenario
from tests.utils.waiting import wait_until

LAYOUT = Layout(
    vms=3,
    engines=(EngineConfig(decode_tps=60),) * 2,
    plain_latencies_ms=(60, 120),
)
LOAD = (
    Stream('slot-claim', 15, 8),
    Stream('availability', 10, 5),
    Stream('debrief', 4, 12, (200, 1000), (40, 100)),
)
SECRET = 'student-is-afraid-of-stalls'


async def run_ctl(scene: Scenario, *args: str) -> tuple[ExitStatus, str]:
    """Run one operator command and return its exit status and output."""
    out = StringIO()
    env = Environment(
        stdout=out,
        stderr=StringIO(),
        variables={
            'BRAMLEYBEND_LOG_SERVICE': scene.cluster.log.url,
            'BRAMLEYBEND_VM_LIST': scene.cluster.vm_list.url,
        },
    )
    return await execute(args, env), out.getvalue()


async def test_a_publish_and_a_drain_under_load_cut_nothing(
    tmp_path: Path,
) -> None:
    """Sends break only where they met the closed port of the drained VM."""
    async with scenario(LAYOUT, tmp_path) as scene:
        leaving = scene.cluster.vms[0]
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 40,
                '40 requests done before the publish',
            )
            published, _ = await run_ctl(
                scene, 'publish', str(EXAMPLE), '--base', '1'
            )
            waited, wait_output = await run_ctl(
                scene, 'wait', '2', '--timeout', '10'
            )
            drained, _ = await run_ctl(scene, 'drain', leaving.name)
            codes = await leaving.exit_codes()
            await scene.done_more(40, '40 more requests done after the drain')
        status, listing = await run_ctl(scene, 'status')
        assert (published, waited, drained) == (ExitStatus.OK,) * 3
        assert wait_output == 'version 2 is in force on all 6 processes\n'
        assert codes == (0, 0)
        assert not scene.cut_answers(), scene.cut_answers()[:5]
        assert_clean(scene.verdict())
        # The VM list still has the drained VM, so the status reports no answer.
        assert status is ExitStatus.UNAVAILABLE
        assert listing.count('no answer') == 2


async def test_the_example_caller_gets_one_answer(tmp_path: Path) -> None:
    """One of two entry VMs is dead; no log contains the request body.

    The log level is DEBUG, the most verbose one.
    """
    layout = Layout(
        vms=2,
        engines=(),
        plain_latencies_ms=(5,),
        log_level='DEBUG',
    )
    body = json.dumps({'note': SECRET}).encode()
    async with scenario(layout, tmp_path) as scene:
        dead, alive = scene.cluster.vms
        await dead.kill()
        entries = [dead.endpoint, alive.endpoint]
        names = [LARGE_SCHOOL, 'booking-app', 'slot-claim']
        outcome, text = await asyncio.to_thread(send, entries, names, body)
        rejected, why = await asyncio.to_thread(
            send, entries, [*names[:2], 'none'], body
        )
    assert (outcome, 'confirmed' in text) == (Outcome.DONE, True)
    logs = ''.join(log.read_text() for log in tmp_path.glob('*.log'))
    assert 'event=settled' in logs
    assert SECRET not in logs
    assert (rejected, "no profile 'none'" in why) == (Outcome.REJECTED, True)


async def test_a_request_can_be_explained_and_seen_on_the_time_line(
    tmp_path: Path,
) -> None:
    """All VMs are killed first; their log files still show the request."""
    async with scenario(LAYOUT, tmp_path) as scene:
        async with scene.load(LOAD):
            await wait_until(
                lambda: scene.count(Outcome.DONE) > 10,
                '10 requests done',
            )
        request_id = scene.ledger.records[0].attempts[-1].request_id
        explained, explanation = await run_ctl(scene, 'explain', request_id)
        for vm in scene.cluster.vms:
            await vm.kill()
    out = StringIO()
    env = Environment(stdout=out, stderr=StringIO())
    args = ['--request', request_id, str(tmp_path)]
    assert show_timeline(args, env) is ExitStatus.OK
    assert explained is ExitStatus.OK
    for event in ('accepted', 'granted', 'dispatched', 'settled'):
        assert f' {event} ' in explanation
        assert f' {event} ' in out.getvalue()


async def test_terms_lost_everywhere_come_back_by_an_operator(
    tmp_path: Path,
) -> None:
    """All VMs are replaced after the log has dropped the record of the terms.

    Callers receive `not_run`, as neither a VM nor the log has the terms. The
    operator recovers them once, and every VM applies them.
    """
    layout = Layout(vms=2, engines=(), plain_latencies_ms=(5,))
    async with scenario(layout, tmp_path) as scene:
        for vm in scene.cluster.vms:
            await vm.kill()
        record_count = len(scene.cluster.log.records(TERMS_STREAM))
        scene.cluster.log.faults.forget_below = {TERMS_STREAM: record_count}
        for vm in scene.cluster.vms:
            await vm.replace()
        await wait_until(
            lambda: _do_all_processes_answer(scene), 'every program answers'
        )
        refused, _ = await run_ctl(
            scene, 'publish', str(EXAMPLE), '--base', '1'
        )
        recovered, _ = await run_ctl(scene, 'recover', str(EXAMPLE), '2')
        waited, _ = await run_ctl(scene, 'wait', '2')
        await scene.cluster.ready()
    assert refused is ExitStatus.UNAVAILABLE
    assert (recovered, waited) == (ExitStatus.OK, ExitStatus.OK)


async def _do_all_processes_answer(scene: Scenario) -> bool:
    status, _ = await run_ctl(scene, 'status')
    return status is ExitStatus.OK
