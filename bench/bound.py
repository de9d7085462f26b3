"""An upper bound of the requests that a site can answer in time.

The bound is the maximum of the sum of x[c] over the pipelines c subject to

    x[c] <= requests offered to c, and for each pool p
    sum over c of x[c] * work[c, p] <= slot seconds of p,

where work[c, p] is the mean slot seconds of a request at the lowest token limit
that the rules set, and the slot seconds of p are those of its upstreams from
the first measured arrival to the last deadline of a pipeline that uses p.
Faults start at the first measured arrival, so a dead upstream counts nothing
and a slow one a tenth. No figure of a run enters the bound. It ignores
partitions between upstreams and callers and the order of arrivals, so no
policy can exceed it.
"""

from collections.abc import Mapping, Sequence

from bench.site import Site

_EPSILON = 1e-9


def bound_requests(
    site: Site, offered: Mapping[str, int], slot_s: Mapping[str, float]
) -> float:
    """Returns the most requests that can be answered completely in time.

    Args:
        site: The site.
        offered: Pipeline to number of requests.
        slot_s: Pool to available slot seconds.
    """
    names = sorted(offered)
    rows, limits = [], []
    for pool, seconds in sorted(slot_s.items()):
        rows.append(
            [
                site.mean_work_s(n, pool, site.lowest_token_limit(n))
                for n in names
            ]
        )
        limits.append(seconds)
    for index, name in enumerate(names):
        rows.append([float(index == i) for i in range(len(names))])
        limits.append(float(offered[name]))
    return maximize_sum(rows, limits)


def maximize_sum(
    rows: Sequence[Sequence[float]], limits: Sequence[float]
) -> float:
    """Returns the maximum of sum(x) subject to rows * x <= limits and x >= 0.

    Simplex method on a dense tableau; Bland's rule prevents cycles. No limit
    is negative, so x = 0 is feasible and the start.
    """
    count = len(rows[0])
    table = [
        [*row, *(float(i == j) for j in range(len(rows))), limit]
        for i, (row, limit) in enumerate(zip(rows, limits, strict=True))
    ]
    goal = [-1.0] * count + [0.0] * (len(rows) + 1)
    basis = [count + i for i in range(len(rows))]
    while True:
        columns = range(len(goal) - 1)
        column = next((c for c in columns if goal[c] < -_EPSILON), None)
        if column is None:
            return goal[-1]
        ratios = [
            (line[-1] / line[column], basis[i], i)
            for i, line in enumerate(table)
            if line[column] > _EPSILON
        ]
        pivot = min(ratios)[2]
        basis[pivot] = column
        scale = table[pivot][column]
        table[pivot] = [value / scale for value in table[pivot]]
        for i, line in enumerate(table):
            if i != pivot:
                table[i] = _eliminate(line, table[pivot], column)
        goal = _eliminate(goal, table[pivot], column)


def _eliminate(
    line: list[float], pivot: list[float], column: int
) -> list[float]:
    factor = line[column]
    return [a - factor * b for a, b in zip(line, pivot, strict=True)]
