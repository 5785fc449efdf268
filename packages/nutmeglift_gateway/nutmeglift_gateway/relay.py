"""Decides which routers watch the store.

Each call to the store is billed and counts towards its rate limits; a waiting
watch counts as one call. Therefore only the planner watches the store, and
relays the changes to all. While the store does not serve a planner, one router
of each failure domain watches, and relays the changes to the others there.
Another router watches the store itself while it receives no reports from
either, and until it has caught up with their view. That the view lacks changes
is found by its age, whoever relays them.
"""

PLANNER_REPORT_MAX_AGE_SECONDS = 0.6
"""After two missing reports of the planner, a router starts its own watch. This
leaves it a third of the time in which a draining runner may still receive
requests."""


class Relay:
    """Tracks whether another router relays the changes of the store."""

    def __init__(self) -> None:
        self._fresh_until = float("-inf")

    def record_report(
        self, now: float, *, live: bool, revision: int, own_revision: int
    ) -> bool:
        """Processes the state of the view of a router that relays changes.

        Args:
            now: loop time in seconds.
            live: whether the router's view follows the store.
            revision: revision of the router's view; negative for none.
            own_revision: revision of the last change in the local view.

        Returns:
            Whether the local view is as recent as the router's.
        """
        if not live or not 0 <= revision <= own_revision:
            return False
        self._fresh_until = now + PLANNER_REPORT_MAX_AGE_SECONDS
        return True

    def record_listing(self, now: float) -> None:
        """Records that the local view was as recent as a planner's."""
        self._fresh_until = max(
            self._fresh_until, now + PLANNER_REPORT_MAX_AGE_SECONDS
        )

    def covers(self, now: float, delay: float = 0.0) -> bool:
        """Returns whether relayed changes replace this router's watch.

        Args:
            now: loop time in seconds.
            delay: time for which to wait for another router to relay them.
        """
        return now < self._fresh_until + delay
