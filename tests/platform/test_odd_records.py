"""Records that another writer left in the store, and odd headers."""

import json
from collections.abc import Mapping
from typing import Any

import pytest
from result import Err, Ok

from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.platform.manifest import decode_manifest
from bramleybend.platform.platform_dialect import make_header_codec
from bramleybend.platform.record_format import pack_page, unpack_page
from bramleybend.platform.runner_entry import decode_runner
from tests.direct.cluster import manifest
from tests.utils.peer_network import PORT, Network

DEPTH = 50_000
NESTED_LISTS = b'%b%b' % (b'[' * DEPTH, b']' * DEPTH)
HUGE = int('9' * 400)
ENTRY = {
    'service': 'lm',
    'addr': '10.0.0.1:80',
    'state': 'ready',
    'slots': 4,
    'zone': 'a',
}
MAX_SANE = 1e15


def entry(**fields: Any) -> bytes:
    """Return a runner's entry with these fields replaced."""
    return json.dumps({**ENTRY, **fields}).encode()


@pytest.mark.parametrize(
    'document',
    [
        b'{"service": "lm", "x": %b}' % NESTED_LISTS,
        b'%b1%b' % (b'{"x":' * DEPTH, b'}' * DEPTH),
        b'[' * DEPTH,
        b'\xff\xfe\x00',
        json.dumps('\ud800').encode(),
        entry(slots=HUGE),
        entry(slots=2**64),
        entry(slots=0),
        entry(slots=-1),
        entry(born=HUGE),
        entry(born=-HUGE),
        entry(addr='10.0.0.1:0'),
        entry(addr='10.0.0.1:70000'),
        entry(addr=f'10.0.0.1:{HUGE}'),
        entry(addr='10.0.0.1'),
        entry(addr='runner-1:80'),
        entry(zone='z' * 60_000),
        entry(service='s' * 60_000),
        entry(state='asleep'),
    ],
)
def test_an_odd_entry_names_no_runner(document: bytes) -> None:
    """An entry of another writer must not stop the reading of the others."""
    assert isinstance(decode_runner('i-1', document), Err)


def test_an_entry_with_an_odd_version_has_none() -> None:
    """A version of another type must not match any other."""
    for version in (1, None, ['v1'], {'v': 1}, 'v' * 60_000):
        decoded = decode_runner('i-1', entry(version=version))
        assert isinstance(decoded, Ok)
        assert not decoded.ok_value.version


def test_a_key_that_is_no_text_is_backed_up() -> None:
    """A record with any bytes as its key must be passed on and saved."""
    record = b'\xf0\xff\xfe' * 80
    body = bytes(16) + (len(record) + 1).to_bytes(4, 'big')
    page = unpack_page(body + bytes((240,)) + record, 0)
    again = unpack_page(pack_page(page), 0)
    assert [one.content for one in again.records] == [
        one.content for one in page.records
    ]


def test_a_key_of_any_length_is_packed() -> None:
    """A key that grew by replaced bytes must not stop the backup."""
    page = Page((KeyedRecord(0, '\ufffd' * 200, b'x'),), 1, is_snapshot=True)
    assert unpack_page(pack_page(page), 0).records[0].content == b'x'


@pytest.mark.parametrize(
    'fields',
    [
        {'version': HUGE},
        {'limits': {'maxBodyBytes': HUGE}},
        {'limits': {'idleTimeoutMs': HUGE}},
        {'tenants': [{'name': 'a', 'ratePerS': HUGE}]},
        {'services': [{'name': 'a', 'maxConns': HUGE}]},
        {'services': [{'name': 'a', 'engine': {'stride': HUGE}}]},
    ],
)
def test_a_manifest_with_a_number_out_of_range_is_refused(
    fields: Mapping[str, Any],
) -> None:
    """A number that can't be used must not come into force."""
    document = json.dumps({**manifest(), **fields}).encode()
    assert isinstance(decode_manifest(document), Err)


def test_a_deeply_nested_manifest_is_refused() -> None:
    """A manifest that can't be read must leave the last one in force."""
    assert isinstance(decode_manifest(b'{"x":%b}' % NESTED_LISTS), Err)


@pytest.mark.parametrize('number', ['1e400', '1' * 400, str(2**64), 'nan'])
def test_odd_numbers_in_headers_are_not_taken(number: str) -> None:
    """A number that no request can have must not reach the accounts."""
    headers = [
        (b'x-bramleybend-token-counts', f'{number},{number}'.encode()),
        (b'x-bramleybend-deadline-ms', number.encode()),
        (b'x-bramleybend-length-hint', number.encode()),
    ]
    facts = make_header_codec().request_facts(headers)
    assert facts.prompt_tokens + facts.max_output_tokens < MAX_SANE
    assert (facts.timeout_s or 0) < MAX_SANE
    assert (facts.output_tokens_hint or 0) < MAX_SANE


def test_a_deeply_nested_datagram_is_passed_over() -> None:
    """A datagram of another program must not raise in the event loop."""
    vm = Network().add(0)
    vm.peers.datagram_received(b'\x91' * DEPTH, ('10.0.0.9', PORT))
