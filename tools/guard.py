"""What `tools/run_guards.py` removes from a copy of the source."""


class Guard:
    """One guard.

    Attributes:
        name: What it guards.
        path: Source file.
        snippet: The code, found exactly once in the file.
        replacement: Code without the guard.
        scenarios: Feature file (without directory and ending) and a regular
            expression of scenario names; each must then have a failure.
    """

    __slots__ = ("name", "path", "snippet", "replacement", "scenarios")

    def __init__(
        self,
        name: str,
        path: str,
        snippet: str,
        replacement: str,
        *scenarios: tuple[str, str],
    ) -> None:
        self.name = name
        self.path = f"src/applespring/{path}"
        self.snippet = snippet
        self.replacement = replacement
        self.scenarios = scenarios
