"""Where the journal of a host process goes: absl's log, as JSON lines."""

from typing import Any

import msgspec
from absl import logging

__all__ = ["write_log_line"]


def write_log_line(line: dict[str, Any]) -> None:
    """Write a line through absl, as one JSON object."""
    logging.info("%s", msgspec.json.encode(line).decode())
