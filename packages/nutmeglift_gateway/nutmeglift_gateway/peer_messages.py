"""Messages between routers, encoded as CBOR."""

from typing import Any
import zlib

import cbor2
import msgspec

from nutmeglift import decoding
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import budget_rows
from nutmeglift_gateway import cbor_items
from nutmeglift_gateway import hold_off_rows
from nutmeglift_gateway import load_rows
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import suspect_rows


class PaceRow(msgspec.Struct, array_like=True, frozen=True):
    """A runner's factor on the step time, and its age in seconds."""

    address: str
    pace: float
    age: float


class MoveRow(msgspec.Struct, array_like=True, frozen=True):
    """A runner that the sender, as planner, ordered to hold other layers.

    Attributes:
        server: instance id.
        born: start time in Unix milliseconds; 0 if not reported.
        start: first layer that it continues to serve during the move.
        end: layer after the last one that it continues to serve.
    """

    server: str
    born: int
    start: int
    end: int


class PeerReport(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """One router's state, sent several times a second.

    Attributes:
        vm: VM of the sender.
        sequence: increases with every report to this peer.
        echo: last sequence number received from this peer; 0 for none.
        generation: generation of the sender's configuration; 0 for none.
        confirmation_age: age of the sender's last confirmation of the
            configuration when sent, in seconds; negative for none.
        store_age: greatest possible age of the sender's view of the store, in
            seconds; negative for none, and if the store does not serve the
            sender.
        store_revision: revision that the store had at that age; negative for
            none.
        coverage_in: seconds until uncovered layers are loaded; 0 if none are
            uncovered.
        loads: changes of the requests in flight that the sender itself
            dispatched.
        suspects: backend servers that the sender excludes.
        paces: paces of runners that the sender read recently.
        fence: fencing number under which the sender plans; 0 if it does not.
        moves: pending moves, if the sender plans.
        budgets: counts for the services' retry budgets.
        domain: the sender's failure domain.
        poison: what the sender has learned of requests that end servers.
        rejected: revision of a newer configuration that the sender read and did
            not take; 0 for none.
        digest: digest of the value of the sender's configuration.
        hold_offs: backend servers that want nothing from the sender.
        failing_for_ms: time for which the store has not served the sender;
            negative if it does.
        failed_ago_ms: time since the sender's last call that failed was sent;
            negative if the store serves it.
        watches: whether the sender watches the store, and relays the changes to
            the routers of its failure domain.
        demand: changes of the demand of the sender's callers. The rows are
            checked one by one.
    """

    vm: str
    sequence: int
    echo: int
    generation: int
    confirmation_age: float
    store_age: float
    store_revision: int
    coverage_in: float
    loads: load_rows.LoadChanges
    suspects: list[suspect_rows.SuspectRow]
    paces: list[PaceRow]
    fence: int
    moves: list[MoveRow]
    budgets: list[budget_rows.BudgetRow]
    domain: str = ""
    poison: poison_rows.PoisonReport = poison_rows.PoisonReport()
    rejected: int = 0
    digest: int = 0
    hold_offs: list[hold_off_rows.HoldOffRow] = []
    failing_for_ms: int = -1
    failed_ago_ms: int = -1
    watches: bool = False
    demand: list[Any] = []


class EntryRow(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the store."""

    key: str
    value: bytes
    revision: int


def entry_row(entry: kv.KeyValue) -> EntryRow:
    """Returns the row of an entry."""
    return EntryRow(entry.key, entry.value, entry.mod_revision)


def key_value(row: EntryRow) -> kv.KeyValue:
    """Returns the entry of a row."""
    return kv.KeyValue(row.key, row.value, ids.Revision(row.revision))


class CatalogRequest(msgspec.Struct, array_like=True, frozen=True, tag="want"):
    """Requests a copy of the configuration.

    Attributes:
        generation: generation of the sender's configuration; 0 for none.
    """

    generation: int


class CatalogCopy(msgspec.Struct, array_like=True, frozen=True, tag="catalog"):
    """The configuration, sent to a router that requested it.

    Attributes:
        entry: its entry of the store, with a compressed value.
    """

    entry: EntryRow


class ServersRequest(
    msgspec.Struct, array_like=True, frozen=True, tag="want servers"
):
    """Requests a copy of all backend servers."""


class ServersCopy(msgspec.Struct, array_like=True, frozen=True, tag="servers"):
    """All backend servers, sent to a router that requested them.

    Attributes:
        age: age of the sender's view, in seconds.
        entries: raw entries.
    """

    age: float
    entries: list[EntryRow]


class ChangeRow(msgspec.Struct, array_like=True, frozen=True):
    """One change of the store; a configuration has no value."""

    key: str
    value: bytes
    revision: int
    removed: bool


class Changes(msgspec.Struct, array_like=True, frozen=True, tag="changes"):
    """Changes of the store, relayed by a router that watches it.

    Attributes:
        after: revision of the last change before them.
        rows: changes in order.
    """

    after: int
    rows: list[ChangeRow]


Message = (
    PeerReport
    | CatalogRequest
    | CatalogCopy
    | ServersRequest
    | ServersCopy
    | Changes
)
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Four times the largest value that the store accepts."""


MAX_NUMBER = 1e9
"""Limits ages, times and paces; ages are at most a billion seconds."""
MAX_VALUE_BYTES = MAX_MESSAGE_BYTES
"""Limits a decompressed value."""
COMPRESSION_LEVEL = 1
"""The fastest: configurations repeat the same few fields."""


def compress(value: bytes) -> bytes:
    """Returns a compressed value of an entry."""
    return zlib.compress(value, COMPRESSION_LEVEL)


def decompress(raw: bytes) -> bytes:
    """Returns the value that was compressed.

    Raises:
        errors.MalformedMessageError: the bytes are no complete compressed
            value, or the value is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(raw, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise errors.MalformedMessageError(f"compressed: {error}") from error
    if not decompressor.eof:
        raise errors.MalformedMessageError(
            f"the value is cut short or exceeds {MAX_VALUE_BYTES} bytes"
        )
    return value


def encode(message: Message) -> bytes:
    """Encodes a message."""
    raw: bytes = cbor2.dumps(
        msgspec.to_builtins(message, builtin_types=(bytes,))
    )
    return raw


def decode(raw: bytes) -> Message:
    """Decodes and validates a message.

    Raises:
        errors.MalformedMessageError: the bytes are not a valid message.
    """
    cbor_items.check(raw)
    return decoding.convert_cbor(raw, _convert)


def _convert(found: object) -> Message:
    message: Message = msgspec.convert(found, Message)
    if isinstance(message, PeerReport):
        _check_numbers(message)
    return message


def _check_numbers(report: PeerReport) -> None:
    """Raises ValueError for numbers that can't be computed with."""
    numbers = [
        report.confirmation_age,
        report.store_age,
        report.coverage_in,
        report.failing_for_ms,
        report.failed_ago_ms,
    ]
    numbers += [value for row in report.paces for value in (row.pace, row.age)]
    if not all(abs(number) <= MAX_NUMBER for number in numbers):
        raise ValueError("a number is out of range")
