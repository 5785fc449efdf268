"""Names the controllers that call the store, for the metrics."""

import contextvars

_caller = contextvars.ContextVar("store_caller", default="request")


def set_caller(name: str) -> None:
    """Names the calls of the current task, and of the tasks that it starts."""
    _caller.set(name)


def current() -> str:
    """Returns the controller on whose behalf the store is called."""
    return _caller.get()
