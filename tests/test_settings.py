"""Parsing of settings: precedence, defaults and error messages."""

from pathlib import Path

import pytest

from bramleybend.entry_settings import ENTRY
from bramleybend.errors import ErrorKind
from bramleybend.settings import (
    ProcessKind,
    parse_settings,
    settings_of,
)
from bramleybend.settings_page import settings_page
from bramleybend.settings_parsing import env_of, flag_of, parse_program
from bramleybend.settings_types import HostPort

PAGE = Path(__file__).parent.parent / 'docs' / 'operators' / 'SETTINGS.md'
ENV = {
    'BRAMLEYBEND_VM': 'entry-walton-1',
    'BRAMLEYBEND_DOMAIN': 'walton',
    'BRAMLEYBEND_ADDRESS': '127.0.0.11',
    'BRAMLEYBEND_LOG_SERVICE': 'http://127.0.0.1:9100/',
    'BRAMLEYBEND_VM_LIST': 'http://127.0.0.1:9200',
    'HOME': '/root',
}


def test_flags_go_before_variables() -> None:
    """A flag overrides the environment variable of the same setting."""
    args = ['--vm', 'entry-2', '--statsd', '10.0.0.1:8125']
    cfg = parse_settings(ProcessKind.GATEWAY, args, ENV).unwrap()
    assert cfg.vm == 'entry-2'
    assert cfg.statsd == HostPort(host='10.0.0.1', port=8125)
    assert cfg.log_service == 'http://127.0.0.1:9100'
    assert (cfg.http_port, cfg.gateway_port) == (8080, 7001)


@pytest.mark.parametrize(
    ('args', 'env', 'message', 'remedy'),
    [
        ([], {'BRAMLEYBEND_VM': ''}, '--vm is not set', 'BRAMLEYBEND_VM'),
        (['--http-port', '0'], {}, '--http-port 0', '--http-port 8080'),
        (['--http-port', 'x'], {}, '--http-port x', '--http-port 8080'),
        ([], {'BRAMLEYBEND_HTTP_PORT': '7e9'}, 'PORT=7e9', '8080'),
        (['--address', 'localhost'], {}, 'localhost', '10.0.1.11'),
        (['--address', '0.0.0.0'], {}, 'cannot connect', '10.0.1.11'),
        (['--log-service', 'ftp://x'], {}, 'ftp://x', 'http://10.0.9.1'),
        (['--vm-list', 'http://x:99999'], {}, 'x:99999', 'http://10.0.9.2'),
        (['--statsd', '10.0.0.1'], {}, 'host:port', '127.0.0.1:8125'),
        (['--statsd', 'a:99999'], {}, 'a:99999', '127.0.0.1:8125'),
        (['--list-poll-s', 'nan'], {}, 'nan', '--list-poll-s 1'),
        (['--log-level', 'info'], {}, "'INFO'", '--log-level INFO'),
        (['--vn', 'x'], {}, '--vn', '--help'),
        (['--http-por', '8080'], {}, '--http-por', '--help'),
        ([], {'BRAMLEYBEND_VN': 'x'}, 'BRAMLEYBEND_VN', 'BRAMLEYBEND_VM?'),
    ],
)
def test_a_wrong_setting_is_refused_by_name(
    args: list[str],
    env: dict[str, str],
    message: str,
    remedy: str,
) -> None:
    """The message holds the flag or variable, the value and the remedy."""
    parsed = parse_settings(ProcessKind.GATEWAY, args, ENV | env)
    problem = parsed.unwrap_err()
    assert problem.kind is ErrorKind.BAD_SETTING
    assert message in problem.detail
    assert remedy in problem.remedy


def required_variables() -> dict[str, str]:
    """Return variables with example values of all required settings."""
    return {
        env_of(setting.name): setting.info.example
        for setting in ENTRY.offered_settings()
        if setting.is_required
    }


@pytest.mark.parametrize('text', ['yes', '1', 'True'])
def test_whether_a_system_starts_first_is_told_in_one_way(text: str) -> None:
    """Only `true` and `false` are accepted.

    A restart mistaken for a first start grants all bursts a second time.
    """
    variables = required_variables()
    assert parse_program(ENTRY, [], variables).is_ok()
    args = ['--first-start', text]
    problem = parse_program(ENTRY, args, variables).unwrap_err()
    assert f'--first-start {text}' in problem.detail
    assert "'true' or 'false'" in problem.detail


@pytest.mark.parametrize('text', ['0.3', '-0.1', 'nan', 'some'])
def test_lower_tiers_can_not_be_given_all_starts(text: str) -> None:
    """Otherwise the highest tier would wait for the three lower ones."""
    args = ['--min-tier-share', text]
    problem = parse_program(ENTRY, args, required_variables()).unwrap_err()
    assert f'--min-tier-share {text}' in problem.detail


def test_the_scheduler_opens_no_port_to_callers() -> None:
    """It has no flag for the callers' port but accepts the shared variable."""
    args = ['--http-port', '80']
    parsed = parse_settings(ProcessKind.SCHEDULER, args, ENV)
    assert '--http-port' in parsed.unwrap_err().detail
    env = ENV | {'BRAMLEYBEND_HTTP_PORT': '80'}
    assert parse_settings(ProcessKind.SCHEDULER, [], env).unwrap()


def test_help_lists_each_flag_and_its_variable(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The help names the flag and the variable of each setting."""
    with pytest.raises(SystemExit) as exit_info:
        parse_settings(ProcessKind.GATEWAY, ['--help'], {})
    help_text = capsys.readouterr().out
    assert exit_info.value.code == 0
    for setting in settings_of(ProcessKind.GATEWAY):
        assert flag_of(setting.name) in help_text
        assert env_of(setting.name) in help_text


def test_the_operators_page_matches_the_code() -> None:
    """Regenerate the page with `python -m bramleybend.settings_page`."""
    assert PAGE.read_text(encoding='utf-8') == settings_page()
