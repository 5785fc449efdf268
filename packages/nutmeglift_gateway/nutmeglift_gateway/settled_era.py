"""Tells routers that start whether the store has just come back from a copy."""

from nutmeglift import eras
from nutmeglift import errors
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import freshness
from nutmeglift_gateway import store_view


class SettledEra:
    """Writes the newest era in which all is back that the store had lost."""

    def __init__(
        self,
        store: kv.BaseKv,
        board: boards.Board,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the writer.

        Args:
            store: client of the key-value service.
            board: the router's shared state.
            log: log of decisions.
        """
        self._store = store
        self._board = board
        self._log = log

    async def record(self, stored: kv.KeyValue | None) -> None:
        """Writes the era once it has settled, if this router plans.

        A failure is logged, and says nothing of other calls.

        Args:
            stored: the entry that the store has, if any.
        """
        found = self._board.freshness
        value = b"%d" % found.era
        if (
            not self._board.fence
            or found.era == eras.NO_ERA
            or not found.is_settled(freshness.boot_clock())
            or (stored is not None and stored.value == value)
        ):
            return
        key = store_view.SETTLED_ERA_KEY
        expected = stored.mod_revision if stored else kv.NEVER_WRITTEN
        try:
            await self._store.txn(
                [kv.Compare(key, expected)], [kv.Put(key, value)]
            )
        except errors.PlatformError as error:
            self._log.write("era not recorded", detail=str(error))
