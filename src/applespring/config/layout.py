"""The standard layout of a configuration document.

Only white space changes: one blank line before a table header and its
comments, one space around `=` and after commas, four spaces for each level of
a list that spans lines. Comments and the order of everything stay.
"""

import tomli

from applespring.config.token import Token, TokenKind, scan_tokens

_INDENT = "    "


def format_text(text: str) -> str:
    """Returns the document in the standard layout.

    Raises:
        ValueError: The text is not TOML, or formatting would change what it
            says.
    """
    text = text.replace("\r\n", "\n")
    before = tomli.loads(text)
    lines = _join_lines(_split_lines(text))
    formatted = "\n".join(lines) + "\n" if lines else ""
    # The tokenizer is our own; a fault in it must not damage a document.
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
            # Blank lines at the start and repeated ones are dropped.
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
    """Puts one blank line before a header and the comments above it."""
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
