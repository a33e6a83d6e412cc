"""What a setting of the entry VM may be; each reads its text or says why not."""

from typing import Final

from bramleybend.settings_types import amount

# Three tiers below the highest leave it a quarter.
MOST_TIER_SHARE: Final = 0.25


def yes_no(given: str) -> bool:
    """Read a switch."""
    if given not in {'true', 'false'}:
        raise ValueError("write 'true' or 'false'")
    return given == 'true'


def whole(given: str) -> int:
    """Read a whole number that is not 0."""
    if not given.isdecimal() or not int(given):
        raise ValueError('write a whole number above 0')
    return int(given)


def share(given: str) -> float:
    """Read a part of something."""
    number = amount(given)
    if not 0 < number <= 1:
        raise ValueError('write a number above 0 and up to 1')
    return number


def tier_share(given: str) -> float:
    """Read a part of all starts that can be kept for each lower tier."""
    number = amount(given)
    if number > MOST_TIER_SHARE:
        raise ValueError(f'write a number from 0 to {MOST_TIER_SHARE}')
    return number
