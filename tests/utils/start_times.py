"""Fixed start times for tests with a manual clock."""

from datetime import UTC, datetime
from typing import Final

START: Final = datetime(2026, 12, 2, tzinfo=UTC)
