"""Configuration documents and instance lists of a given size."""

from collections.abc import Sequence
from typing import Any

DOMAINS = 12
MODELS = 40
ACCOUNTS = 1800
PIPELINES = 20
STAGES = 4


def write_document(
    addresses: Sequence[str],
    *,
    pools: int = MODELS,
    accounts: int = ACCOUNTS,
    pipelines: int = PIPELINES,
    domains: int = DOMAINS,
) -> str:
    """Returns a document whose upstreams have the given addresses.

    All are engines that report their load, spread evenly over pools and
    failure domains.
    """
    names = [f"domain-{n}" for n in range(domains)]
    listed = ", ".join(f'"{name}"' for name in names)
    pools = min(pools, len(addresses))
    lines = ['site = "Scale"', 'region = "one"']
    lines.append(f"failure_domains = [{listed}]")
    for pool in range(pools):
        lines += ["[[pool]]", f'name = "pool-{pool}"', 'kind = "generate"']
        lines += [f'model = "model-{pool}"', "reports_load = true"]
        lines.append("upstream = [")
        for index in range(pool, len(addresses), pools):
            domain = names[(index // pools + pool) % domains]
            lines.append(
                f'    {{ name = "engine-{index}", '
                f'address = "{addresses[index]}", '
                f'failure_domain = "{domain}", slots = 32 }},'
            )
        lines.append("]")
    for pipeline in range(pipelines):
        lines += ["[[pipeline]]", f'name = "pipeline-{pipeline}"', "stages = ["]
        for stage in range(STAGES):
            pool = (pipeline + stage) % pools
            lines.append(f'    {{ name = "s{stage}", pool = "pool-{pool}" }},')
        lines.append("]")
    for account in range(accounts):
        lines += ["[[account]]", f'name = "account-{account}"']
        lines += ["weight = 2.0", f'home = "{names[account % domains]}"']
    lines += ["[[rule]]", 'name = "rest"', ""]
    return "\n".join(lines)


def make_entries(
    upstreams: Sequence[str], peers: Sequence[str], pools: int = MODELS
) -> list[dict[str, Any]]:
    """Returns the instance list that matches a document of `write_document`."""
    pools = max(1, min(pools, len(upstreams)))
    items = []
    for index, address in enumerate(upstreams):
        pool = index % pools
        domain = (index // pools + pool) % DOMAINS
        items.append(
            make_item(f"engine-{index}", f"pool-{pool}", address, domain)
        )
    for index, address in enumerate(peers):
        items.append(
            make_item(f"entry-{index}", "entry", address, index % DOMAINS)
        )
    return items


def make_addresses(count: int, port: int = 10_000) -> list[str]:
    """Returns addresses on which nothing listens."""
    return [f"127.0.0.1:{port + n}" for n in range(count)]


def make_item(
    name: str, role: str, address: str, domain: int
) -> dict[str, Any]:
    """Returns one item of an instance list."""
    return {
        "name": name,
        "role": role,
        "address": address,
        "failure_domain": f"domain-{domain}",
        "state": "live",
    }
