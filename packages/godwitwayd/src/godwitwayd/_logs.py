"""JSON-line logs through absl."""

import logging as standard_logging
import sys
import traceback

import msgspec
from absl import logging

__all__ = ["JsonLineFormatter", "configure_logging"]


class JsonLineFormatter(standard_logging.Formatter):
    """Writes every record as one JSON object on one line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record; a message that is a JSON object keeps its keys."""
        message = record.getMessage()
        base = {"wall_s": round(record.created, 3), "level": record.levelname.lower()}
        fields = parse_object(message)
        line = base | (fields if fields is not None else {"message": message})
        if record.exc_info:
            line["traceback"] = "".join(traceback.format_exception(*record.exc_info))
        return msgspec.json.encode(line).decode()


def parse_object(message: str) -> dict[str, object] | None:
    """Return a message's JSON object, or None when it is plain text."""
    if not message.startswith("{"):
        return None
    try:
        return msgspec.json.decode(message, type=dict[str, object])
    except msgspec.DecodeError:
        return None


def configure_logging() -> None:
    """Send all logs of the process to standard error as JSON lines."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonLineFormatter())
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    handler.python_handler.stream = sys.stderr
