"""Keeps the router's configuration in force."""

import logging

from nutmeglift import blackboard
from nutmeglift import configuration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_router import entries
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

READ_INTERVAL_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class ConfigurationController:
    """Follows the accepted configuration."""

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
    ) -> None:
        self._board = board
        self._store = store
        self._clock = clock
        self._metrics = metrics

    @property
    def generation(self) -> ids.Generation:
        """Generation of the configuration in force; 0 for none."""
        return self._board.read(entries.CONFIGURATION).head.generation

    def check_in_force(self) -> None:
        """Checks that new work may be done by this configuration.

        Raises:
            errors.RefusedError: there is none, or it may be out of date.
        """
        if self.generation == 0:
            raise errors.RefusedError(
                "no configuration is in force yet",
                kind=errors.ErrorKind.CONFIGURATION_STALE,
                retry_after=1.0,
            )

    async def run(self) -> None:
        """Follows the key-value service for ever."""
        while True:
            await self._read()
            await self._clock.sleep(READ_INTERVAL_SECONDS)

    async def _read(self) -> None:
        try:
            head, declared = await configuration.read(self._store)
        except errors.NutmegError:
            self._metrics.count("configuration.read_failed")
            return
        if head.generation <= self.generation:
            return
        self._board.write(
            entries.CONFIGURATION,
            entries.ConfigurationInForce(head, declared),
            blackboard.Controller.CONFIGURATION,
        )
        self._metrics.gauge("configuration.generation", head.generation)
        _logger.info(
            "configuration in force", extra={"generation": head.generation}
        )
