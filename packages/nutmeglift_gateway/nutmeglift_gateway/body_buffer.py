"""Buffers bodies and events within a budget that all responses share."""

from collections.abc import Callable

MAX_TOTAL_BYTES = 64 * 1024 * 1024
"""Limits the bodies, and parts of events, that one process buffers at the same
time."""
MAX_UNDECLARED_BYTES = 4 * 1024 * 1024
"""Limits one body that is sent without its length, as it may never end; the
default limit on a caller's body."""
SMALL_RATIO = 1 / 256
"""Part of the memory for all bodies up to which one is dropped last."""
BLOCK_BYTES = 64 * 1024
"""Smallest block of a buffer but the last one. A buffer that grew as a whole
would be copied again and again, and leave holes in the process's memory."""


class BodyBuffer:
    """A body or an event that is being received."""

    def __init__(
        self,
        budget: "Budget",
        limit: int,
        declared: int | None,
        on_too_large: Callable[[str], None],
    ) -> None:
        """Creates an empty buffer; use Budget.open.

        Args:
            budget: the budget that the buffer draws on.
            limit: the most bytes that the body may have.
            declared: the length in the head of the response, if any.
            on_too_large: called once, with the limit that was exceeded.
        """
        self._budget = budget
        self._limit = limit
        self._declared = declared
        self._on_too_large = on_too_large
        self._blocks: list[bytearray] = []
        self._size = 0

    @property
    def eviction_rank(self) -> tuple[bool, bool, int]:
        """Greatest for the body to drop first.

        That is a large one, which may never end or is largest.
        """
        large = self._size > self._budget.small_bytes
        return large, self._declared is None, self._size

    @property
    def is_blank(self) -> bool:
        """Whether nothing but white space is buffered."""
        return not any(block.strip() for block in self._blocks)

    def ends_with(self, end: bytes) -> bool:
        """Returns whether this byte is the last one that is buffered."""
        return bool(self._blocks) and self._blocks[-1].endswith(end)

    def __len__(self) -> int:
        """Returns the number of bytes buffered."""
        return self._size

    def check_declared(self) -> None:
        """Rejects a body whose declared length exceeds the limit."""
        if self._declared is not None and self._declared > self._limit:
            self.reject(f"declared {self._declared}, limit {self._limit} bytes")

    def add(self, data: bytes) -> None:
        """Adds a part; rejects this body or another if a limit is exceeded."""
        if not self._budget.is_open(self):
            return
        if self._size + len(data) > self._limit:
            self.reject(
                f"limit {self._limit} bytes, received {self._size + len(data)}"
            )
            return
        if self._blocks and len(self._blocks[-1]) < BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))
        self._size += len(data)
        self._budget.charge(len(data))

    def reject(self, detail: str) -> None:
        """Releases the buffer and reports that the body is too large."""
        self.release()
        self._on_too_large(f"the body is too large: {detail}")

    def take(self) -> bytes:
        """Returns the body and releases the buffer."""
        body = b"".join(self._blocks)
        self.release()
        return body

    def release(self) -> None:
        """Drops the buffered bytes and returns them to the budget."""
        self._budget.close(self)
        self._blocks = []
        self._size = 0


class Budget:
    """Memory for the bodies that are being received.

    Attributes:
        used: number of bytes buffered.
        small_bytes: size up to which a body is dropped last.
    """

    def __init__(self, limit: int) -> None:
        """Creates a budget of this many bytes."""
        self.used = 0
        self.small_bytes = int(limit * SMALL_RATIO)
        self._limit = limit
        self._open: set[BodyBuffer] = set()

    def open(
        self,
        *,
        declared: int | None,
        limit: int,
        on_too_large: Callable[[str], None],
    ) -> BodyBuffer:
        """Returns a buffer for one body.

        Args:
            declared: the length in the head of the response, if any.
            limit: the most bytes that the caller accepts.
            on_too_large: called once, with the limit that was exceeded, when
                this or another body makes it necessary to drop this one.
        """
        if declared is None:
            limit = min(limit, MAX_UNDECLARED_BYTES)
        buffer = BodyBuffer(
            self, min(limit, self._limit), declared, on_too_large
        )
        self._open.add(buffer)
        return buffer

    def is_open(self, buffer: BodyBuffer) -> bool:
        """Returns whether the buffer has not been released."""
        return buffer in self._open

    def charge(self, size: int) -> None:
        """Counts buffered bytes; drops bodies until the rest fits."""
        self.used += size
        while self.used > self._limit:
            victim = max(self._open, key=lambda each: each.eviction_rank)
            victim.reject(
                f"{self._limit} bytes for all bodies are in use,"
                f" {len(victim)} by this one"
            )

    def close(self, buffer: BodyBuffer) -> None:
        """Returns the bytes of a buffer."""
        if buffer in self._open:
            self._open.remove(buffer)
            self.used -= len(buffer)


SHARED_BUDGET = Budget(MAX_TOTAL_BYTES)
"""The budget of the process, as memory is limited for a process."""
