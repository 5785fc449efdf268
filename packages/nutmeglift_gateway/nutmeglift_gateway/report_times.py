"""Times of the reports on a link, by which what the peer reports is dated.

The clocks of two routers differ. What a peer reports happened after it had
received the report of this router that it echoes, or its age counts from then.
"""

MAX_UNECHOED_COUNT = 50
"""Reports whose times are kept for a peer that echoes none: those of a second
in which all of them are urgent."""


class ReportTimes:
    """When this router sent the reports that its peer echoes.

    Attributes:
        received: sequence number of the peer's last report; 0 before it.
    """

    def __init__(self) -> None:
        """Initializes without any report."""
        self.received = 0
        self._sequence = 0
        self._echoed = 0
        self._sent_at_by_sequence: dict[int, float] = {}

    def record_sent(self, boot_now: float) -> int:
        """Records a report of this router; returns its sequence number.

        Args:
            boot_now: seconds on the clock that includes time in suspension.
        """
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = boot_now
        for old in list(self._sent_at_by_sequence):
            if old < self._echoed or old < self._sequence - MAX_UNECHOED_COUNT:
                del self._sent_at_by_sequence[old]
        return self._sequence

    def record_received(self, sequence: int, echo: int) -> None:
        """Records a report of the peer.

        Args:
            sequence: its sequence number.
            echo: that of the report of this router that it echoes.
        """
        self.received = sequence
        if echo in self._sent_at_by_sequence:
            self._echoed = max(self._echoed, echo)

    def sent_at(self, echo: int) -> float | None:
        """Returns when a report was sent, on the boot clock, if that is known.

        Args:
            echo: its sequence number.
        """
        return self._sent_at_by_sequence.get(echo)
