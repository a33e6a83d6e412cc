"""The demo: runs six entry VMs under a mixed load and prints a table."""

import argparse
import asyncio
import os
import signal
import statistics
import sys
from collections.abc import Sequence
from typing import Final

from bramleybend.answers import Outcome
from bramleybend.exit_status import ExitStatus
from bramleybend.models import Tier
from tests.utils.callers import Caller
from tests.utils.cluster import EXAMPLE, Cluster, Layout
from tests.utils.engine import Engine, EngineConfig
from tests.utils.expected_answers import BLOCK_TOKENS
from tests.utils.ledger import Ledger, Record, Verdict
from tests.utils.load import MIXED, plan, play
from tests.utils.processes import ROOT, ProcessEndedError
from tests.utils.work import Declaration

LOAD_S: Final = 12
CALLER_COUNT: Final = 12
SEED: Final = 7
RUN_ROOT: Final = ROOT / 'run'
PERCENTILE: Final = 95
MAX_FAULTS_SHOWN: Final = 10

# The fastest engine is four times as fast as the slowest.
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
    """Start a cluster, send the load and print the table.

    Afterwards the cluster stays up for `linger_s`.
    """
    run_dir = (
        RUN_ROOT / f'demo-{os.getpid()}'
    )  # own directory for each of several demos
    run_dir.mkdir(parents=True, exist_ok=True)
    declaration = Declaration.load(EXAMPLE.read_text())
    ledger = Ledger()
    async with Cluster(LAYOUT, run_dir) as cluster:
        startup_s = await cluster.ready()
        _print_line(f'{len(cluster.vms)} entry VMs ready in {startup_s:.1f} s')
        _print_line(f'logs in {run_dir}')
        _print_line(f'sending a mixed load for {LOAD_S} s')
        entries = [vm.endpoint for vm in cluster.vms]
        callers = [
            Caller(entries[index % len(entries) :] + entries, ledger)
            for index in range(CALLER_COUNT)
        ]
        await play(plan(declaration, MIXED, LOAD_S, SEED), callers)
        verdict = ledger.judge(
            cluster.runners.runs_of(),
            cluster.runners.run_ids(),
        )
        _print_report(ledger, verdict, cluster)
        if linger_s:
            await _linger(cluster, linger_s)
    return verdict


def wasted_prefill(engines: Sequence[Engine]) -> int:
    """Count the prompt tokens that were prefilled more than once."""
    computed = [engine.cache.computed for engine in engines]
    distinct = set().union(*computed)
    total = sum(counter.total() for counter in computed)
    return (total - len(distinct)) * BLOCK_TOKENS


def _print_report(ledger: Ledger, verdict: Verdict, cluster: Cluster) -> None:
    _print_line('')
    _print_line('tier       sent   done  not run   first token median      p95')
    for tier in Tier:
        _print_line(_format_row(tier, ledger.of_tier(tier)))
    engines = cluster.runners.engines
    prefilled = sum(
        engine.cache.computed.total() * BLOCK_TOKENS for engine in engines
    )
    wasted = wasted_prefill(engines)
    _print_line('')
    _print_line(f'prefilled {prefilled} prompt tokens, wasted {wasted}')
    for reason in verdict.reasons:
        _print_line(f'not done: {reason}')
    for fault in verdict.wrong[:MAX_FAULTS_SHOWN]:
        _print_line(f'wrong: {fault}')


def _format_row(tier: Tier, records: Sequence[Record]) -> str:
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
    _print_line(f'up for {linger_s:g} s more')
    _print_line(f'log service {cluster.log.url}  VM list {cluster.vm_list.url}')
    for vm in cluster.vms:
        _print_line(
            f'{vm.name:<12} http {vm.endpoint}  '
            f'address {vm.settings.address}  pids '
            + ' '.join(str(each.pid) for each in vm.processes),
        )
    await asyncio.sleep(linger_s)


def _print_line(line: str) -> None:
    print(line, flush=True)  # noqa: WPS421


async def _run_until_terminated(linger_s: float) -> Verdict:
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
        verdict = asyncio.run(_run_until_terminated(cfg.linger))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return ExitStatus.INTERRUPTED
    except (ProcessEndedError, TimeoutError) as exc:
        _print_line(f'the system did not come up: {exc}')
        return ExitStatus.ERROR
    _print_line(f'demo: {verdict}')
    return ExitStatus.OK if verdict.is_clean else ExitStatus.ERROR


if __name__ == '__main__':
    sys.exit(main())
