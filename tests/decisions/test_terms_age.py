"""When peers' reports on the terms may be relied on."""

from math import inf

import pytest

from bramleybend.decisions.terms_age import terms_age_s


@pytest.mark.parametrize(
    ('alive', 'age_s'),
    [
        (6, 0.5),  # the log is down for all: they may continue to serve
        (4, 0.5),  # a failure domain is lost, too
        (3, 60),  # half of a partitioned network may not know new terms
        (1, 60),  # without peers
    ],
)
def test_peer_reports_count_only_with_a_majority(
    alive: int,
    age_s: float,
) -> None:
    """Guards against a partition whose VMs keep each other on old terms.

    Three of six VMs can't reach the log or the other three, where new terms are
    published. They must stop, so that their callers get `not_run` and go to a
    VM of the other part.
    """
    assert terms_age_s(60, 0.5, alive, 6) == age_s


def test_log_read_needs_no_peers() -> None:
    """A VM that reads the log serves, however many peers reply."""
    assert terms_age_s(0.2, inf, 1, 6) == 0.2
