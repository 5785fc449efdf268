"""Tells which statuses a response can have (RFC 9110, section 15)."""

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def is_valid(status: int) -> bool:
    """Returns whether a status belongs to one of the five classes.

    An unassigned status is treated like the first one of its class.
    """
    return MIN_STATUS <= status <= MAX_STATUS


def is_final(status: int) -> bool:
    """Returns whether a status is valid and not that of an interim response."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS
