"""Restarts controllers that end with an unexpected error."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
import traceback
from typing import Any

from nutmeglift import retry
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import store_callers

FIRST_DELAY_SECONDS = 0.1
"""A controller that is missing for longer than the interval between two of its
steps delays the requests that depend on it."""
MAX_DELAY_SECONDS = 2.0
RECOVERED_AFTER_SECONDS = 10.0
"""A controller that ran for this long is restarted with the first delay."""


async def supervise(
    name: str,
    run: Callable[[], Coroutine[Any, Any, None]],
    log: decision_log.DecisionLog,
    rng: random.Random,
    on_failure: Callable[[str], None] = lambda name: None,
) -> None:
    """Runs a controller until it returns, and again after each error.

    A router whose controller has ended would go on half working: without the
    store reader, it refuses all keys once its configuration is unconfirmed, and
    without the stream monitor, streams stay at lost runners.

    Args:
        name: name of the controller, for the log.
        run: starts the controller; its state survives a restart.
        log: log of decisions.
        rng: random number generator of the delays.
        on_failure: called with the name after each error.
    """
    store_callers.set_caller(name)
    backoff = retry.Backoff(
        rng, first=FIRST_DELAY_SECONDS, largest=MAX_DELAY_SECONDS
    )
    loop = asyncio.get_running_loop()
    last_detail = ""
    repeated = 0
    while True:
        started_at = loop.time()
        try:
            await run()
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            repeated = repeated + 1 if repr(error) == last_detail else 0
            last_detail = repr(error)
            on_failure(name)
            log.write(
                "controller failed",
                controller=name,
                detail=last_detail,
                repeated=repeated,
                at=f"{frame.name}, line {frame.lineno}",
            )
        else:
            return
        if loop.time() - started_at >= RECOVERED_AFTER_SECONDS:
            backoff.reset()
        await asyncio.sleep(backoff.next_seconds())
