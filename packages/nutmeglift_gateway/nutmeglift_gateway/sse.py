"""Splits a stream into whole events and checks their order."""

import re

_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")
_DELIMITER = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
"""A longer event is no event; it bounds the buffer of a stream."""


class BrokenStreamError(Exception):
    """The events are not in order, or one is too long."""


class EventSplitter:
    """Gives back whole events only, each after the one before.

    Attributes:
        last_id: id of the last whole event; None before the first.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._pending = b""

    @property
    def is_clean(self) -> bool:
        """Whether no event is cut in the middle."""
        return not self._pending.strip()

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that are ready; may be empty.

        Raises:
            BrokenStreamError: an event is missing, came twice, or is too
                long.
        """
        pending = self._pending + data if self._pending else data
        end = pending.rfind(_DELIMITER)
        if end < 0:
            if len(pending) > MAX_EVENT_BYTES:
                raise BrokenStreamError("an event is too long")
            self._pending = pending
            return b""
        whole = pending[: end + len(_DELIMITER)]
        self._pending = pending[end + len(_DELIMITER) :]
        for found in _ID.finditer(whole):
            event_id = int(found.group(1))
            if self.last_id is not None and event_id != self.last_id + 1:
                raise BrokenStreamError(
                    f"event {event_id} follows {self.last_id}"
                )
            self.last_id = event_id
        return whole

    def restart(self) -> None:
        """Drops a cut event: the stream goes on after the last whole one."""
        self._pending = b""
