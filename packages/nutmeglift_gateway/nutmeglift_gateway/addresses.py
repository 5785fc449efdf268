"""Checks addresses that other programs wrote."""

MAX_PORT = 65535


def is_header_value(text: str) -> bool:
    """Returns whether a text can be sent as the value of a header."""
    return bool(text) and text.isascii() and text.isprintable()


def is_valid(text: str) -> bool:
    """Returns whether a text is a host and a port that can be connected to."""
    host, _, port = text.rpartition(":")
    return (
        is_header_value(host)
        and " " not in host
        and port.isascii()
        and port.isdigit()
        and 0 < int(port[: len(str(MAX_PORT)) + 1]) <= MAX_PORT
    )
