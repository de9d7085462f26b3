"""Hooks of the behave run."""

import logging

from loguru import logger


def before_all(context):
    """Keeps log lines out of the output of passing scenarios."""
    del context
    logger.remove()
    logging.getLogger("httpx").setLevel(logging.WARNING)
