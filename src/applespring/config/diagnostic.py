"""Errors of a document, which are collected instead of raised."""


class Diagnostic:
    """One error of a document, shown as `file:line: message`.

    Attributes:
        file: Name of the document, as the caller gave it.
        line: Line number, from 1.
        message: One sentence that names the table and the field, with the
            value met and the allowed values where they apply.
    """

    __slots__ = ("file", "line", "message")

    def __init__(self, file: str, line: int, message: str) -> None:
        self.file = file
        self.line = line
        self.message = message

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"

    def __repr__(self) -> str:
        return f"Diagnostic({self})"
