"""Structured logs: one JSON object per line, for state changes."""

import logging
import sys

from pythonjsonlogger import json as json_logger


def set_up(vm: str) -> None:
    """Sends the logs of all nutmeglift packages to stderr as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"vm": vm},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    # The library warns about every event that changes no state.
    logging.getLogger("transitions").setLevel(logging.ERROR)
    for name in ("nutmeglift", "nutmeglift_router", "nutmeglift_agent"):
        logging.getLogger(name).setLevel(logging.INFO)
