"""Parsing of declarations: either terms, or an error with line and remedy."""

from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from bramleybend.declarations import MAX_DOCUMENT_BYTES, parse_terms
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import (
    EngineRole,
    EngineTarget,
    Repeat,
    ServiceKind,
    Tier,
    WeightStore,
)

EXAMPLES = Path(__file__).parent.parent / 'examples'
VALID_TEXT = """schema: 1
institution: parwaz
services:
  booking-app: {kind: plain, slots: 4}
profiles:
  slot-claim:
    service: booking-app
    tier: 1
    repeat: non_idempotent
    journal: before_dispatch
    timeout_s: 10
workspaces:
  school:
    weight: 2
    profiles: [slot-claim]
"""


def parse_rejected(text: str) -> Problem:
    """Return the problem of a text that must be rejected."""
    problem = parse_terms(text, 1).unwrap_err()
    assert problem.kind is ErrorKind.BAD_DECLARATION
    return problem


def replace_in_valid(old: str, new: str) -> str:
    """Return the valid text with one replacement."""
    assert old in VALID_TEXT
    return VALID_TEXT.replace(old, new)


VALID_ENGINES_TEXT = VALID_TEXT.replace(
    'services:\n',
    """weight_store: {loads_at_once: 3}
services:
  llm:
    kind: engine
    slots: 8
    engines:
      model: org/model
      version: v2
      adapters: [b, a]
""",
)


def test_what_engines_should_hold_becomes_terms() -> None:
    """The role defaults to mixed; without `engines` there is no target."""
    terms = parse_terms(VALID_ENGINES_TEXT, 1).unwrap()
    target = EngineTarget('org/model', 'v2', ('a', 'b'), EngineRole.MIXED)
    assert terms.services['llm'].engines == target
    assert terms.services['booking-app'].engines is None
    assert terms.weight_store.loads_at_once == 3
    assert parse_terms(VALID_TEXT, 1).unwrap().weight_store == WeightStore()


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'message', 'remedy'),
    [
        ('version: v2', 'verison: v2', 10, 'verison', '`version`'),
        ('version: v2', 'version: 2', 10, 'engines.version', 'string'),
        ('version: v2', 'version: v2\n      role: both', 11, 'both', 'mixed'),
        ('      model: org/model\n', '', 8, 'model is missing', '`model:`'),
        ('kind: engine', 'kind: plain', 8, 'not of engines', 'kind: engine'),
        ('at_once: 3', 'at_once: 0', 3, 'loads_at_once: 0', 'equal to 1'),
        ('loads_at_once', 'load_at_once', 3, 'load_at', '`loads_at_once`'),
    ],
)
def test_a_slip_in_what_engines_hold_is_refused(
    old: str,
    new: str,
    line: int,
    message: str,
    remedy: str,
) -> None:
    """Errors in nested keys also carry their line and a remedy."""
    assert old in VALID_ENGINES_TEXT
    problem = parse_rejected(VALID_ENGINES_TEXT.replace(old, new))
    assert problem.detail.startswith(f'line {line}: ')
    assert message in problem.detail
    assert remedy in problem.remedy


def test_a_good_declaration_becomes_terms() -> None:
    """The caller sets the version; everything else comes from the text."""
    terms = parse_terms(VALID_TEXT, 7).unwrap()
    claim = terms.profiles['slot-claim']
    assert terms.version == 7
    assert terms.services['booking-app'].kind is ServiceKind.PLAIN
    assert (claim.tier, claim.timeout.total_seconds()) == (Tier.CRITICAL, 10)
    assert not claim.cancellable
    assert terms.workspaces['school'].profiles == {'slot-claim'}


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'message', 'remedy'),
    [
        ('tier: 1', 'teir: 1', 8, 'profiles.slot-claim.teir', '`tier`'),
        ('services:', 'servcies:', 3, 'servcies', '`services`'),
        ('    weight: 2\n', '', 13, 'weight is missing', 'add `weight:`'),
        ('tier: 1', 'tier: 5', 8, 'tier: 5', 'less than or equal to 4'),
        ('tier: 1', 'tier: "1"', 8, "'1'", 'valid integer'),
        ('tier: 1', 'tier: true', 8, 'True', 'valid integer'),
        ('timeout_s: 10', 'timeout_s: .nan', 11, 'nan', 'finite'),
        ('schema: 1', 'schema: 2', 1, 'schema 2', '`schema: 1`'),
        ('kind: plain', 'kind: plane', 4, "'plane'", "'plain'"),
        ('service: booking-app', 'service: bookin-app', 7, 'bookin-app', 'boo'),
        ('[slot-claim]', '[slot-clam]', 15, 'slot-clam', '`slot-claim`'),
        ('school:', 'School Two:', 13, 'School Two', 'lower-case'),
        ('school:', 'on:', 13, "'on' is not text", 'quotes'),
        ('tier: 1', 'tier: 1\n    tier: 2', 9, 'first on line 8', 'keep one'),
        (
            'timeout_s: 10',
            'timeout_s: 10\n    hedge: true',
            12,
            'once',
            'false',
        ),
        ('tier: 1', 'tier: [1', 9, '', 'YAML'),
        ('tier: 1', 'tier: 2026-01-01', 8, 'timestamp', 'text'),
        ('tier: 1', 'tier: &a 1\n    hedge: *a', 8, 'alias', 'write'),
        ('weight: 2', f'weight: {"[" * 300}{"]" * 300}', 14, 'deep', 'check'),
        ('tier: 1', f'tier: {"9" * 5000}', 8, 'digits', 'mend'),
    ],
)
def test_a_slip_is_refused_with_its_line_and_a_remedy(
    old: str,
    new: str,
    line: int,
    message: str,
    remedy: str,
) -> None:
    """The message names the line, the faulty input and the remedy."""
    problem = parse_rejected(replace_in_valid(old, new))
    assert problem.detail.startswith(f'line {line}: ')
    assert message in problem.detail
    assert remedy in problem.remedy


@pytest.mark.parametrize(
    'text',
    [
        '',
        '# only a comment',
        '[]',
        '7',
        '\x00',
        '\ud800',
        '!!int ""',
        '!!bool x',
    ],
)
def test_what_is_no_declaration_is_refused(text: str) -> None:
    """Malformed or empty documents are rejected without an exception."""
    parse_rejected(text)


@given(
    text=st.text(
        alphabet='ab1:-[]{}!&*"\'|>#% \n\t\x00\ud800?,.<=~', max_size=60
    )
)
@example(text='? [a]\n: b')
@example(text='<<: {a: 1}')
@example(text='--- a\n--- b')
def test_any_text_gets_a_verdict(text: str) -> None:
    """The parser never raises: an exception would stop every process."""
    parse_rejected(text)
    parse_terms(VALID_TEXT + text, 1)


def test_an_oversized_declaration_is_refused_before_it_is_read() -> None:
    """Parsing a huge text would block every process."""
    assert 'larger' in parse_rejected('#' * (MAX_DOCUMENT_BYTES + 1)).detail


def test_faults_are_told_in_the_order_of_the_file() -> None:
    """The message shows the first fault and counts the others."""
    text = replace_in_valid('tier: 1', 'tier: 9').replace(
        'weight: 2', 'weight: -1'
    )
    assert parse_rejected(text).detail.startswith('line 8: ')
    assert '(and 1 more)' in parse_rejected(text).detail


@pytest.mark.parametrize(
    ('name', 'services'),
    [
        ('parwaz', {'briefing-llm', 'booking-app'}),
        ('zvukopat', {'bend-lm', 'release-api'}),
    ],
)
def test_the_examples_declare_the_two_deployments(
    name: str,
    services: set[str],
) -> None:
    """Each has its services, five workspaces and all four tiers."""
    terms = parse_terms((EXAMPLES / f'{name}.yaml').read_text(), 1).unwrap()
    assert terms.institution == name
    assert set(terms.services) == services
    assert len(terms.workspaces) == 5
    assert {profile.tier for profile in terms.profiles.values()} == set(Tier)


@pytest.mark.parametrize(
    ('name', 'profile'),
    [('parwaz', 'slot-claim'), ('zvukopat', 'royalty-reply')],
)
def test_what_the_brief_calls_non_idempotent_is_declared_so(
    name: str,
    profile: str,
) -> None:
    """A slot claim and a royalty reply run at most once."""
    terms = parse_terms((EXAMPLES / f'{name}.yaml').read_text(), 1).unwrap()
    assert terms.profiles[profile].repeat is Repeat.NON_IDEMPOTENT
