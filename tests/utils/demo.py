"""The demo: stand-ins, six entry VMs, a mixed load and a table for people."""

import argparse
import asyncio
import os
import signal
import statistics
import sys
from collections.abc import Sequence
from typing import Final

from bramleybend.answers import Outcome
from bramleybend.models import Tier
from bramleybend.status import ExitStatus
from tests.utils.answers import BLOCK_TOKENS
from tests.utils.callers import Caller
from tests.utils.cluster import EXAMPLE, Cluster, Layout
from tests.utils.engine import Engine, EngineConfig
from tests.utils.ledger import Ledger, Record, Verdict
from tests.utils.load import MIXED, plan, play
from tests.utils.processes import ROOT, ProcessEndedError
from tests.utils.work import Declaration

LOAD_S: Final = 12
CALLERS: Final = 12
SEED: Final = 7
RUN_ROOT: Final = ROOT / 'run'
PERCENTILE: Final = 95
WRONG_SHOWN: Final = 10

# Unlike speeds: the slowest engine takes four times as long as the fastest.
ENGINES: Final = tuple(
    EngineConfig(
        prefill_tps=30_000 * speed,
        decode_tps=80 * speed,
        checks_fence=True,
    )
    for speed in (1, 0.8, 0.6, 0.4, 0.25)
)
LAYOUT: Final = Layout(
    vms=6,
    engines=ENGINES,
    plain_latencies_ms=(15, 25, 60),
    seed=SEED,
)


async def demo(linger_s: float) -> Verdict:
    """Start all, send the load, print the table."""
    run_dir = RUN_ROOT / f'demo-{os.getpid()}'  # two demos may run at once
    run_dir.mkdir(parents=True, exist_ok=True)
    declaration = Declaration.load(EXAMPLE.read_text())
    ledger = Ledger()
    async with Cluster(LAYOUT, run_dir) as cluster:
        took_s = await cluster.ready()
        _print(f'{len(cluster.vms)} entry VMs ready in {took_s:.1f} s')
        _print(f'logs in {run_dir}')
        _print(f'sending a mixed load for {LOAD_S} s')
        entries = [vm.endpoint for vm in cluster.vms]
        callers = [
            Caller(entries[index % len(entries) :] + entries, ledger)
            for index in range(CALLERS)
        ]
        await play(plan(declaration, MIXED, LOAD_S, SEED), callers)
        verdict = ledger.judge(
            cluster.runners.runs_of(),
            cluster.runners.run_ids(),
        )
        _report(ledger, verdict, cluster)
        if linger_s:
            await _linger(cluster, linger_s)
    return verdict


def wasted_prefill(engines: Sequence[Engine]) -> int:
    """Count prompt tokens that had been prefilled somewhere before."""
    computed = [engine.cache.computed for engine in engines]
    distinct = set().union(*computed)
    total = sum(counter.total() for counter in computed)
    return (total - len(distinct)) * BLOCK_TOKENS


def _report(ledger: Ledger, verdict: Verdict, cluster: Cluster) -> None:
    _print('')
    _print('tier       sent   done  not run   first token median      p95')
    for tier in Tier:
        _print(_row(tier, ledger.of_tier(tier)))
    engines = cluster.runners.engines
    prefilled = sum(
        engine.cache.computed.total() * BLOCK_TOKENS for engine in engines
    )
    wasted = wasted_prefill(engines)
    _print('')
    _print(f'prefilled {prefilled} prompt tokens, wasted {wasted}')
    for reason in verdict.reasons:
        _print(f'not done: {reason}')
    for fault in verdict.wrong[:WRONG_SHOWN]:
        _print(f'wrong: {fault}')


def _row(tier: Tier, records: Sequence[Record]) -> str:
    done = [each for each in records if each.outcome is Outcome.DONE]
    not_run = [each for each in records if each.outcome is Outcome.NOT_RUN]
    waits = sorted(each.first_token_s for each in done)
    median = f'{statistics.median(waits):.3f} s' if waits else '-'
    p95 = f'{_percentile(waits):.3f} s' if waits else '-'
    return (
        f'{tier.name.lower():<9}{len(records):>6} {len(done):>6} '
        f'{len(not_run):>8}   {median:>18} {p95:>8}'
    )


def _percentile(ordered: Sequence[float]) -> float:
    return ordered[min(len(ordered) * PERCENTILE // 100, len(ordered) - 1)]


async def _linger(cluster: Cluster, linger_s: float) -> None:
    _print(f'up for {linger_s:g} s more')
    _print(f'log service {cluster.log.url}  VM list {cluster.vm_list.url}')
    for vm in cluster.vms:
        _print(
            f'{vm.name:<12} http {vm.endpoint}  '
            f'address {vm.settings.address}  pids '
            + ' '.join(str(each.pid) for each in vm.processes),
        )
    await asyncio.sleep(linger_s)


def _print(line: str) -> None:
    print(line, flush=True)  # noqa: WPS421


async def _until_terminated(linger_s: float) -> Verdict:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await demo(linger_s)


def main() -> ExitStatus:
    """Run the demo as a program."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument(
        '--linger',
        type=float,
        default=0,
        help='seconds to stay up after the load, to try ctl by hand',
    )
    cfg = flags.parse_args()
    try:
        verdict = asyncio.run(_until_terminated(cfg.linger))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return ExitStatus.INTERRUPTED
    except (ProcessEndedError, TimeoutError) as exc:
        _print(f'the system did not come up: {exc}')
        return ExitStatus.ERROR
    _print(f'demo: {verdict}')
    return ExitStatus.OK if verdict.is_clean else ExitStatus.ERROR


if __name__ == '__main__':
    sys.exit(main())
