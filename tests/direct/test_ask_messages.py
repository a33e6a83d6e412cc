"""What an asking VM says of a request, as the owner reads it."""

from dataclasses import replace

from bramleybend.direct.ask_messages import ask_from, ask_news
from bramleybend.direct.messages import AskNews, decode, encode
from bramleybend.models import Ask, Tier

ASK = Ask(
    'i.1',
    'lm',
    Tier.HIGH,
    'w',
    34.0,
    10,
    (),
    108.0,
    cancellable=False,
    suspect=True,
    excluded=frozenset(('r1', 'r2')),
    on_time_until=100.5,
    begin_by=102.0,
)


def test_an_ask_arrives_as_it_was_sent() -> None:
    """Times are told as time left, as the two VMs' clocks differ.

    Nothing is lost on the way that the owner decides by: the tier, when a
    start is on time, which runners are left out, whether it runs alone.
    """
    told = decode(encode(ask_news(ASK, 100.0)))
    assert isinstance(told, AskNews)
    heard = ask_from(told, 7.0)
    assert heard == replace(ASK, deadline=15.0, on_time_until=7.5, begin_by=9.0)
