"""Encodes the loads in the reports on one link between two routers.

A report names only the servers whose load has changed since the previous one,
each by its position in a table that both sides build up from the reports. The
link delivers every report once and in order, so that the two sides agree; a new
link starts with empty tables.
"""

from collections.abc import Mapping

import msgspec

from nutmeglift import errors
from nutmeglift_gateway import loads

MAX_ADDRESS_COUNT = 4096
"""A longer table is started again, without the servers that have left."""


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """The sender's own requests in flight on one backend server.

    Attributes:
        position: position of the server's address in the table.
        requests: requests whose path includes it; 0 if there are none left.
        requests_as_first: requests for which it is the first runner.
        token_layers: reserved KV cache, in tokens times layers.
        prompt_token_layers: prompts not yet processed, in tokens times layers.
    """

    position: int
    requests: int
    requests_as_first: int
    token_layers: int
    prompt_token_layers: int


class LoadChanges(msgspec.Struct, array_like=True, frozen=True):
    """Changes of the sender's loads since its previous report on the link.

    Attributes:
        start: position of the first of the new addresses. At 0 the table and
            the loads are started again.
        addresses: addresses that are appended to the table.
        rows: the servers whose load has changed.
    """

    start: int
    addresses: list[str]
    rows: list[LoadRow]


class Encoder:
    """The sending side of a link."""

    def __init__(self) -> None:
        self._position_by_address: dict[str, int] = {}
        self._sent_by_address: dict[str, LoadRow] = {}

    def encode(self, load_by_address: Mapping[str, loads.Load]) -> LoadChanges:
        """Returns the changes to send, which count as sent."""
        if len(self._position_by_address) > MAX_ADDRESS_COUNT:
            self._position_by_address = {}
            self._sent_by_address = {}
        start = len(self._position_by_address)
        addresses = [
            address
            for address in load_by_address
            if address not in self._position_by_address
        ]
        for position, address in enumerate(addresses, start):
            self._position_by_address[address] = position
        row_by_address = {
            address: self._row(address, load)
            for address, load in load_by_address.items()
        }
        ended = self._sent_by_address.keys() - row_by_address.keys()
        rows = [
            row
            for address, row in row_by_address.items()
            if self._sent_by_address.get(address) != row
        ]
        rows += [
            LoadRow(self._position_by_address[address], 0, 0, 0, 0)
            for address in sorted(ended)
        ]
        self._sent_by_address = row_by_address
        return LoadChanges(start, addresses, rows)

    def _row(self, address: str, load: loads.Load) -> LoadRow:
        return LoadRow(
            self._position_by_address[address],
            load.requests,
            load.requests_as_first,
            round(load.token_layers),
            round(load.prompt_token_layers),
        )


class Decoder:
    """The receiving side of a link."""

    def __init__(self) -> None:
        self._addresses: list[str] = []
        self._load_by_address: dict[str, loads.Load] = {}

    def decode(self, changes: LoadChanges) -> dict[str, loads.Load]:
        """Returns the sender's loads after the changes, by address.

        Raises:
            errors.MalformedMessageError: the changes don't follow the previous
                ones.
        """
        if changes.start == 0:
            self._addresses = []
            self._load_by_address = {}
        if changes.start != len(self._addresses):
            raise errors.MalformedMessageError(
                f"addresses from position {changes.start}, expected "
                f"{len(self._addresses)}"
            )
        if changes.start + len(changes.addresses) > 2 * MAX_ADDRESS_COUNT:
            raise errors.MalformedMessageError("too many addresses")
        self._addresses += changes.addresses
        for row in changes.rows:
            self._apply(row)
        return dict(self._load_by_address)

    def _apply(self, row: LoadRow) -> None:
        if not 0 <= row.position < len(self._addresses):
            raise errors.MalformedMessageError(
                f"no address at position {row.position}"
            )
        if (
            min(
                row.requests,
                row.requests_as_first,
                row.token_layers,
                row.prompt_token_layers,
            )
            < 0
        ):
            raise errors.MalformedMessageError(
                f"a negative load of {self._addresses[row.position]}"
            )
        address = self._addresses[row.position]
        if row.requests == 0:
            self._load_by_address.pop(address, None)
            return
        self._load_by_address[address] = loads.Load(
            row.requests,
            row.requests_as_first,
            row.token_layers,
            row.prompt_token_layers,
        )
