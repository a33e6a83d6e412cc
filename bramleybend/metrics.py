"""Metrics over statsd, under a fixed set of names.

statsd uses UDP: a send neither blocks nor raises, so an unreachable statsd
costs no more than a running one. Without an address nothing is sent.
"""

import logging
import re
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol, Unpack

from statsd import StatsClient

from bramleybend.metric_types import Labels, counter, gauge, timer
from bramleybend.settings_types import HostPort

PREFIX: Final = 'bramleybend'
UNSAFE_CHARS: Final = re.compile('[^A-Za-z0-9_-]')

logger = logging.getLogger(__name__)


class Metric(Enum):
    """Every metric; label values come from fixed sets, to bound the names."""

    ACCEPTED = counter(
        'accepted',
        'requests',
        'requests taken in by their home VM',
        'tier',
    )
    OUTCOMES = counter(
        'outcomes',
        'requests',
        'final answers given, by outcome',
        'outcome',
        'tier',
    )
    GOODPUT = counter(
        'goodput',
        'requests',
        'requests answered `done`, whole and before their deadline',
        'tier',
    )
    GOODPUT_TOKENS = counter(
        'goodput_tokens',
        'tokens',
        'completion tokens of the requests counted in goodput',
        'tier',
    )
    PREFILL_TOKENS = counter(
        'prefill_tokens',
        'tokens',
        'prompt tokens processed, without those found in a prefix cache',
        'tier',
    )
    WASTED_PREFILL_TOKENS = counter(
        'wasted_prefill_tokens',
        'tokens',
        'prompt tokens processed for runs whose answer reached nobody',
        'tier',
    )
    REFUSED = counter(
        'refused',
        'requests',
        'requests answered `not_run`, by reason',
        'reason',
        'tier',
    )
    SHED = counter(
        'shed',
        'requests',
        'requests given up for want of capacity',
        'tier',
    )
    SHED_UNPROVED = counter(
        'shed_unproved',
        'requests',
        'requests out of time before it was sure that nothing lower ran',
    )
    PREEMPTED = counter(
        'preempted',
        'runs',
        'runs stopped to make room, by the tier of the stopped run',
        'tier',
    )
    REJECTED = counter(
        'rejected',
        'requests',
        'bad input, by the kind of error',
        'reason',
    )
    RETRIED = counter(
        'retried',
        'requests',
        'requests tried on another runner before their first byte was sent',
        'tier',
    )
    HEDGED = counter(
        'hedged',
        'requests',
        'second runs started beside a slow first one',
        'tier',
    )
    RESUMED = counter(
        'resumed',
        'streams',
        'broken streams taken up again on the same run',
        'tier',
    )
    FORWARDED = counter(
        'forwarded',
        'requests',
        'requests passed on to the VM named in their ticket',
    )
    STALE_ANSWERS_DROPPED = counter(
        'stale_answers_dropped',
        'answers',
        'late or old answers of runners that were not passed on',
    )
    QUARANTINED = counter(
        'quarantined',
        'requests',
        'requests refused because their content crashed runners',
    )
    RUNNER_CRASHES = counter(
        'runner_crashes',
        'crashes',
        'runners that broke off all their runs',
        'service',
    )
    BAD_RECORDS = counter(
        'bad_records',
        'records',
        'log records passed over because they cannot be read',
        'stream',
    )
    LOG_ERRORS = counter(
        'log_errors',
        'calls',
        'calls of the log service that failed, by kind',
        'kind',
    )
    LIST_ERRORS = counter('list_errors', 'calls', 'failed calls of the VM list')
    PEER_ERRORS = counter(
        'peer_errors',
        'calls',
        'calls of other entry VMs that failed, by kind',
        'kind',
    )
    WAITING = gauge(
        'waiting',
        'requests',
        'requests queued at this VM as owner',
        'tier',
    )
    IN_FLIGHT = gauge(
        'in_flight',
        'requests',
        'requests that this VM is home of and has not answered',
    )
    RUNNER_LIMIT = gauge(
        'runner_limit',
        'requests',
        'requests that the runners owned by this VM may run together',
        'service',
    )
    TERMS_VERSION = gauge(
        'terms_version',
        'version',
        'version of the terms in force on this VM',
    )
    TERMS_AGE = gauge(
        'terms_age_s',
        's',
        'time since the last word of the terms from the log or a peer',
    )
    MEMBERS = gauge('members', 'VMs', 'entry VMs held to be alive')
    ORDERS = counter(
        'orders',
        'orders',
        'orders given to engines, by kind and by what became of them',
        'kind',
        'outcome',
    )
    LOADS_EXPIRED = counter(
        'loads_expired',
        'loads',
        'loads of weights whose end nobody told within `load_timeout_s`',
    )
    ENGINES_WRONG = gauge(
        'engines_wrong',
        'runners',
        'engines owned by this VM that do not hold what is declared',
        'service',
    )
    FIRST_TOKEN = timer(
        'first_token',
        'from the arrival of a request to its first token',
        'tier',
    )
    REQUEST = timer(
        'request',
        'from the arrival of a request to its final answer',
        'tier',
    )
    QUEUED = timer('queued', 'from the ask for a slot to its grant', 'tier')
    LOG_APPEND = timer('log_append', 'from an append to its reply')


class Metrics(Protocol):
    """Interface for sending metrics; no method raises or blocks."""

    def count(
        self, metric: Metric, number: int = 1, **labels: Unpack[Labels]
    ) -> None:
        """Add to a counter."""

    def gauge(
        self, metric: Metric, level: float, **labels: Unpack[Labels]
    ) -> None:
        """Set a gauge; its name includes the VM."""

    def timing(
        self,
        metric: Metric,
        elapsed: timedelta,
        **labels: Unpack[Labels],
    ) -> None:
        """Add one duration to a timer."""


class NullMetrics:
    """Sends nothing."""

    def count(
        self, metric: Metric, number: int = 1, **labels: Unpack[Labels]
    ) -> None:
        """Do nothing."""

    def gauge(
        self, metric: Metric, level: float, **labels: Unpack[Labels]
    ) -> None:
        """Do nothing."""

    def timing(
        self,
        metric: Metric,
        elapsed: timedelta,
        **labels: Unpack[Labels],
    ) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Sends each metric to statsd, with its labels in the name."""

    def __init__(self, client: StatsClient, vm: str) -> None:
        """Send gauges under the VM's name, so that VMs don't overwrite them."""
        self._client = client
        self._vm = vm

    def count(
        self, metric: Metric, number: int = 1, **labels: Unpack[Labels]
    ) -> None:
        """Add to a counter."""
        self._client.incr(metric_name(metric, labels), number)

    def gauge(
        self, metric: Metric, level: float, **labels: Unpack[Labels]
    ) -> None:
        """Set a gauge of this VM."""
        name = metric_name(metric, labels)
        self._client.gauge(f'vm.{self._vm}.{name}', level)

    def timing(
        self,
        metric: Metric,
        elapsed: timedelta,
        **labels: Unpack[Labels],
    ) -> None:
        """Add one duration to a timer."""
        self._client.timing(metric_name(metric, labels), elapsed)


def metric_name(metric: Metric, labels: Labels) -> str:
    """Return the metric's name followed by the values of its labels."""
    info = metric.value
    label_values = [str(labels.get(label, 'none')) for label in info.labels]
    return '.'.join([info.name, *map(_sanitize, label_values)])


def make_metrics(address: HostPort | None, vm: str = 'unnamed') -> Metrics:
    """Return a statsd client for the address, or a null client without one."""
    if address is None:
        return NullMetrics()
    try:
        client = StatsClient(address.host, address.port, prefix=PREFIX)
    except OSError as exc:
        # The host name doesn't resolve; the program serves without metrics.
        logger.warning(
            {
                'event': 'statsd_unknown',
                'host': address.host,
                'reason': str(exc),
                'remedy': 'give --statsd an IP address',
            },
        )
        return NullMetrics()
    return StatsdMetrics(client, _sanitize(vm))


def _sanitize(text: str) -> str:
    return UNSAFE_CHARS.sub('_', text)
