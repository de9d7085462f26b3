"""A check in the source that `tools/run_guards.py` removes from a copy."""


class Guard:
    """A check in the source and the scenarios that fail without it.

    Attributes:
        name: What the check prevents or ensures.
        path: Source file.
        snippet: Code of the check, which occurs exactly once in the file.
        replacement: Code without the check.
        scenarios: Pairs of a feature file (without directory and ending) and a
            regular expression of scenario names. At least one scenario of each
            pair must fail without the check.
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
