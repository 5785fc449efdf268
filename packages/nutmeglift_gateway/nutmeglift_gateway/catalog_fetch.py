"""Decides from where a router gets a new configuration.

Load: a configuration may be large, links slow, and routers many. One router of
each failure domain reads it from the store; the others request a copy from a
router that has it, from one at a time. A router that gets none in time reads
the store itself, and one that the store does not serve requests a copy from
another failure domain.

Times are seconds of the event loop's clock.
"""

from nutmeglift import ids
from nutmeglift_gateway import board as boards

STORE_READ_DELAY_SECONDS = 0.4
"""Time for a copy from the same failure domain; a fifth of the operators' bound
for a change to take effect."""
REMOTE_COPY_DELAY_SECONDS = 0.4
"""A router's own read of the store usually ends earlier."""
COPY_TIMEOUT_SECONDS = 0.6
"""Time after which a requested copy is requested from another router."""


class CatalogFetch:
    """Chooses between the store and the other routers."""

    def __init__(self, board: boards.Board, vm: str) -> None:
        """Initializes without a known newer configuration.

        Args:
            board: the router's shared state.
            vm: this router's VM.
        """
        self._board = board
        self._vm = vm
        self._known_generation = ids.Generation(0)
        self._behind_since: float | None = None
        self._requested_at = float("-inf")

    def may_read_store(self, now: float) -> bool:
        """Returns whether to read an announced configuration from the store."""
        self._update(now)
        if self._behind_since is None:
            self._behind_since = now
        return (
            self._is_domain_reader(now)
            or now - self._behind_since >= STORE_READ_DELAY_SECONDS
        )

    def should_request(
        self, now: float, generation: ids.Generation, domain: ids.FailureDomain
    ) -> bool:
        """Returns whether to request a copy from a router, and records that.

        Args:
            now: the time.
            generation: generation of that router's configuration.
            domain: that router's failure domain.
        """
        self._update(now)
        if generation <= self._own_generation:
            return False
        if self._behind_since is None:
            self._behind_since = now
        if now - self._requested_at < COPY_TIMEOUT_SECONDS:
            return False
        if (
            domain != self._board.home
            and now - self._behind_since < REMOTE_COPY_DELAY_SECONDS
        ):
            return False
        self._requested_at = now
        return True

    @property
    def _own_generation(self) -> ids.Generation:
        catalog = self._board.catalog
        return catalog.generation if catalog else ids.Generation(0)

    def _update(self, now: float) -> None:
        """Notes whether a newer configuration has come into force."""
        if self._own_generation == self._known_generation:
            return
        self._known_generation = self._own_generation
        self._behind_since = None
        self._requested_at = float("-inf")

    def _is_domain_reader(self, now: float) -> bool:
        domain_by_router = self._board.live_peers.domain_by_name(now)
        return all(
            self._vm < router
            for router, domain in domain_by_router.items()
            if domain == self._board.home
        )
