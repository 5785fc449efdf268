"""Backend servers that asked this router to send nothing for a time.

A server that turns a request away may name a time in which it wants nothing
more from this router. It is not used for new requests meanwhile and gets no
status check, but it is sound: it keeps its layers and its running requests.
Other routers learn of it as a hint, since the server has not asked them.
"""

import re

from nutmeglift import errors
from nutmeglift_gateway import directory

MAX_SECONDS = 60.0
"""Limits a time, so that a malformed response costs no server for long."""
MAX_ROW_COUNT = 256
"""Limits the servers in a report to another router."""
MAX_MALFORMED_COUNT = 1024
"""Lifetimes that are remembered because their malformed value was logged."""

_SECONDS = re.compile(rb"[0-9]+(\.[0-9]+)?", re.ASCII)

Lifetime = tuple[str, int]
"""Instance id and start time of a server."""


def parse_seconds(raw: bytes) -> float:
    """Returns a time that a server names, in seconds, bounded.

    Args:
        raw: value of the header; whole seconds or with a fraction.

    Raises:
        errors.MalformedMessageError: the value is no such number.
    """
    value = raw.strip()
    if _SECONDS.fullmatch(value) is None:
        raise errors.MalformedMessageError("expected a number of seconds")
    return min(float(value), MAX_SECONDS)


class HoldOffs:
    """Tracks which lifetimes of servers hold off.

    Attributes:
        version: rises whenever a server begins to hold off, or ends.
    """

    def __init__(self) -> None:
        self.version = 0
        self._until_by_lifetime: dict[Lifetime, float] = {}
        self._hinted_until_by_lifetime: dict[Lifetime, float] = {}
        self._malformed: set[Lifetime] = set()

    def record(self, now: float, lifetime: Lifetime, seconds: float) -> bool:
        """Records a time that a server has named. No time is cut short.

        Args:
            now: loop time in seconds.
            lifetime: the server.
            seconds: time for which it wants nothing.

        Returns:
            Whether it begins to hold off.
        """
        if seconds <= 0:
            return False
        known = self._until_by_lifetime.get(lifetime)
        until = now + min(seconds, MAX_SECONDS)
        self._until_by_lifetime[lifetime] = max(until, known or until)
        if known is None:
            self.version += 1
        return known is None

    def record_malformed(self, lifetime: Lifetime) -> bool:
        """Records a value that is no time; returns whether it is the first."""
        if lifetime in self._malformed:
            return False
        if len(self._malformed) >= MAX_MALFORMED_COUNT:
            self._malformed.clear()
        self._malformed.add(lifetime)
        return True

    def record_hint(
        self, now: float, lifetime: Lifetime, seconds: float
    ) -> None:
        """Records a server that holds off from another router."""
        until = now + min(seconds, MAX_SECONDS)
        known = self._hinted_until_by_lifetime.get(lifetime, until)
        self._hinted_until_by_lifetime[lifetime] = max(until, known)

    def expire(self, now: float) -> None:
        """Ends the times that are over, at a loop time in seconds."""
        for lifetime, until in list(self._until_by_lifetime.items()):
            if until <= now:
                del self._until_by_lifetime[lifetime]
                self.version += 1
        for lifetime, until in list(self._hinted_until_by_lifetime.items()):
            if until <= now:
                del self._hinted_until_by_lifetime[lifetime]

    @property
    def count(self) -> int:
        """Number of servers that hold off."""
        return len(self._until_by_lifetime)

    def holds_off(self, lifetime: Lifetime) -> bool:
        """Returns whether a server wants nothing from this router."""
        return lifetime in self._until_by_lifetime

    def is_hinted(self, lifetime: Lifetime) -> bool:
        """Returns whether a server holds off from another router."""
        return lifetime in self._hinted_until_by_lifetime

    def by_preference(
        self, servers: list[directory.Server]
    ) -> list[list[directory.Server]]:
        """Returns lists to choose from in turn; hinted servers come last."""
        if not self._hinted_until_by_lifetime:
            return [servers]
        preferred = [s for s in servers if not self.is_hinted(s.lifetime)]
        if not preferred or len(preferred) == len(servers):
            return [servers]
        return [preferred, servers]

    def until(self, lifetime: Lifetime) -> float | None:
        """Returns when a server's time ends; None if it doesn't hold off."""
        return self._until_by_lifetime.get(lifetime)

    def own(self, now: float) -> dict[Lifetime, float]:
        """Returns the seconds left by server, of those that hold off."""
        return {
            lifetime: until - now
            for lifetime, until in self._until_by_lifetime.items()
            if until > now
        }
