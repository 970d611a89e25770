"""Formats the logs of the process as JSON lines; absl writes them."""

import logging as standard_logging
import sys
import traceback

import msgspec
from absl import logging

__all__ = ["JsonLineFormatter", "configure_logging"]


class JsonLineFormatter(standard_logging.Formatter):
    """Formats each log record as one JSON object on one line.

    Every line has ``wall_s``, the time in Unix seconds, and ``level``; an exception adds
    ``traceback``.
    """

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record.

        The fields of a message that is a JSON object are added to the line and replace fields of
        the same name; any other message becomes the field ``message``.
        """
        message = record.getMessage()
        base = {"wall_s": round(record.created, 3), "level": record.levelname.lower()}
        fields = parse_object(message)
        line = base | (fields if fields is not None else {"message": message})
        if record.exc_info:
            line["traceback"] = "".join(traceback.format_exception(*record.exc_info))
        return msgspec.json.encode(line).decode()


def parse_object(message: str) -> dict[str, object] | None:
    """Parse a message as a JSON object; returns None for any other text."""
    if not message.startswith("{"):
        return None
    try:
        return msgspec.json.decode(message, type=dict[str, object])
    except msgspec.DecodeError:
        return None


def configure_logging() -> None:
    """Write all logs of the process from level INFO on to standard error as JSON lines."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonLineFormatter())
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    # Without this, the handler keeps the stream that was sys.stderr when absl was imported.
    handler.python_handler.stream = sys.stderr
