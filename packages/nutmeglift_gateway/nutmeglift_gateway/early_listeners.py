"""Opens a router's ports before the rest of it is loaded.

Loading takes some tenths of a second of processor time. A port that is closed
meanwhile turns callers away, and most of them try just twice; on an open one
they wait for the router that is about to serve them. This module imports
little for that reason.
"""

from collections.abc import Mapping
import socket

import yaml

LISTEN_BACKLOG = 1024
"""New connections that wait for the loop; a full queue costs seconds."""

Listeners = Mapping[str, socket.socket]
"""Listening sockets by address."""


def open_early(path: str) -> Listeners:
    """Opens the ports for callers and for the platform's checks.

    What is wrong with the settings, or with an address, is told when they are
    read in full; until then it only leaves a port closed.

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
            # The router opens it again, and tells why it can't.
            continue
    return opened


def open_listener(address: str) -> socket.socket:
    """Opens a listening socket.

    Args:
        address: IP number and port.

    Raises:
        OSError: it is taken, or none of this VM.
        ValueError: it is no address.
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
