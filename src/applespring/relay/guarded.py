"""Runs work in the background so that an error in it ends nothing else."""

from collections.abc import Awaitable, Callable

from loguru import logger

from applespring.relay.metrics import RelayMetrics


async def run_guarded(
    metrics: RelayMetrics, work: Callable[..., Awaitable[None]], *args: object
) -> None:
    """Runs the work for one call, release or delivery.

    It shares a task group with all other work of the process, which an error
    would end. One that nobody foresaw is logged and counted instead.

    Args:
        metrics: Metrics that count the error.
        work: The work.
        *args: Its arguments.
    """
    try:
        await work(*args)
    except Exception:  # noqa: BLE001
        name = getattr(work, "__name__", repr(work))
        metrics.state_changes.inc("fault")
        logger.bind(event="fault", work=name).exception(
            "background work {} failed with an unexpected error", name
        )
