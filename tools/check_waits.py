"""Checks that no wait is computed from a time where `wait_until` belongs.

The clock advances between the reading that shows that a wait is needed and the
one that it is computed from, so that the difference may be below 0, which ends
the process.
"""

import ast
import pathlib
import sys

SOURCES = pathlib.Path("src/applespring")
# The module of `wait_until`.
EXEMPT = SOURCES / "clock.py"


def find_violations(path: pathlib.Path) -> list[str]:
    """Returns one message for each `anyio.sleep` of a difference in a file."""
    tree = ast.parse(path.read_text(), str(path))
    return [
        f"{path}:{node.lineno}: anyio.sleep of a difference; use wait_until"
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "sleep"
        and any(
            isinstance(part, ast.BinOp) and isinstance(part.op, ast.Sub)
            for argument in node.args
            for part in ast.walk(argument)
        )
    ]


def main() -> int:
    """Prints every violation; returns 1 if there is any."""
    violations = [
        violation
        for path in sorted(SOURCES.rglob("*.py"))
        if path != EXEMPT
        for violation in find_violations(path)
    ]
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
