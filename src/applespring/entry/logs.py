"""Log set-up: one line for each change of state, as text or as JSON."""

import sys

import orjson
from loguru import logger

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {message} {extra}"


def set_up_logs(level: str, *, as_json: bool) -> None:
    """Sends log lines to standard error and nowhere else.

    Args:
        level: One of LEVELS.
        as_json: Whether each line is a JSON object instead of text.
    """
    logger.remove()
    if as_json:
        logger.add(_write_json, level=level)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)


def _write_json(message: object) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(orjson.dumps(line, default=str).decode() + "\n")
