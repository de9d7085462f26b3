"""Tokenizer for TOML documents that tomli has already accepted."""

import enum
import re
from collections.abc import Iterator

_TOKEN_PATTERN = re.compile(
    r"""
    (?P<SPACE>[ \t\r]+)
  | (?P<NEWLINE>\n)
  | (?P<COMMENT>\#[^\n]*)
  | (?P<STRING>
        \"{3}(?:\\.|[^\\])*?\"{3}\"{0,2}
      | '{3}.*?'{3}'{0,2}
      | "(?:\\.|[^"\\])*"
      | '[^']*'
    )
  | (?P<MARK>[][{}=,.])
  | (?P<BARE>[^][{}=,.\s\#"']+)
    """,
    re.VERBOSE | re.DOTALL,
)


class TokenKind(enum.Enum):
    """Kind of a token; the value is the name of its group in the pattern."""

    NEWLINE = "NEWLINE"
    COMMENT = "COMMENT"
    STRING = "STRING"
    MARK = "MARK"
    BARE = "BARE"


class Token:
    """A token as it is written in the document.

    Attributes:
        kind: Kind of the token.
        text: Its characters, including the quotes of a string.
        line: Number of the line on which it starts, from 1.
    """

    __slots__ = ("kind", "text", "line")

    def __init__(self, kind: TokenKind, text: str, line: int) -> None:
        self.kind = kind
        self.text = text
        self.line = line


_KINDS_BY_GROUP = {kind.value: kind for kind in TokenKind}


def scan_tokens(text: str) -> Iterator[Token]:
    """Yields the tokens without white space, but with line breaks.

    Text that is not TOML is not detected; it gives meaningless tokens.
    """
    line = 1
    for match in _TOKEN_PATTERN.finditer(text):
        group = match.lastgroup
        if group == "SPACE" or group is None:
            continue
        token = Token(_KINDS_BY_GROUP[group], match.group(), line)
        yield token
        if group in ("NEWLINE", "STRING"):
            line += token.text.count("\n")
