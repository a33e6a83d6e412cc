"""Metrics are sent under their declared names and never block or raise."""

import socket
from datetime import timedelta
from pathlib import Path

from bramleybend.metrics import Metric, make_metrics
from bramleybend.metrics_page import metrics_page
from bramleybend.settings_types import HostPort

PAGE = Path(__file__).parent.parent / 'docs' / 'operators' / 'METRICS.md'
LOOPBACK = '127.0.0.1'


def test_labels_become_parts_of_the_name() -> None:
    """The names match the operators' page; label values are sanitized."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind((LOOPBACK, 0))
        server.settimeout(5)
        address = HostPort(host=LOOPBACK, port=server.getsockname()[1])
        metrics = make_metrics(address, 'entry-1')
        metrics.count(Metric.GOODPUT, tier=1)
        metrics.count(Metric.REFUSED, 3, tier=2, reason='a|b:c\nd')
        metrics.gauge(Metric.WAITING, 7, tier=4)
        metrics.timing(Metric.QUEUED, timedelta(seconds=1), tier=1)
        metrics.count(Metric.LOG_ERRORS)
        received = [server.recv(1000).decode() for _ in range(5)]
    assert received == [
        'bramleybend.goodput.1:1|c',
        'bramleybend.refused.a_b_c_d.2:3|c',
        'bramleybend.vm.entry-1.waiting.4:7|g',
        'bramleybend.queued.1:1000.000000|ms',
        'bramleybend.log_errors.none:1|c',
    ]


def test_statsd_being_away_fails_nothing() -> None:
    """Calls return if nothing listens, no address is set or DNS fails."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind((LOOPBACK, 0))
        unused_address = HostPort(host=LOOPBACK, port=server.getsockname()[1])
    for address in (
        unused_address,
        None,
        HostPort(host='no.such.invalid', port=1),
    ):
        metrics = make_metrics(address)
        for _ in range(3):
            metrics.count(Metric.GOODPUT, tier=1)
            metrics.gauge(Metric.MEMBERS, 1)
            metrics.timing(Metric.REQUEST, timedelta(seconds=1), tier=1)


def test_names_are_given_once() -> None:
    """Two metrics with the same name would silently be added up."""
    names = [metric.value.name for metric in Metric]
    assert len(names) == len(set(names))


def test_the_operators_page_matches_the_code() -> None:
    """Regenerate the page with `python -m bramleybend.metrics_page`."""
    assert PAGE.read_text(encoding='utf-8') == metrics_page()
