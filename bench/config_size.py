"""Measures the time to load a configuration document of the planned size.

Run with `python -m bench.config_size`.
"""

import statistics
import time

from applespring.config import load_document

ACCOUNTS = 1800
MODELS = 40
PIPELINES = 20
UPSTREAMS_PER_MODEL = 15
FAILURE_DOMAINS = 12
RUNS = 7


def write_document() -> str:
    """Returns a valid document with the numbers of the constants."""
    domains = [f"domain-{number}" for number in range(FAILURE_DOMAINS)]
    listed = ", ".join(f'"{domain}"' for domain in domains)
    lines = [
        'site = "Scale"',
        'region = "one"',
        f"failure_domains = [{listed}]",
    ]
    for model in range(MODELS):
        lines += ["[[pool]]", f'name = "pool-{model}"', 'kind = "generate"']
        lines += [f'model = "model-{model}"', "upstream = ["]
        for number in range(UPSTREAMS_PER_MODEL):
            port = 10_000 + model * UPSTREAMS_PER_MODEL + number
            lines.append(
                f'    {{ name = "engine-{model}-{number}", '
                f'address = "127.0.0.1:{port}", failure_domain = '
                f'"{domains[number % FAILURE_DOMAINS]}", slots = 32 }},'
            )
        lines.append("]")
    for pipeline in range(PIPELINES):
        lines += ["[[pipeline]]", f'name = "pipeline-{pipeline}"', "stages = ["]
        for stage in range(4):
            pool = (pipeline + stage) % MODELS
            lines.append(f'    {{ name = "s{stage}", pool = "pool-{pool}" }},')
        lines.append("]")
    for account in range(ACCOUNTS):
        domain = domains[account % FAILURE_DOMAINS]
        lines += ["[[account]]", f'name = "account-{account}"']
        lines += ["weight = 2.0", f'home = "{domain}"']
    for rule in range(PIPELINES):
        lines += ["[[rule]]", f'name = "rule-{rule}"']
        lines += [f'when = {{ pipeline = "pipeline-{rule}", stream = true }}']
        lines += ["then = { priority = 3 }"]
    lines += ["[[rule]]", 'name = "rest"', ""]
    return "\n".join(lines)


def main() -> None:
    """Prints the size of the document and the time to load it."""
    text = write_document()
    times_s = []
    for _ in range(RUNS):
        started = time.perf_counter()
        result = load_document(text, 1)
        times_s.append(time.perf_counter() - started)
        if result.fleet is None:
            raise SystemExit("\n".join(map(str, result.errors)))
    print(f"{len(text)} bytes, {len(text.splitlines())} lines")
    print(
        f"load: median {statistics.median(times_s) * 1000:.0f} ms, "
        f"maximum {max(times_s) * 1000:.0f} ms of {RUNS} runs"
    )


if __name__ == "__main__":
    main()
