"""Reads YAML into plain data and remembers the line of each key.

PyYAML alone keeps the last of two equal keys and expands aliases; the first
would drop half of an operator's change in silence, the second lets a short
file grow without bound. Both are refused here, by line.
"""

from dataclasses import dataclass, field
from typing import Final, TypeAlias

import yaml
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem

# A declaration nests four deep; more is a slip of indentation or an attack.
DEPTH_LIMIT: Final = 8
TAG: Final = 'tag:yaml.org,2002:'
SCALAR_TAGS: Final = frozenset(
    TAG + name for name in ('str', 'int', 'float', 'bool', 'null')
)
LOADER: Final = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

Path: TypeAlias = tuple[str | int, ...]


@dataclass(frozen=True)
class LinedData:
    """Plain data, and the line on which each path of it begins."""

    value: object
    lines: dict[Path, int]

    def line_of(self, path: Path) -> int:
        """Return the line of the path, or of the nearest one above it."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _YamlError(Exception):
    """Leaves the walk over the nodes with a problem."""

    def __init__(self, line: int, fact: str, remedy: str) -> None:
        super().__init__(fact)
        self.problem = bad_declaration(line, fact, remedy)


@dataclass
class _Reader:
    """Walks one document's nodes."""

    lines: dict[Path, int] = field(default_factory=dict)
    _seen: set[int] = field(default_factory=set)
    _constructor: yaml.SafeLoader = field(
        default_factory=lambda: yaml.SafeLoader(''),
    )

    def read(self, node: yaml.Node, path: Path) -> object:
        """Return the node's value and note the lines below it."""
        line = _line(node)
        if len(path) > DEPTH_LIMIT:
            raise _YamlError(line, 'nested too deep', 'check the indentation')
        if id(node) in self._seen:
            raise _YamlError(line, 'an alias is used', 'write the value out')
        self._seen.add(id(node))
        if isinstance(node, yaml.MappingNode) and node.tag == f'{TAG}map':
            return self._mapping(node, path)
        if isinstance(node, yaml.SequenceNode) and node.tag == f'{TAG}seq':
            return self._sequence(node, path)
        if node.tag in SCALAR_TAGS:
            return self._scalar(node)
        kind = node.tag.removeprefix(TAG)
        raise _YamlError(
            line,
            f'a value of kind {kind} is not allowed',
            'use text (in quotes), numbers, true and false',
        )

    def _scalar(self, node: yaml.Node) -> object:
        try:
            return self._constructor.construct_object(node, deep=True)
        except (ValueError, LookupError) as exc:
            # `!!int ""` and `!!bool x` leave PyYAML with lookup errors.
            fact = f'the value cannot be read: {exc}'
            raise _YamlError(_line(node), fact, 'mend the value') from exc

    def _sequence(self, node: yaml.SequenceNode, path: Path) -> object:
        items = []
        for index, item_node in enumerate(node.value):
            item_path = (*path, index)
            self.lines[item_path] = _line(item_node)
            items.append(self.read(item_node, item_path))
        return items

    def _mapping(self, node: yaml.MappingNode, path: Path) -> object:
        data: dict[str, object] = {}
        for key_node, value_node in node.value:
            key = self._key(key_node)
            key_path = (*path, key)
            if key in data:
                first = self.lines[key_path]
                raise _YamlError(
                    _line(key_node),
                    f'key {key!r} stands twice, first on line {first}',
                    'keep one of them',
                )
            self.lines[key_path] = _line(key_node)
            data[key] = self.read(value_node, key_path)
        return data

    def _key(self, node: yaml.Node) -> str:
        if node.tag == f'{TAG}str' and isinstance(node, yaml.ScalarNode):
            return str(node.value)
        raise _YamlError(
            _line(node),
            f'key {node.value!r} is not text',
            'put it in quotes',
        )


def read_yaml(text: str) -> Result[LinedData, Problem]:
    """Read one document, or say on which line it breaks."""
    try:
        node = yaml.compose(text, Loader=LOADER)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line = mark.line + 1 if mark else 1
        return Err(bad_declaration(line, _fact(exc), 'mend the YAML there'))
    except (yaml.YAMLError, UnicodeError, RecursionError) as exc:
        return Err(bad_declaration(1, str(exc), 'write it as UTF-8 text'))
    if node is None:
        return Err(bad_declaration(1, 'the file is empty', 'declare terms'))
    reader = _Reader()
    try:
        return Ok(LinedData(reader.read(node, ()), reader.lines))
    except _YamlError as exc:
        return Err(exc.problem)


def bad_declaration(line: int, fact: str, remedy: str) -> Problem:
    """Name the line, the fact and the remedy."""
    return Problem(ErrorKind.BAD_DECLARATION, f'line {line}: {fact}', remedy)


def _line(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1


def _fact(exc: yaml.MarkedYAMLError) -> str:
    return exc.problem or exc.context or 'not YAML'
