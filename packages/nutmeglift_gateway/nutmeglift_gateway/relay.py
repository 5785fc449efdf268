"""Decides who watches the store.

Each call is paid for and counts towards the store's rates, a waiting watch as
one. So the planner alone watches, and passes the changes on; another router
watches itself while it hears nothing from a planner whose view is live, and
until it has caught up with that view.
"""

PLANNER_REPORT_MAX_AGE_SECONDS = 0.6
"""Two of the planner's reports are missing: a third of the time in which a
runner that leaves may still get requests is left for a watch of our own."""


class Relay:
    """What a router knows of the planner's view of the store."""

    def __init__(self) -> None:
        self._fresh_until = float("-inf")

    def take_report(
        self, now: float, *, live: bool, revision: int, own_revision: int
    ) -> bool:
        """Takes what the planner said of its view.

        Args:
            now: seconds.
            live: whether its view follows the store.
            revision: the last change in its view.
            own_revision: the last change in ours.

        Returns:
            Whether our view is as good as the planner's.
        """
        if not live or own_revision < revision:
            return False
        self._fresh_until = now + PLANNER_REPORT_MAX_AGE_SECONDS
        return True

    def covers(self, now: float) -> bool:
        """Tells whether the planner's changes make our watch needless."""
        return now < self._fresh_until
