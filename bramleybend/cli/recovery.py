"""Puts terms back that the log has forgotten and no VM holds.

Once the log has forgotten the terms and holds no renewal, nobody knows which
version is in force, so no publish has a base and no VM serves. VMs renew the
terms every minute, so this takes an outage of all VMs as long as the log's
retention. Only an operator can then say what was in force: a renewal written
by hand, under a version above any that a VM may still hold.
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
    """Write the renewal, or end the command with what is wrong.

    A renewal holds only at the offset that it names. If another record comes
    first, or the append is lost, it has no effect and is written anew.
    """
    unwrap(parse_terms(document, version))
    log = ctx.log()
    history = History(log)
    unwrap(await history.read_to_tail())
    if history.anchored:
        fail(
            ErrorKind.CONFLICT,
            f'the log holds the terms; in force is {history.current}',
            'change them by `bramleybend-ctl publish`',
        )
    deadline = ctx.env.clock.monotonic() + ctx.flags.timeout_s
    while not history.anchored:
        if ctx.env.clock.monotonic() >= deadline:
            fail(
                ErrorKind.LOG_REPLY_LOST,
                f'it is not known whether version {version} was recovered',
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
