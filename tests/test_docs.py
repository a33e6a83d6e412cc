"""Checks that links of the pages resolve, and that the pages are complete."""

import re
from pathlib import Path

import pytest
from pydantic import BaseModel

from bramleybend.answers import HTTP_STATUSES
from bramleybend.cli.control import ProcessStatus
from bramleybend.cli.definition import COMMANDS, QUERIES
from bramleybend.declarations import (
    ProfileDeclaration,
    ServiceDeclaration,
    WorkspaceDeclaration,
)
from bramleybend.engine_declarations import (
    EnginesDeclaration,
    WeightStoreDeclaration,
)
from bramleybend.exit_status import ExitStatus
from bramleybend.gateway.request_checks import REQUIRED_HEADERS

ROOT = Path(__file__).parent.parent
LINK = re.compile(r'\]\(([^)#:]+)[^):]*\)')
TEST_NAME = re.compile(r'`(?:tests/failures/)?(test_\w+\.py)`')
PAGES = sorted([*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')])


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_and_named_tests_are_there(page: Path) -> None:
    """An operator in an incident must not run into a broken link."""
    text = page.read_text(encoding='utf-8')
    for link in LINK.findall(text):
        assert (page.parent / link).exists(), link
    for name in TEST_NAME.findall(text):
        assert (ROOT / 'tests' / 'failures' / name).exists(), name


def test_the_page_of_ctl_names_every_command_code_and_key() -> None:
    """Operators can look up everything that a command prints."""
    text = (ROOT / 'docs' / 'operators' / 'CTL.md').read_text(encoding='utf-8')
    for spec in (*QUERIES, *COMMANDS):
        assert f'| `{spec.name}' in text
    for status in ExitStatus:
        assert f'| {status.value} |' in text
    for key in ProcessStatus.model_fields:
        assert f'`{key}`' in text


def test_the_page_of_publishing_names_every_key() -> None:
    """The page and an example suffice to write a declaration."""
    page = ROOT / 'docs' / 'operators' / 'PUBLISH.md'
    text = page.read_text(encoding='utf-8')
    models: dict[str, type[BaseModel]] = {
        'services': ServiceDeclaration,
        'profiles': ProfileDeclaration,
        'workspaces': WorkspaceDeclaration,
    }
    for section, model in models.items():
        for key in model.model_fields:
            assert f'`{section}.NAME.{key}`' in text
    for key in EnginesDeclaration.model_fields:
        assert f'`services.NAME.engines.{key}`' in text
    for key in WeightStoreDeclaration.model_fields:
        assert f'`weight_store.{key}`' in text


def test_the_callers_page_names_every_header_and_outcome() -> None:
    """The page alone suffices to implement a caller."""
    text = (ROOT / 'docs' / 'CALLERS.md').read_text(encoding='utf-8')
    for name in REQUIRED_HEADERS:
        assert name in text.lower()
    for outcome, status in HTTP_STATUSES.items():
        assert f'| `{outcome}` | {status.value}' in text
