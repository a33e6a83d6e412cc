"""Puts asks and their outcomes into messages, and reads them again."""

from bramleybend.decisions.actions import Grant, Refuse, RunReport
from bramleybend.direct.messages import (
    AskNews,
    Ended,
    Granted,
    Message,
    Refused,
)
from bramleybend.models import Ask, Tier


def told(action: Grant | Refuse) -> Message:
    """Tell an asking VM what was decided."""
    if isinstance(action, Grant):
        return Granted(action.request_id, action.runner)
    wait_s = action.retry_after.total_seconds()
    return Refused(action.request_id, action.reason, wait_s)


def ask_news(ask: Ask, now: float) -> AskNews:
    """Say what a request needs; its deadline as the time left."""
    return AskNews(
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


def ask_from(news: AskNews, now: float) -> Ask:
    """Read what another VM says that its request needs."""
    return Ask(
        news.request_id,
        news.service,
        Tier(news.tier),
        news.workspace,
        news.cost,
        news.prompt_tokens,
        (),
        now + news.patience_s,
        cancellable=False,
        suspect=news.suspect,
        excluded=frozenset(news.excluded),
        on_time_until=now + news.on_time_s,
        begin_by=now + news.begin_s,
        connected=frozenset(news.connected),
    )


def ended_news(ask: Ask, report: RunReport, runner: str = '') -> Ended:
    """Tell an owner of a run's end; `runner` is who had it."""
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


def report_from(news: Ended) -> RunReport:
    """Read another VM's word of a run's end."""
    return RunReport(
        news.outcome,
        news.refused,
        news.crashed,
        bool(news.moved_runner),
        news.prompt_tokens,
        0,
        news.completion_tokens,
        news.seconds,
    )
