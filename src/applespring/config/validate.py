"""Fourth step of loading: checks the tables of a document against each other.

A check is a function decorated with `check` that yields errors. It may depend
only on the document and its revision, so that every instance accepts or
rejects a document alike.
"""

from collections.abc import Callable, Iterator
from collections.abc import Set as AbstractSet

from applespring.config.complete import DocumentTable
from applespring.config.diagnostic import Diagnostic
from applespring.core.fleet import Fleet
from applespring.core.value_kind import DefinedNames


class Candidate:
    """A document under validation.

    Attributes:
        root: Root table of the completed document.
        fleet: The fleet built from it.
        names: Entity, for example `pool`, to the names that the document
            defines. An entity is left out if one of its definitions is
            invalid, since a name that seems undefined may be the one that
            this definition should have given.
    """

    __slots__ = ("root", "fleet", "names")

    def __init__(self, root: DocumentTable, fleet: Fleet) -> None:
        self.root = root
        self.fleet = fleet
        self.names = _collect_names(root, fleet)


def _collect_names(root: DocumentTable, fleet: Fleet) -> DefinedNames:
    names: dict[str, AbstractSet[str]] = {}
    for entity, defined in (
        ("pool", fleet.pools),
        ("pipeline", fleet.pipelines),
        ("account", fleet.accounts),
    ):
        tables = root.children[entity]
        if root.is_valid(entity) and all(
            table.is_valid("name") for table in tables
        ):
            names[entity] = defined.keys()
    if root.is_valid("failure_domains"):
        names["failure domain"] = frozenset(fleet.failure_domains)
    pipelines = fleet.pipelines.values()
    if "pipeline" in names and all(
        pipeline.is_valid("stages") for pipeline in root.children["pipeline"]
    ):
        names["stage"] = {s.name for p in pipelines for s in p.stages}
    return names


_Check = Callable[[Candidate], Iterator[Diagnostic]]

CHECKS: list[_Check] = []


def check(function: _Check) -> _Check:
    """Registers the decorated function in `CHECKS`."""
    CHECKS.append(function)
    return function


def validate_fleet(root: DocumentTable, fleet: Fleet) -> list[Diagnostic]:
    """Returns the errors that every registered check finds."""
    candidate = Candidate(root, fleet)
    return [error for function in CHECKS for error in function(candidate)]
