"""Parses YAML into plain data and records the line of each key.

Duplicate keys and aliases are rejected with their line. PyYAML keeps the last
of two equal keys, which would silently drop half of an operator's change, and
expands aliases, which lets a short file grow without bound.
"""

from dataclasses import dataclass, field
from typing import Final, TypeAlias

import yaml
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem

# A declaration nests four levels deep; deeper nesting is an indentation error
# or an attack.
MAX_DEPTH: Final = 8
TAG: Final = 'tag:yaml.org,2002:'
SCALAR_TAGS: Final = frozenset(
    TAG + name for name in ('str', 'int', 'float', 'bool', 'null')
)
LOADER: Final = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

Path: TypeAlias = tuple[str | int, ...]


@dataclass(frozen=True)
class DataWithLines:
    """Plain data, and the line of the key or list item at each path."""

    value: object
    lines: dict[Path, int]

    def line_of(self, path: Path) -> int:
        """Return the line of the path, or of its nearest known parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _YamlError(Exception):
    """Aborts the traversal of the nodes with a problem."""

    def __init__(self, line: int, message: str, remedy: str) -> None:
        super().__init__(message)
        self.problem = bad_declaration(line, message, remedy)


@dataclass
class _NodeReader:
    """Converts the nodes of one document to plain data."""

    lines: dict[Path, int] = field(default_factory=dict)
    _visited: set[int] = field(default_factory=set)
    _constructor: yaml.SafeLoader = field(
        default_factory=lambda: yaml.SafeLoader(''),
    )

    def read(self, node: yaml.Node, path: Path) -> object:
        """Return the node's value and record the lines of its children."""
        line = _line_number(node)
        if len(path) > MAX_DEPTH:
            raise _YamlError(line, 'nested too deep', 'check the indentation')
        if id(node) in self._visited:
            raise _YamlError(line, 'an alias is used', 'write the value out')
        self._visited.add(id(node))
        if isinstance(node, yaml.MappingNode) and node.tag == f'{TAG}map':
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode) and node.tag == f'{TAG}seq':
            return self._read_sequence(node, path)
        if node.tag in SCALAR_TAGS:
            return self._read_scalar(node)
        kind = node.tag.removeprefix(TAG)
        raise _YamlError(
            line,
            f'a value of kind {kind} is not allowed',
            'use text (in quotes), numbers, true and false',
        )

    def _read_scalar(self, node: yaml.Node) -> object:
        try:
            return self._constructor.construct_object(node, deep=True)
        except (ValueError, LookupError) as exc:
            # PyYAML raises lookup errors for `!!int ""` and `!!bool x`.
            message = f'the value cannot be read: {exc}'
            raise _YamlError(
                _line_number(node), message, 'mend the value'
            ) from exc

    def _read_sequence(self, node: yaml.SequenceNode, path: Path) -> object:
        items = []
        for index, item_node in enumerate(node.value):
            item_path = (*path, index)
            self.lines[item_path] = _line_number(item_node)
            items.append(self.read(item_node, item_path))
        return items

    def _read_mapping(self, node: yaml.MappingNode, path: Path) -> object:
        data: dict[str, object] = {}
        for key_node, value_node in node.value:
            key = self._read_key(key_node)
            key_path = (*path, key)
            if key in data:
                first_line = self.lines[key_path]
                raise _YamlError(
                    _line_number(key_node),
                    f'key {key!r} stands twice, first on line {first_line}',
                    'keep one of them',
                )
            self.lines[key_path] = _line_number(key_node)
            data[key] = self.read(value_node, key_path)
        return data

    def _read_key(self, node: yaml.Node) -> str:
        if node.tag == f'{TAG}str' and isinstance(node, yaml.ScalarNode):
            return str(node.value)
        raise _YamlError(
            _line_number(node),
            f'key {node.value!r} is not text',
            'put it in quotes',
        )


def read_yaml(text: str) -> Result[DataWithLines, Problem]:
    """Parse one document, or return the error with its line."""
    try:
        node = yaml.compose(text, Loader=LOADER)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line = mark.line + 1 if mark else 1
        return Err(
            bad_declaration(line, _error_message(exc), 'mend the YAML there')
        )
    except (yaml.YAMLError, UnicodeError, RecursionError) as exc:
        return Err(bad_declaration(1, str(exc), 'write it as UTF-8 text'))
    if node is None:
        return Err(bad_declaration(1, 'the file is empty', 'declare terms'))
    reader = _NodeReader()
    try:
        return Ok(DataWithLines(reader.read(node, ()), reader.lines))
    except _YamlError as exc:
        return Err(exc.problem)


def bad_declaration(line: int, message: str, remedy: str) -> Problem:
    """Return a `BAD_DECLARATION` problem at a line."""
    return Problem(ErrorKind.BAD_DECLARATION, f'line {line}: {message}', remedy)


def _line_number(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1


def _error_message(exc: yaml.MarkedYAMLError) -> str:
    return exc.problem or exc.context or 'not YAML'
