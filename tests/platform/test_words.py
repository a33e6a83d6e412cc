"""Only the package `bramleybend.platform` uses the platform's names."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / 'bramleybend'
WORDS = re.compile(
    r'x-bramleybend|tenant|apikey|trafficsplit|pathprefix|maxattempts'
    r'|targetlatency|plaintokens|keyed\.|/log-|not-executed|kv-from'
    r'|x_bramleybend|coldleft|readyz|/resolve|ttls',
    re.IGNORECASE,
)


def test_nothing_outside_the_folder_knows_the_platforms_names() -> None:
    """Guards against a dependence on the platform's interface elsewhere."""
    found = [
        f'{path.relative_to(PACKAGE)}:{number}: {line.strip()}'
        for path in sorted(PACKAGE.rglob('*.py'))
        if path.parts[-2] != 'platform'
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WORDS.search(line)
    ]
    assert not found
