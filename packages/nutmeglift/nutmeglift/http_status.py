"""Tells which statuses a response can have (RFC 9110, section 15)."""

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def is_valid(status: int) -> bool:
    """Returns whether HTTP has a class of such statuses.

    A status of a class without meaning of its own is valid.
    """
    return MIN_STATUS <= status <= MAX_STATUS


def is_final(status: int) -> bool:
    """Returns whether a response with it ends an exchange.

    Interim responses come before the final one.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS
