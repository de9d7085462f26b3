"""Checks that core and config import no I/O library and no outer package."""

import ast
import pathlib
import sys

PURE_PACKAGES = ("src/applespring/core", "src/applespring/config")
FORBIDDEN = frozenset(
    [
        "anyio",
        "httpx",
        "hypercorn",
        "loguru",
        "asyncio",
        "trio",
        "socket",
        "ssl",
        "select",
        "threading",
        "subprocess",
        "time",
    ]
)


def find_violations(path: pathlib.Path) -> list[str]:
    """Returns one message for each forbidden import in a file."""
    tree = ast.parse(path.read_text(), str(path))
    found = []
    for node in ast.walk(tree):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
        for name in names:
            outer = name.startswith("applespring.") and not name.startswith(
                ("applespring.core", "applespring.config")
            )
            if name.split(".")[0] in FORBIDDEN or outer:
                found.append(f"{path}:{node.lineno}: imports {name}")
    return found


def main() -> int:
    """Prints every violation; returns 1 if there is any."""
    violations = []
    for package in PURE_PACKAGES:
        for path in sorted(pathlib.Path(package).rglob("*.py")):
            violations.extend(find_violations(path))
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
