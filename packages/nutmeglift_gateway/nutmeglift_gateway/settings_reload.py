"""Reads settings again when they change, also while they are being written."""

import asyncio
from collections.abc import Callable

from nutmeglift import errors
from nutmeglift_gateway import background_tasks
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import settings
from nutmeglift_gateway import settings_source

SETTLE_SECONDS = 0.1
"""Interval between two reads that have to agree. The beginning of a file may be
valid by itself, with defaults in place of what has not been written yet."""
MAX_READ_COUNT = 20
CHECK_INTERVAL_SECONDS = 0.5
"""Interval of looking for a change that no signal announces. Operators' bounds
are seconds."""


async def load_settled(
    load: Callable[[], settings.Settings],
) -> settings.Settings:
    """Returns the settings once two reads in a row agree.

    Args:
        load: reads the settings.

    Raises:
        errors.SettingsError: the settings stay invalid, or keep changing.
    """
    last: settings.Settings | None = None
    problem = errors.SettingsError("the settings keep changing")
    for _ in range(MAX_READ_COUNT):
        try:
            found = load()
        except errors.SettingsError as error:
            last, problem = None, error
        else:
            if found == last:
                return found
            last = found
        await asyncio.sleep(SETTLE_SECONDS)
    raise problem


class SettingsReloader:
    """Reads the settings again on a signal, or when they have changed.

    Settings that stay invalid leave the previous ones in force.
    """

    def __init__(
        self,
        source: settings_source.BaseSettingsSource,
        apply: Callable[[settings.Settings], bool],
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes a reloader.

        Args:
            source: the settings.
            apply: brings settings into force; returns whether the bounds
                changed.
            log: log of decisions.
        """
        self._source = source
        self._apply = apply
        self._log = log
        self._background_tasks = background_tasks.BackgroundTasks(log)
        self._reloading: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Looks for changes until it is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            is_reloading = self._reloading and not self._reloading.done()
            if not is_reloading and self._source.has_changed():
                self.start()

    def start(self) -> None:
        """Starts a reload, which replaces one that still runs."""
        if self._reloading is not None:
            self._reloading.cancel()
        self._reloading = self._background_tasks.start(self._reload())

    async def _reload(self) -> None:
        try:
            found = await load_settled(self._source.load)
        except errors.SettingsError as error:
            self._log.write("settings not reloaded", detail=str(error))
            return
        changed = self._apply(found)
        self._log.write("settings reloaded", bounds_changed=changed)
