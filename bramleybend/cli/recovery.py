"""Recovers terms that the log and all VMs have lost.

Once the log has expired the terms and holds no renewal of them, the version
in force is unknown, so no publish has a base and no VM serves. VMs renew the
terms every minute, so this only happens after an outage of all VMs as long as
the log's retention. An operator then writes a renewal with the terms that
were in force, under a version above any that a VM may still hold.
"""

from bramleybend.cli.constants import POLL_S
from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.cli.history import History
from bramleybend.clients.log_service import TERMS_STREAM
from bramleybend.declarations import parse_terms
from bramleybend.errors import ErrorKind
from bramleybend.state.terms_records import encode_renew


async def recover_terms(ctx: Context, document: str, version: int) -> None:
    """Append the renewal, or raise `ProblemError`.

    A renewal is valid only at the offset that it contains. If another record
    is appended first, or the append is lost, it has no effect and is repeated.
    """
    unwrap(parse_terms(document, version))
    log = ctx.open_log()
    history = History(log)
    unwrap(await history.read_to_tail())
    if history.is_anchored:
        fail(
            ErrorKind.CONFLICT,
            f'the log holds the terms; in force is {history.current}',
            'change them by `bramleybend-ctl publish`',
        )
    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    while not history.is_anchored:
        if ctx.env.clock.monotonic() >= deadline:
            fail(
                ErrorKind.LOG_REPLY_LOST,
                f'it is unknown whether version {version} was recovered',
                'see `bramleybend-ctl show` before you try again',
            )
        record = encode_renew(version, document, history.next_offset)
        await log.append(TERMS_STREAM, [record])
        await ctx.env.sleep(POLL_S)
        await history.read_to_tail()
    _check_recovered(history, document, version)


def _check_recovered(history: History, document: str, version: int) -> None:
    if (history.current, history.document) != (version, document):
        fail(
            ErrorKind.CONFLICT,
            f'a VM renewed the terms first; in force is {history.current}',
            'see `bramleybend-ctl show --document`',
        )
