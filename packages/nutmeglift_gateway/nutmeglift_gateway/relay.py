"""Decides which routers watch the store.

Each call to the store is billed and counts towards its rate limits; a waiting
watch counts as one call. Therefore only the planner watches the store, and
relays the changes. Another router watches the store itself while it receives no
reports from a planner that the store serves, and until it has caught up with
the planner's view. That the view lacks changes is found by its age, whoever
relays them.
"""

PLANNER_REPORT_MAX_AGE_SECONDS = 0.6
"""After two missing reports of the planner, a router starts its own watch. This
leaves it a third of the time in which a draining runner may still receive
requests."""


class Relay:
    """Tracks whether the planner relays the changes of the store."""

    def __init__(self) -> None:
        self._fresh_until = float("-inf")

    def record_report(
        self, now: float, *, live: bool, revision: int, own_revision: int
    ) -> bool:
        """Processes the state of the planner's view.

        Args:
            now: loop time in seconds.
            live: whether the planner's view follows the store.
            revision: revision of the planner's view; negative for none.
            own_revision: revision of the last change in the local view.

        Returns:
            Whether the local view is as recent as the planner's.
        """
        if not live or not 0 <= revision <= own_revision:
            return False
        self._fresh_until = now + PLANNER_REPORT_MAX_AGE_SECONDS
        return True

    def covers(self, now: float) -> bool:
        """Returns whether the planner's changes replace this router's watch."""
        return now < self._fresh_until
