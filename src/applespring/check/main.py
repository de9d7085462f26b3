"""Entry point of applespring-check."""

import sys
from collections.abc import Mapping, Sequence

from applespring.check.commands import check, explain, format_file
from applespring.check.published import published
from applespring.check.review import review
from applespring.cli import run_program


def main() -> None:
    """Runs the program and exits with its code."""
    sys.exit(run_check())


def run_check(
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> int:
    """Runs the program and returns its exit code."""
    return run_program(
        "applespring-check",
        {
            "check": check,
            "explain": explain,
            "format": format_file,
            "published": published,
            "review": review,
        },
        argv=argv,
        environ=environ,
        fault_meaning="a document has errors",
    )


if __name__ == "__main__":
    main()
