"""Formats a configuration document in the standard layout.

The layout has one blank line before a table header and its comments, one
space around `=` and after commas, and four spaces of indent for each level of
a list that spans lines. Only white space is changed; comments and the order
of all tables and fields are kept.
"""

import tomli

from applespring.config.token import Token, TokenKind, scan_tokens

_INDENT = "    "


def format_text(text: str) -> str:
    """Returns the document in the standard layout.

    Raises:
        ValueError: The text is not TOML, or the formatted text would not
            parse to the same values.
    """
    text = text.replace("\r\n", "\n")
    before = tomli.loads(text)
    lines = _join_lines(_split_lines(text))
    formatted = "\n".join(lines) + "\n" if lines else ""
    # `scan_tokens` is not part of tomli, which parses the document; a bug in it
    # must not damage the document.
    if tomli.loads(formatted) != before:
        raise ValueError("formatting would change the document")
    return formatted


def _split_lines(text: str) -> list[list[Token]]:
    lines: list[list[Token]] = [[]]
    for token in scan_tokens(text):
        if token.kind is TokenKind.NEWLINE:
            lines.append([])
        else:
            lines[-1].append(token)
    return lines


def _join_lines(lines: list[list[Token]]) -> list[str]:
    joined: list[str] = []
    depth = 0
    for tokens in lines:
        if not tokens:
            # Drops blank lines at the start and all but one in a row.
            if joined and joined[-1]:
                joined.append("")
            continue
        if depth == 0 and tokens[0].text == "[":
            _separate_header(joined)
            joined.append(_join_header(tokens))
            continue
        closes = tokens[0].text in ("]", "}")
        joined.append(_INDENT * (depth - closes) + _join_tokens(tokens))
        depth += sum(_measure_depth_change(token) for token in tokens)
    while joined and not joined[-1]:
        joined.pop()
    return joined


def _separate_header(joined: list[str]) -> None:
    """Separates a header, and the comments above it, by one blank line."""
    start = len(joined)
    while start and joined[start - 1].startswith("#"):
        start -= 1
    if start and joined[start - 1]:
        joined.insert(start, "")


def _join_header(tokens: list[Token]) -> str:
    comment = tokens[-1] if tokens[-1].kind is TokenKind.COMMENT else None
    text = "".join(t.text for t in tokens if t is not comment)
    return f"{text}  {comment.text.rstrip()}" if comment else text


def _join_tokens(tokens: list[Token]) -> str:
    text = tokens[0].text.rstrip()
    for left, right in zip(tokens, tokens[1:], strict=False):
        text += _choose_space(left, right) + right.text
    return text.rstrip()


def _choose_space(left: Token, right: Token) -> str:
    if right.kind is TokenKind.COMMENT:
        return "  "
    if left.text + right.text == "{}" or right.text in (",", "]", "."):
        return ""
    if left.text in ("[", "."):
        return ""
    return " "


def _measure_depth_change(token: Token) -> int:
    if token.kind is not TokenKind.MARK:
        return 0
    return (token.text in ("[", "{")) - (token.text in ("]", "}"))
