"""When peers' word on the terms may be relied on."""

from math import inf

import pytest

from bramleybend.decisions.terms_age import terms_age_s


@pytest.mark.parametrize(
    ('alive', 'age_s'),
    [
        (6, 0.5),  # the log is down for all: serving on is right
        (4, 0.5),  # a domain is lost besides
        (3, 60),  # half of a parted network may not know of new terms
        (1, 60),  # alone
    ],
)
def test_peer_reports_count_only_with_a_majority(
    alive: int,
    age_s: float,
) -> None:
    """A region of three of six VMs is cut off from the log and the others.

    Its callers are told `not_run` and go to an address on the other side.
    Order: the cut, new terms on the other side, their word never comes.
    Without the count the three would keep each other serving on old terms.
    """
    assert terms_age_s(60, 0.5, alive, 6) == age_s


def test_log_read_needs_no_peers() -> None:
    """One VM that reads the log serves, whoever else is there."""
    assert terms_age_s(0.2, inf, 1, 6) == 0.2
