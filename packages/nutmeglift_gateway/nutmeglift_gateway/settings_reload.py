"""Reads a settings file that may be being written."""

import asyncio
from collections.abc import Callable

from nutmeglift import errors
from nutmeglift_gateway import settings

SETTLE_SECONDS = 0.1
"""Interval between two reads that have to agree. The beginning of a file may be
valid by itself, with defaults in place of what has not been written yet."""
MAX_READ_COUNT = 20


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
