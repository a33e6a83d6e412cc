"""Conversions between slot requests, their results and peer messages."""

from bramleybend.decisions.actions import Grant, Refuse, RunReport
from bramleybend.direct.messages import (
    Ended,
    Granted,
    Message,
    Refused,
    SlotRequestMessage,
)
from bramleybend.models import SlotRequest, Tier


def decision_message(action: Grant | Refuse) -> Message:
    """Make the message that tells the requesting VM a queue's decision."""
    if isinstance(action, Grant):
        return Granted(action.request_id, action.runner)
    wait_s = action.retry_after.total_seconds()
    return Refused(action.request_id, action.reason, wait_s)


def slot_request_message(ask: SlotRequest, now: float) -> SlotRequestMessage:
    """Make a slot request message.

    Points in time are sent as the time left, since the monotonic clocks of two
    VMs differ.
    """
    return SlotRequestMessage(
        ask.request_id,
        ask.service,
        int(ask.tier),
        ask.workspace,
        ask.cost,
        ask.prompt_tokens,
        ask.deadline - now,
        sorted(ask.excluded),
        ask.suspect,
        ask.on_time_until - now,
        ask.begin_by - now,
        sorted(ask.connected),
    )


def slot_request_from(message: SlotRequestMessage, now: float) -> SlotRequest:
    """Rebuild a slot request that another VM sent."""
    return SlotRequest(
        message.request_id,
        message.service,
        Tier(message.tier),
        message.workspace,
        message.cost,
        message.prompt_tokens,
        (),
        now + message.time_left_s,
        cancellable=False,
        suspect=message.suspect,
        excluded=frozenset(message.excluded),
        on_time_until=now + message.on_time_left_s,
        begin_by=now + message.begin_left_s,
        connected=frozenset(message.connected),
    )


def run_end_message(
    ask: SlotRequest, report: RunReport, runner: str = ''
) -> Ended:
    """Make the message that tells an owner of a run's end.

    `runner` is the incarnation of the runner that had the run. It is sent only
    if another process answers at the runner's address.
    """
    return Ended(
        ask.request_id,
        ask.service,
        report.outcome,
        report.refused,
        report.crashed,
        report.prompt_tokens,
        report.completion_tokens,
        report.seconds,
        runner if report.moved else '',
    )


def run_report_from(message: Ended) -> RunReport:
    """Rebuild the report on a run's end that another VM sent."""
    return RunReport(
        message.outcome,
        message.refused,
        message.crashed,
        bool(message.moved_runner),
        message.prompt_tokens,
        0,
        message.completion_tokens,
        message.seconds,
    )
