"""Writes rate-limited JSON log lines to standard output."""

import logging
import os
import sys
import time
from typing import Any

from pythonjsonlogger import msgspec as json_logger

MAX_LINES_PER_SECOND = 40.0
"""Rate limit per event name; keeps the processor time of logging below a
hundredth of a core."""
MAX_BURST_LINE_COUNT = 200.0
"""Burst limit per event name, as when a failure affects all requests."""
LOGGER_NAME = "nutmeglift_gateway"


class _NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor; drops and counts lines that would block."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line."""
        if self._dropped:
            record.dropped_before = self._dropped
        line = self.format(record) + "\n"
        try:
            os.write(self._descriptor, line.encode())
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            self.handleError(record)


class _LineBudget:
    """Token bucket for the lines of one event name."""

    def __init__(self) -> None:
        self.lines = MAX_BURST_LINE_COUNT
        self.updated_at = time.monotonic()
        self.suppressed = 0

    def try_spend(self) -> bool:
        now = time.monotonic()
        earned = (now - self.updated_at) * MAX_LINES_PER_SECOND
        self.updated_at = now
        self.lines = min(MAX_BURST_LINE_COUNT, self.lines + earned)
        if self.lines < 1.0:
            self.suppressed += 1
            return False
        self.lines -= 1.0
        return True


class DecisionLog:
    """Writes one line per decision, within the rate limit of each event name.

    Suppressed lines are counted in the next line of the same event name.
    """

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger
        self._budget_by_event: dict[str, _LineBudget] = {}

    def write(self, event: str, **fields: Any) -> None:
        """Writes a line, or counts it if the rate limit is exceeded.

        Args:
            event: event name of the decision.
            **fields: inputs of the decision, their age or version, and its
                outcome.
        """
        budget = self._budget_by_event.setdefault(event, _LineBudget())
        if not budget.try_spend():
            return
        if budget.suppressed:
            fields["folded_before"] = budget.suppressed
            budget.suppressed = 0
        self._logger.info(event, extra=fields)


def set_up(vm: str) -> DecisionLog:
    """Configures logging as JSON on standard output.

    Args:
        vm: name of this VM; added to every line.
    """
    handler = _NonBlockingHandler(sys.stdout.fileno())
    handler.setFormatter(
        json_logger.MsgspecFormatter(
            "%(created)f %(levelname)s %(message)s",
            rename_fields={
                "created": "time",
                "levelname": "level",
                "message": "event",
            },
            static_fields={"vm": vm},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    # The library logs a warning for every trigger that changes no state.
    logging.getLogger("transitions").setLevel(logging.ERROR)
    logger = logging.getLogger(LOGGER_NAME)
    logger.setLevel(logging.INFO)
    return DecisionLog(logger)
