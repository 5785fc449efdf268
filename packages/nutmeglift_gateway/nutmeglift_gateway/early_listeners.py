"""Opens a router's ports before the rest of the program is loaded.

Loading takes some tenths of a second of processor time. Connections to a closed
port are refused meanwhile, and most callers try only twice; connections to an
open port wait until the router serves them. For this reason, this module
imports little.
"""

from collections.abc import Mapping
import socket

import yaml

LISTEN_BACKLOG = 1024
"""Number of new connections that may wait to be accepted. If the queue is full,
further callers are delayed by seconds."""

Listeners = Mapping[str, socket.socket]
"""Listening sockets by address."""


def open_early(path: str) -> Listeners:
    """Opens the ports for callers and for the platform's checks.

    An error in the settings or in an address only leaves a port closed here; it
    is reported when the settings are read completely.

    Args:
        path: the settings file.

    Returns:
        The sockets that could be opened, by address.
    """
    opened: dict[str, socket.socket] = {}
    for address in _addresses(path):
        try:
            opened[address] = open_listener(address)
        except (OSError, ValueError):
            # The router tries again later, and reports the error.
            continue
    return opened


def open_listener(address: str) -> socket.socket:
    """Opens a listening socket.

    Args:
        address: IP address and port.

    Raises:
        OSError: the address is in use, or does not belong to this VM.
        ValueError: the text is not a valid address.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except OverflowError as error:
        listener.close()
        raise ValueError(address) from error
    except (OSError, ValueError):
        listener.close()
        raise
    return listener


def _addresses(path: str) -> list[str]:
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
    except (OSError, UnicodeDecodeError, yaml.YAMLError):
        return []
    listen = document.get("listen") if isinstance(document, dict) else None
    if not isinstance(listen, dict):
        return []
    wanted = (listen.get("callers"), listen.get("readiness"))
    return [address for address in wanted if isinstance(address, str)]
