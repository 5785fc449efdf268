"""Logs what reaches a router's view of the store late or not at all."""

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import freshness
from nutmeglift_gateway import store_view

LATE_CATALOG_SECONDS = 1.0
"""Time after which a configuration that is known and not in force is logged:
half of the operators' bound for a change to take effect."""


class DelayLog:
    """Logs delays of one router's view."""

    def __init__(
        self,
        view: store_view.StoreView,
        board: boards.Board,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the log.

        Args:
            view: the router's view of the store.
            board: the router's shared state.
            log: log of decisions.
        """
        self._view = view
        self._board = board
        self._log = log
        self._late_catalog_revision = freshness.NONE

    def write_late_catalog(self, *, store_down: bool) -> None:
        """Logs once if a newer configuration is not in force in time."""
        now = freshness.boot_clock()
        lag = self._view.catalog.lag
        behind_for = lag.behind_for(now)
        if (
            behind_for < LATE_CATALOG_SECONDS
            or lag.revision <= self._late_catalog_revision
        ):
            return
        self._late_catalog_revision = lag.revision
        self._log.write(
            "configuration late",
            revision=lag.revision,
            in_force=self._board.catalog_revision,
            unreadable=lag.unreadable,
            behind_for=round(behind_for, 3),
            store_down=store_down,
            confirmed_ago=round(self._board.freshness.age(now), 3),
        )

    def write_missing_changes(self, *, relayed: bool) -> None:
        """Logs that the store is listed because changes are missing."""
        age = self._view.view_age
        now = freshness.boot_clock()
        self._log.write(
            "changes missing",
            revision=self._view.revision,
            behind_for=round(age.behind_for(now), 3),
            view_age=round(age.age(now), 3),
            relayed=relayed,
        )

    def write_malformed_rows(self, vm: str, problems: list[str]) -> None:
        """Logs rows of a peer's report that were left out."""
        self._log.write(
            "peer rows malformed",
            peer=vm,
            count=len(problems),
            detail=problems[0],
        )
