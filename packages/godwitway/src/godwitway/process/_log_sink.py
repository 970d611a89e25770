"""The journal sink of a host process: JSON lines in the absl log."""

from typing import Any

import msgspec
from absl import logging

__all__ = ["write_log_line"]


def write_log_line(line: dict[str, Any]) -> None:
    """Write a journal line to the absl log as one JSON object."""
    logging.info("%s", msgspec.json.encode(line).decode())
