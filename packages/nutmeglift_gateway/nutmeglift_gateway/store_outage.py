"""Tells whether an outage of the store may have removed an entry.

The store drops a server's entry when the server has left, but also when the
server could not renew it during an outage. The server then restores it soon
after the store's return, so the entry stays usable until then.

An outage is dated by when the calls that failed were sent, not by when their
failure was noticed. The window in which a removal counts as a lapse therefore
ends before the operators' bounds hold again.

The store may refuse one router, or leave its calls unanswered, while it serves
the servers and the other routers. Its calls then fail on, but no entry lapses.
The window therefore ends at most its length after the store began to serve a
peer.

A store that comes back from an older copy lacks the entries that were written
since, too, until the servers write them again.
"""

from collections.abc import Collection

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import freshness

MIN_OUTAGE_SECONDS = 1.0
"""An entry lapses after several missed renewals, so a shorter interval without
a response removes none."""
LAPSE_WINDOW_SECONDS = 2.8
"""Servers restore their entries within 2 s of the store's return, which may be
later than the last failed call by the timeout of that call."""
CONTACT_MARGIN_SECONDS = 0.2
"""Ends the window before the operators' bounds hold again, allowing for the
interval at which expired entries are removed."""


class StoreOutage:
    """Tracks which calls of a router the store answered.

    Times are loop times in seconds.
    """

    def __init__(
        self, board: boards.Board, log: decision_log.DecisionLog
    ) -> None:
        """Starts without an outage.

        Args:
            board: has the operators' bounds; its directory receives the window
                in which a removed entry counts as lapsed.
            log: log of decisions.
        """
        self._board = board
        self._log = log
        self._answered_at = float("-inf")
        self._failing_since: float | None = None
        self._last_failed_at = float("-inf")
        self._outage_ended_at = float("-inf")
        self._last_failure = ""
        self._window_end = float("-inf")
        self._restored_until = float("-inf")
        self._served_since_by_peer: dict[str, float] = {}

    @property
    def is_down(self) -> bool:
        """Whether no call has been answered since one that failed was sent."""
        return self._failing_since is not None

    def describe(self, now: float) -> str:
        """Returns which failed call dates the window, for the log."""
        if self._last_failed_at == float("-inf"):
            return ""
        ago = now - self._last_failed_at
        return f"{self._last_failure}, sent {ago:.3f} s ago"

    def record_answer(self, now: float) -> None:
        """Records a response."""
        if self._is_outage(now):
            self._extend_window(self._last_failed_at)
            self._outage_ended_at = now
        if self.is_down:
            self._log.write("store regained")
        self._failing_since = None
        self._answered_at = now

    def record_failure(self, now: float, sent_at: float, detail: str) -> None:
        """Records a call without a response.

        If another call has been answered since it was sent, the store serves
        this router again.

        Args:
            now: loop time.
            sent_at: when the call was sent.
            detail: why it failed, for the log.
        """
        was_down = self.is_down
        if sent_at >= self._answered_at:
            self._last_failed_at = max(self._last_failed_at, sent_at)
            self._last_failure = detail
            if not was_down:
                self._failing_since = sent_at
        # A call that was sent in an outage may fail after the store's return.
        if self._is_outage(now) or sent_at < self._outage_ended_at:
            self._extend_window(sent_at)
        if not was_down:
            self._log.write(
                "store lost" if self.is_down else "store call failed",
                detail=detail,
                sent_ago=round(now - sent_at, 3),
            )

    def record_peer_failures(
        self, now: float, since: float, last_at: float
    ) -> None:
        """Dates an outage by the calls of a peer that makes more of them.

        They count only if this router's calls fail, too: the store may refuse
        the peer alone.

        Args:
            now: loop time.
            since: when the first call that failed was sent.
            last_at: when the last one was sent.
        """
        if self._failing_since is None:
            return
        self._failing_since = max(
            self._answered_at, min(self._failing_since, since)
        )
        if last_at <= self._last_failed_at:
            return
        self._last_failed_at = last_at
        if self._is_outage(now):
            self._extend_window(last_at)

    def failing_for_ms(self, now: float) -> int:
        """Returns for how long calls have failed; negative if they don't."""
        if self._failing_since is None:
            return -1
        return round(1000 * (now - self._failing_since))

    def failed_ago_ms(self, now: float) -> int:
        """Returns the age of the last failed call; negative if none fails."""
        if self._failing_since is None:
            return -1
        return round(1000 * (now - self._last_failed_at))

    def record_restore(self, now: float) -> None:
        """Records that the store came back from an older copy."""
        self._restored_until = now + freshness.RESTORE_SECONDS
        self._update_directory()

    def record_peer(self, now: float, peer: str, *, served: bool) -> None:
        """Records whether the store serves a peer.

        Args:
            now: loop time.
            peer: VM of the peer.
            served: whether the peer reports so; False if it is lost.
        """
        if not served:
            self._served_since_by_peer.pop(peer, None)
        else:
            self._served_since_by_peer.setdefault(peer, now)
        if now < self._window_end:
            self._update_directory()

    def keep_peers(self, now: float, peers: Collection[str]) -> None:
        """Drops the peers that are no longer live."""
        for peer in self._served_since_by_peer.keys() - set(peers):
            self.record_peer(now, peer, served=False)

    def _is_outage(self, now: float) -> bool:
        since = self._failing_since
        return since is not None and now - since >= MIN_OUTAGE_SECONDS

    def _extend_window(self, failed_at: float) -> None:
        """Lets removed entries count as lapsed for a while after a call."""
        self._window_end = max(self._window_end, failed_at + self._window())
        self._update_directory()

    def _window(self) -> float:
        return min(
            LAPSE_WINDOW_SECONDS,
            self._board.bounds.contact_seconds - CONTACT_MARGIN_SECONDS,
        )

    def _update_directory(self) -> None:
        served_since = min(
            self._served_since_by_peer.values(), default=float("inf")
        )
        self._board.directory.lapse_window_end = max(
            min(self._window_end, served_since + self._window()),
            self._restored_until,
        )
