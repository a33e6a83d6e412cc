"""Only the package `bramleybend.platform` uses the platform's names."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / 'bramleybend'
PLATFORM_NAMES = re.compile(
    r'x-bramleybend|tenant|apikey|trafficsplit|pathprefix|maxattempts'
    r'|targetlatency|plaintokens|keyed\.|/log-|not-executed|kv-from'
    r'|x_bramleybend|coldleft|readyz|/resolve|ttls',
    re.IGNORECASE,
)


def test_only_the_platform_package_uses_the_platforms_names() -> None:
    """Guards against other code that depends on the platform's interface."""
    violations = [
        f'{path.relative_to(PACKAGE)}:{number}: {line.strip()}'
        for path in sorted(PACKAGE.rglob('*.py'))
        if path.parts[-2] != 'platform'
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert not violations
