"""Prints entries of the bench's journal as a Markdown table by day.

Arguments are ids of entries, as in the names of their files
(`journal/TIME-ID.json`). Exit code 1 if an id is not found.
"""

import json
import pathlib
import sys

JOURNAL = pathlib.Path("journal")
PRICES_SHOWN = 3
HEADER = (
    "| site, entry | day | worth | served | refused | failed | weakest part "
    "| dearest prices | rules broken |\n|---|---|---|---|---|---|---|---|---|"
)


def find_entry(entry_id: str) -> dict:
    """Returns an entry.

    Raises:
        FileNotFoundError: The journal has no entry of this id.
    """
    paths = sorted(JOURNAL.glob(f"*-{entry_id}.json"))
    if not paths:
        raise FileNotFoundError(f"{JOURNAL} has no entry {entry_id!r}")
    return json.loads(paths[0].read_text())


def format_day(site: str, day: dict) -> str:
    """Returns the row of one day."""
    part = min(day["parts"], key=lambda item: item[2])
    prices = sorted(day["prices"], key=lambda item: -item[2])[:PRICES_SHOWN]
    broken = [*day["rules"], *([str(day["fault"])] if day["fault"] else [])]
    cells = [
        site,
        day["name"],
        f"{day['G']:.3f}",
        f"{day['served']:.3f}",
        f"{day['refused']:.3f}",
        f"{day['failed']:.3f}",
        f"{part[0]} {part[2]:.2f}",
        ", ".join(f"{name} {cost:.3f}" for name, _, cost in prices),
        ", ".join(broken) or "none",
    ]
    return "| " + " | ".join(cells) + " |"


def main(entry_ids: list[str]) -> int:
    """Prints the table; returns the exit code."""
    print(HEADER)
    for entry_id in entry_ids:
        try:
            entry = find_entry(entry_id)
        except FileNotFoundError as exc:
            print(exc, file=sys.stderr)
            return 1
        for day in entry["days"]:
            print(format_day(f"{entry['site']}, {entry_id}", day))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
