"""Finds the line of each key in a TOML document.

tomli does not return positions. A path is a tuple of keys and of indexes in
arrays, for example `("pool", 0, "timeout_s")`.
"""

import re
from collections.abc import Sequence

import tomli

from applespring.config.token import Token, TokenKind, scan_tokens

KeyPath = tuple[str | int, ...]


class LineIndex:
    """Returns the lines of paths in one document.

    Building the full index takes longer than parsing with tomli, so it is
    built on first use, which is usually the first error in a document.
    """

    __slots__ = ("_text", "_lines")

    def __init__(self, text: str) -> None:
        self._text = text
        self._lines: dict[KeyPath, int] | None = None

    def find(self, path: KeyPath) -> int:
        """Returns the line of the path, else of its nearest indexed parent."""
        if self._lines is None:
            self._lines = _Scanner(self._text).scan()
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)

    def find_tables(self, name: str, count: int) -> list[int]:
        """Returns the lines of the tables in an array at the top level.

        Args:
            name: Key of the array.
            count: Number of tables that the parsed array has.
        """
        if '"""' not in self._text and "'''" not in self._text:
            # Without multi-line strings, every line that starts like a header
            # is one, so the full index is not needed. If there are fewer
            # headers than tables, the array is inline or its name is quoted.
            pattern = rf"^[ \t]*\[\[[ \t]*{re.escape(name)}[ \t]*\]\]"
            lines = _find_lines(self._text, pattern)
            if len(lines) == count:
                return lines
        return [self.find((name, position)) for position in range(count)]


def _find_lines(text: str, pattern: str) -> list[int]:
    lines = []
    line, position = 1, 0
    for match in re.finditer(pattern, text, re.MULTILINE):
        line += text.count("\n", position, match.start())
        position = match.start()
        lines.append(line)
    return lines


class _Scanner:
    """Builds the index from the tokens of a document that tomli accepts."""

    def __init__(self, text: str) -> None:
        self._tokens: Sequence[Token] = [
            token
            for token in scan_tokens(text)
            if token.kind is not TokenKind.COMMENT
        ]
        self._position = 0
        self._table: KeyPath = ()
        self._table_counts: dict[KeyPath, int] = {}
        self._lines: dict[KeyPath, int] = {}

    def scan(self) -> dict[KeyPath, int]:
        self._skip_newlines()
        while self._position < len(self._tokens):
            if self._peek() == "[":
                self._scan_header()
            else:
                self._scan_pair(self._table)
            self._skip_newlines()
        return self._lines

    def _peek(self) -> str:
        if self._position < len(self._tokens):
            return self._tokens[self._position].text
        return "\n"

    def _skip_newlines(self) -> None:
        while self._position < len(self._tokens) and self._peek() == "\n":
            self._position += 1

    def _scan_header(self) -> None:
        line = self._tokens[self._position].line
        self._position += 1
        is_array = self._peek() == "["
        self._position += is_array
        keys = self._scan_key()
        self._position += 1 + is_array
        self._table = self._resolve(keys[:-1]) + keys[-1:]
        if is_array:
            count = self._table_counts.get(self._table, 0)
            self._table_counts[self._table] = count + 1
            self._lines.setdefault(self._table, line)
            self._table += (count,)
        self._lines.setdefault(self._table, line)

    def _resolve(self, keys: KeyPath) -> KeyPath:
        """Returns the path of a header's parent keys.

        A key that names an array of tables stands for its last table so far.
        """
        path: KeyPath = ()
        for key in keys:
            path += (key,)
            if path in self._table_counts:
                path += (self._table_counts[path] - 1,)
        return path

    def _scan_key(self) -> KeyPath:
        keys = [_decode_key(self._tokens[self._position])]
        self._position += 1
        while self._peek() == ".":
            keys.append(_decode_key(self._tokens[self._position + 1]))
            self._position += 2
        return tuple(keys)

    def _scan_pair(self, table: KeyPath) -> None:
        line = self._tokens[self._position].line
        path = table
        for key in self._scan_key():
            path += (key,)
            self._lines.setdefault(path, line)
        self._position += 1
        self._scan_value(path)

    def _scan_value(self, path: KeyPath) -> None:
        mark = self._peek()
        if mark == "[":
            self._scan_array(path)
        elif mark == "{":
            self._scan_inline_table(path)
        else:
            while self._peek() not in ("\n", ",", "]", "}"):
                self._position += 1

    def _scan_array(self, path: KeyPath) -> None:
        self._position += 1
        position = 0
        self._skip_newlines()
        while self._peek() != "]":
            item = (*path, position)
            self._lines[item] = self._tokens[self._position].line
            self._scan_value(item)
            self._skip_separators()
            position += 1
        self._position += 1

    def _scan_inline_table(self, path: KeyPath) -> None:
        self._position += 1
        while self._peek() != "}":
            self._scan_pair(path)
            self._skip_separators()
        self._position += 1

    def _skip_separators(self) -> None:
        while self._peek() in ("\n", ","):
            self._position += 1


def _decode_key(token: Token) -> str:
    if token.kind is TokenKind.STRING:
        return tomli.loads(f"key = {token.text}")["key"]
    return token.text
