"""How old the confirmation of the configuration is.

A key that was taken away must not run anything later than a bound after the
store acknowledged that. A confirmation is a linearizable read; it is dated by
the time at which it was sent, on a clock that counts suspension. A request
that was received while the newest confirmation is younger than the bound was
sent before the bound was over, whatever happens to it afterwards.
"""

import time

CLOCK_DRIFT_MARGIN_SECONDS = 0.2
"""Covers clocks that run at slightly different speeds within the bound."""


def boot_clock() -> float:
    """Returns seconds on the clock that counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Tells whether requests with a key may still be taken.

    Attributes:
        bound: seconds after which a key that was taken away has to be
            refused.
        confirmed_at: when the newest confirmation was sent, in seconds of the
            clock that counts suspension.
    """

    def __init__(self, revocation_seconds: float) -> None:
        """Makes it without any confirmation."""
        self.revocation_seconds = revocation_seconds
        self.confirmed_at = float("-inf")

    def confirm(self, sent_at: float) -> None:
        """Takes a confirmation, our own or passed on by a peer."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def age(self, now: float) -> float:
        """Returns the age of the newest confirmation, in seconds."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Tells whether a request received now may use its key."""
        return (
            self.age(now) < self.revocation_seconds - CLOCK_DRIFT_MARGIN_SECONDS
        )
