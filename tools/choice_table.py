"""Prints how choices of plain upstreams do in the model without network.

The first table has equal upstreams, the second ones of speeds 1 : 2 with
requests of four sizes, the third an upstream that is 4 times slower from 4 s
to 9 s. For each choice: the 99th percentile of requests at the chosen upstream,
the 95th percentile of the time of a request in ms, and the largest number of
requests in a second by its bound (1.25 times the share and 3 deviations).
"""

import itertools
import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from features.fixtures.choice_model import (  # noqa: E402
    SIZES,
    Point,
    Result,
    Slowdown,
    play,
)

INSTANCES = (1, 7, 62, 195, 300)
UPSTREAMS = (3, 30)
LOADS = (0.2, 0.6, 0.9)
CHOICES = ("fixed", "learned", "central", "perfect")
SLOWDOWN = Slowdown(4.0, 4.0, 9.0)


def _describe(result: Result) -> str:
    depth = result.quantile(result.depths, 0.99)
    time_ms = 1000.0 * result.quantile(result.times_s, 0.95)
    return f"{depth:4d} {time_ms:6.0f} {result.peak():5.2f}"


def _print_table(title: str, **options: object) -> None:
    print(f"\n{title}\n")
    print("instances upstreams load |" + "|".join(f" {c:17}" for c in CHOICES))
    for upstreams, instances, load in itertools.product(
        UPSTREAMS, INSTANCES, LOADS
    ):
        point = Point(instances, upstreams, load, **options)
        cells = "|".join(f" {_describe(play(point, c)):17}" for c in CHOICES)
        print(f"{instances:9d} {upstreams:9d} {load:4.1f} |{cells}", flush=True)


def _print_shares() -> None:
    print("\nShare of the slowed upstream by second, even is 1\n")
    print(
        "instances upstreams load " + " ".join(f"{s:5d}" for s in range(3, 13))
    )
    for upstreams, instances, load in itertools.product(
        UPSTREAMS, INSTANCES, (0.6, 0.9)
    ):
        point = Point(
            instances, upstreams, load, slowdown=SLOWDOWN, seconds=13.0
        )
        result = play(point, "learned")
        shares = " ".join(
            f"{result.share(0, s, s + 1):5.2f}" for s in range(3, 13)
        )
        print(f"{instances:9d} {upstreams:9d} {load:4.1f} {shares}", flush=True)


def main() -> int:
    """Prints all tables."""
    _print_table("Equal upstreams and requests")
    _print_table(
        "Speeds 1 : 2, requests of four sizes", speeds=(1.0, 2.0), sizes=SIZES
    )
    _print_table("One upstream 4 times slower for 5 s", slowdown=SLOWDOWN)
    _print_shares()
    return 0


if __name__ == "__main__":
    sys.exit(main())
