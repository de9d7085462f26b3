"""Saves scraped metrics of the entry instances for applespring-report."""

import pathlib
import time
from collections import defaultdict

import httpx

from demo.cluster import Cluster

SCRAPE_LIMIT_S = 10.0
COST = "applespring_stage_cost_total"
WASTED_COST = "applespring_stage_cost_wasted_total"


class Scraper:
    """Saves the answers of `/metrics` as `<instance>.<moment>.prom`.

    The first line is a comment with the scrape time in seconds since the
    epoch: `# scraped_at_unix_s 1764590000.123`.
    """

    def __init__(self, cluster: Cluster, directory: pathlib.Path) -> None:
        self._cluster = cluster
        self._directory = directory
        self._texts: dict[tuple[str, str], str] = {}
        directory.mkdir(parents=True, exist_ok=True)
        for old in directory.glob("*.prom"):
            old.unlink()

    async def scrape_all(self, moment: str) -> None:
        """Scrapes every running entry instance.

        Raises:
            httpx.HTTPError: One does not answer with status 200.
        """
        for name in self._cluster.entries:
            if name in self._cluster.children:
                await self.scrape(name, moment)

    async def scrape(self, name: str, moment: str) -> None:
        """Scrapes one entry instance.

        Raises:
            httpx.HTTPError: It does not answer with status 200.
        """
        url = f"{self._cluster.entries[name].url}/metrics"
        async with httpx.AsyncClient(
            timeout=SCRAPE_LIMIT_S, trust_env=False
        ) as client:
            resp = await client.get(url, headers={"accept": "text/plain"})
        resp.raise_for_status()
        text = f"# scraped_at_unix_s {time.time():.3f}\n{resp.text}"
        (self._directory / f"{name}.{moment}.prom").write_text(text)
        self._texts[name, moment] = text

    def sum_by_stage(self, metric: str) -> dict[str, float]:
        """Returns the increase of a counter over all instances, by stage."""
        sums: dict[str, float] = defaultdict(float)
        for (_, moment), text in self._texts.items():
            sign = 1 if moment == "after" else -1
            for labels, value in read_samples(text, metric):
                stage = f"{labels['pipeline']}/{labels['stage']}"
                sums[stage] += sign * value
        return dict(sorted(sums.items()))


def read_samples(text: str, metric: str) -> list[tuple[dict[str, str], float]]:
    """Returns labels and value of each sample of a metric.

    Label values must contain neither commas nor quotes; names in a
    configuration document don't.
    """
    samples = []
    for line in text.splitlines():
        if not line.startswith(metric + "{"):
            continue
        inner, _, remaining = line[len(metric) + 1 :].partition("}")
        pairs = (pair.partition("=") for pair in inner.split(",") if pair)
        labels = {name: value.strip('"') for name, _, value in pairs}
        samples.append((labels, float(remaining.split()[0])))
    return samples
