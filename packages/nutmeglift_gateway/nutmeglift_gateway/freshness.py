"""Tracks the age of the last confirmation of the configuration.

A revoked API key must not be accepted later than a bound after the store has
acknowledged the revocation. A confirmation is a linearizable read. It is dated
by the time at which it was sent, on a clock that includes time in suspension.
A request that is received while the newest confirmation is younger than the
bound was sent before the bound had passed, whatever happens to it afterwards.
"""

import time

CLOCK_DRIFT_MARGIN_SECONDS = 0.2
"""Allows for clocks that drift apart within the bound."""


def boot_clock() -> float:
    """Returns seconds on the clock that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Determines whether requests with an API key may be accepted.

    Attributes:
        revocation_seconds: bound within which a revoked key has to be refused.
        confirmed_at: time at which the newest confirmation was sent, in
            seconds of the clock that includes time in suspension.
    """

    def __init__(self, revocation_seconds: float) -> None:
        """Starts without any confirmation."""
        self.revocation_seconds = revocation_seconds
        self.confirmed_at = float("-inf")

    def confirm(self, sent_at: float) -> None:
        """Records a confirmation by this router or by a peer."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def age(self, now: float) -> float:
        """Returns the age of the newest confirmation, in seconds."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Returns whether a request received now may use its key."""
        return (
            self.age(now) < self.revocation_seconds - CLOCK_DRIFT_MARGIN_SECONDS
        )
