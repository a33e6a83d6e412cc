"""Renders the timeline as one self-contained HTML page."""

from collections.abc import Iterator, Sequence
from html import escape
from typing import Final

from bramleybend.timeline.read import Event
from bramleybend.timeline.text import format_details, format_lane, format_time

# Browsers scroll a table of this many rows without trouble; the text form
# has no limit.
ROW_LIMIT: Final = 20_000
TIERS: Final = frozenset('1234')

_STYLE: Final = """
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; text-align: left; }
th, td { border-left: 1px solid #ccc; padding: 1px 6px; vertical-align: top; }
tr:nth-child(even) { background: #f8f8f8; }
td small { color: #555; overflow-wrap: anywhere; }
.t1 { color: #b00020; } .t2 { color: #a65f00; }
.t3 { color: #00508a; } .t4 { color: #4a6b1f; }
"""
_SCRIPT: Final = """
const box = document.getElementById('filter');
box.addEventListener('input', () => {
  for (const row of document.querySelectorAll('tbody tr')) {
    row.hidden = !row.textContent.includes(box.value);
  }
});
"""


def render_page(events: Sequence[Event], notes: str) -> str:
    """Return a page with a row for each event and a column for each process."""
    shown = events[:ROW_LIMIT]
    if len(shown) < len(events):
        notes = f'{notes}\nonly the first {ROW_LIMIT} are on this page'
    lanes = list(dict.fromkeys(map(format_lane, shown)))
    header = ''.join(f'<th>{escape(lane)}</th>' for lane in lanes)
    rows = ''.join(_rows(shown, lanes))
    notes_html = escape(notes).replace('\n', '<br>')
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<title>bramleybend time line</title><style>{_STYLE}</style></head>'
        f'<body><h1>Time line</h1><p>{notes_html}</p>'
        '<p><label>Show rows with <input id="filter" size="40" '
        'placeholder="a request id, a runner, an event"></label></p>'
        f'<table><thead><tr><th>UTC</th>{header}</tr></thead>'
        f'<tbody>{rows}</tbody></table><script>{_SCRIPT}</script>'
        '</body></html>\n'
    )


def _rows(events: Sequence[Event], lanes: Sequence[str]) -> Iterator[str]:
    columns = {lane: column for column, lane in enumerate(lanes)}
    for event in events:
        column = columns[format_lane(event)]
        before = '<td></td>' * column
        after = '<td></td>' * (len(lanes) - column - 1)
        time = format_time(event.stamp)
        yield f'<tr><td>{time}</td>{before}{_cell(event)}{after}</tr>\n'


def _cell(event: Event) -> str:
    tier = event.fields.get('tier', '')
    style = f' class="t{tier}"' if tier in TIERS else ''
    name = escape(event.name)
    details = escape(format_details(event))
    return f'<td{style}><b>{name}</b> <small>{details}</small></td>'
