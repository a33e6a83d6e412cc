"""Parsers for entry VM settings; each raises `ValueError` on bad text."""

from typing import Final

from bramleybend.settings_types import parse_amount

# With this share for each of the three lower tiers, the highest tier keeps
# at least a quarter of the starts.
MAX_TIER_SHARE: Final = 0.25


def parse_bool(text: str) -> bool:
    """Parse `true` or `false`."""
    if text not in {'true', 'false'}:
        raise ValueError("write 'true' or 'false'")
    return text == 'true'


def parse_positive_int(text: str) -> int:
    """Parse a whole number above 0."""
    if not text.isdecimal() or not int(text):
        raise ValueError('write a whole number above 0')
    return int(text)


def parse_share(text: str) -> float:
    """Parse a fraction above 0 and up to 1."""
    number = parse_amount(text)
    if not 0 < number <= 1:
        raise ValueError('write a number above 0 and up to 1')
    return number


def parse_tier_share(text: str) -> float:
    """Parse the fraction of starts that is reserved for each lower tier."""
    number = parse_amount(text)
    if number > MAX_TIER_SHARE:
        raise ValueError(f'write a number from 0 to {MAX_TIER_SHARE}')
    return number
