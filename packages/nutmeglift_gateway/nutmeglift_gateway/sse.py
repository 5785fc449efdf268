"""Splits a stream of server-sent events and checks their order."""

import re

from nutmeglift_gateway import body_buffer

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

    The bytes of an incomplete event count towards the budget that all bodies
    of the process share. If they are dropped for others, the stream fails with
    the next bytes that arrive.

    Attributes:
        last_id: id of the last valid event; None before the first.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._pending: body_buffer.BodyBuffer | None = None
        self._dropped = ""

    @property
    def is_clean(self) -> bool:
        """Whether no incomplete event is buffered."""
        if self._dropped:
            return False
        return self._pending is None or self._pending.is_blank

    def feed(self, data: bytes) -> bytes:
        """Adds received data; returns the complete events, which may be none.

        Raises:
            BrokenStreamError: an event is missing, duplicated or too long, or
                was dropped as too much is buffered for all streams.
        """
        if self._dropped:
            raise BrokenStreamError(self._dropped)
        size = self._complete_size(data)
        complete = b""
        if size:
            complete = self._take_pending() + data[:size]
            self._check_ids(complete)
        if size < len(data):
            self._keep(data[size:], complete)
        return complete

    def restart(self) -> None:
        """Drops an incomplete event: the stream ends or is resumed."""
        self._release_pending()
        self._dropped = ""

    def _complete_size(self, data: bytes) -> int:
        """Returns how many bytes of the data end the last complete event."""
        end = data.rfind(DELIMITER)
        if end >= 0:
            return end + len(DELIMITER)
        half = len(DELIMITER) // 2
        pending = self._pending
        if (
            pending is not None
            and pending.ends_with(DELIMITER[:half])
            and data.startswith(DELIMITER[half:])
        ):
            return half
        return 0

    def _check_ids(self, complete: bytes) -> None:
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

    def _keep(self, data: bytes, complete: bytes) -> None:
        """Buffers a part of an event until the rest arrives."""
        if self._pending is None:
            self._pending = body_buffer.SHARED_BUDGET.open(
                declared=None,
                limit=MAX_EVENT_BYTES,
                on_too_large=self._on_dropped,
            )
        size = len(self._pending) + len(data)
        if size > MAX_EVENT_BYTES:
            self._on_dropped(
                f"an event exceeds {MAX_EVENT_BYTES} bytes, received {size}"
            )
        else:
            self._pending.add(data)
        if self._dropped:
            raise BrokenStreamError(self._dropped, complete)

    def _take_pending(self) -> bytes:
        pending, self._pending = self._pending, None
        return pending.take() if pending is not None else b""

    def _release_pending(self) -> None:
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.release()

    def _on_dropped(self, detail: str) -> None:
        self._dropped = detail
        self._release_pending()
