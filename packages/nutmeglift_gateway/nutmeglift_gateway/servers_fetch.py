"""Decides from which router the backend servers' entries are copied.

Load: a router that the store does not serve, and that the planner's changes do
not reach. It requests a copy from one router at a time, in its own failure
domain if possible. The copies hold all entries, and links between failure
domains are slow.

Times are seconds of the event loop's clock.
"""

from nutmeglift import ids

COPY_INTERVAL_SECONDS = 0.5
"""A router without access to the store receives the state of draining servers
within this time, a quarter of the operators' bound."""
HOME_OFFER_TIMEOUT_SECONDS = 0.6
"""Time without a newer view in the own failure domain after which a copy is
requested from another one: two reports."""
MIN_AGE_DIFFERENCE_SECONDS = 2.6
"""Confirmations date a view of the store about once a second. A view that is
older than another by more belongs to a router that the store does not serve."""
MIN_DOWN_AGE_DIFFERENCE_SECONDS = 0.6
"""The same for a router that knows that the store does not serve it. Its view
ages by the interval of reports while it gets the planner's changes."""


class ServersFetch:
    """Chooses the peers from which copies are requested."""

    def __init__(self, home: ids.FailureDomain) -> None:
        """Initializes without a request.

        Args:
            home: this router's failure domain.
        """
        self._home = home
        self._offered_at = float("-inf")
        self._requested_at = float("-inf")

    def should_request(
        self,
        now: float,
        domain: ids.FailureDomain,
        *,
        age: float,
        own_age: float,
        is_down: bool,
    ) -> bool:
        """Returns whether to request a copy from a peer, and records that.

        Args:
            now: the time.
            domain: the peer's failure domain.
            age: age of the peer's view of the store, in seconds.
            own_age: age of this router's view.
            is_down: whether the store does not serve this router.
        """
        if own_age <= age + min_age_difference(is_down=is_down):
            return False
        if domain == self._home:
            self._offered_at = now
        elif now - self._offered_at < HOME_OFFER_TIMEOUT_SECONDS:
            return False
        if now - self._requested_at < COPY_INTERVAL_SECONDS:
            return False
        self._requested_at = now
        return True


def min_age_difference(*, is_down: bool) -> float:
    """Returns by how much a view has to be newer to be copied, in seconds.

    Args:
        is_down: whether the store does not serve the router with the older one.
    """
    return (
        MIN_DOWN_AGE_DIFFERENCE_SECONDS
        if is_down
        else MIN_AGE_DIFFERENCE_SECONDS
    )
