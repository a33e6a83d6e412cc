"""Fixed moments for tests with a clock that they move."""

from datetime import UTC, datetime
from typing import Final

START: Final = datetime(2026, 12, 2, tzinfo=UTC)
