"""Limits the memory of responses that callers have not read yet."""

import abc

from nutmeglift_gateway import request_memory

UNSENT_RATIO = 0.125
"""Share of a process's memory for unsent responses. Beside it there is room for
the requests and for the bodies that are received from servers."""
MIN_COUNTED_BYTES = 16 * 1024
"""Write buffers below this size are not counted."""


class BaseWriter(abc.ABC):
    """A connection to a caller."""

    @property
    @abc.abstractmethod
    def unsent_bytes(self) -> int:
        """Number of bytes that the caller has not been sent yet."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Closes the connection, so that the response is visibly incomplete."""


class Budget:
    """Memory for the unsent responses of all callers.

    Attributes:
        used: number of bytes as last counted; callers may have read since.
    """

    def __init__(self, limit: int) -> None:
        """Creates a budget of this many bytes."""
        self.used = 0
        self._limit = limit
        # Oldest first.
        self._size_by_writer: dict[BaseWriter, int] = {}

    def record(self, writer: BaseWriter, size: int) -> None:
        """Counts unsent bytes; cuts connections until the rest fits.

        The connection that has had unsent bytes for the longest time is cut
        first. The last one is left, as one response may exceed the limit.

        Args:
            writer: a connection.
            size: number of its unsent bytes.
        """
        if size < MIN_COUNTED_BYTES:
            self.forget(writer)
            return
        self.used += size - self._size_by_writer.get(writer, 0)
        self._size_by_writer[writer] = size
        if self.used <= self._limit:
            return
        self._count_again()
        while self.used > self._limit and len(self._size_by_writer) > 1:
            oldest = next(iter(self._size_by_writer))
            self.forget(oldest)
            oldest.cut()

    def forget(self, writer: BaseWriter) -> None:
        """Stops to count a connection."""
        self.used -= self._size_by_writer.pop(writer, 0)

    def _count_again(self) -> None:
        for writer in list(self._size_by_writer):
            size = writer.unsent_bytes
            if size < MIN_COUNTED_BYTES:
                self.forget(writer)
                continue
            self.used += size - self._size_by_writer[writer]
            self._size_by_writer[writer] = size


def for_process(megabytes: float | None) -> Budget:
    """Returns the budget of a process.

    Args:
        megabytes: memory beyond which the process is killed; None if it is not
            known.
    """
    return Budget(request_memory.share(megabytes, UNSENT_RATIO))


SHARED_BUDGET = for_process(None)
"""The budget of connections that aren't given another."""
