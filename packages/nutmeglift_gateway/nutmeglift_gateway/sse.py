"""Splits a stream of server-sent events and checks their order."""

import re

_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,19})")
DELIMITER = b"\n\n"
"""Ends an event."""
MAX_EVENT_BYTES = 1024 * 1024
"""Limits the buffer of a stream; a longer event is an error."""


class BrokenStreamError(Exception):
    """An event is out of order or too long.

    Attributes:
        valid_events: the events before it that have not been returned.
    """

    def __init__(self, detail: str, valid_events: bytes = b"") -> None:
        super().__init__(detail)
        self.valid_events = valid_events


class EventSplitter:
    """Returns complete events only, and checks that their ids are consecutive.

    Attributes:
        last_id: id of the last valid event; None before the first.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._pending = bytearray()

    @property
    def is_clean(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._pending.strip()

    def feed(self, data: bytes) -> bytes:
        """Adds received data; returns the complete events, which may be none.

        Raises:
            BrokenStreamError: an event is missing, duplicated or too long.
        """
        pending = self._pending
        # The bytes before were searched already, and may be many.
        search_start = max(0, len(pending) - len(DELIMITER) + 1)
        pending += data
        end = pending.rfind(DELIMITER, search_start)
        if end < 0:
            if len(pending) > MAX_EVENT_BYTES:
                raise BrokenStreamError(
                    f"an event exceeds {MAX_EVENT_BYTES} bytes,"
                    f" received {len(pending)}"
                )
            return b""
        complete = bytes(pending[: end + len(DELIMITER)])
        del pending[: end + len(DELIMITER)]
        for id_match in _ID.finditer(complete):
            event_id = int(id_match.group(1))
            if self.last_id is not None and event_id != self.last_id + 1:
                # The stream is resumed after last_id, so the caller needs the
                # events up to it.
                start = complete.rfind(DELIMITER, 0, id_match.start() + 1)
                raise BrokenStreamError(
                    f"event {event_id} follows {self.last_id}",
                    complete[: start + len(DELIMITER)] if start >= 0 else b"",
                )
            self.last_id = event_id
        return complete

    def restart(self) -> None:
        """Drops an incomplete event before the stream is resumed."""
        self._pending = bytearray()
