"""The settings that the platform fills in for an entry VM."""

from pathlib import Path

TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'settings.conf'


def test_a_restart_is_not_taken_for_the_first_start() -> None:
    """A fleet that restarts must not give every workspace a new burst."""
    assert 'BRAMLEYBEND_FIRST_START={{firstStart}}' in TEMPLATE.read_text()
