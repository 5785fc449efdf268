"""What routers tell each other, as CBOR."""

import cbor2
import msgspec

from nutmeglift import errors


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """Our own work in flight on one backend server."""

    address: str
    requests: int
    firsts: int
    token_layers: float


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that we leave out."""

    address: str
    server: str
    born: int
    reason: str


class PaceRow(msgspec.Struct, array_like=True, frozen=True):
    """How slow a runner was, and how long ago that was read."""

    address: str
    pace: float
    age: float


class MoveRow(msgspec.Struct, array_like=True, frozen=True):
    """A runner that the sender, as planner, ordered to hold other layers.

    Attributes:
        server: its id.
        born: which life of it.
        start: first layer that it goes on serving meanwhile.
        end: the layer after the last of these.
    """

    server: str
    born: int
    start: int
    end: int


class BudgetRow(msgspec.Struct, array_like=True, frozen=True):
    """What the sender counted for a service's retry budget in its window."""

    service: str
    requests: int
    repeats: int


class PeerReport(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """One router's state, sent several times a second.

    Attributes:
        vm: the sender.
        sequence: rises with every report to this peer.
        echo: the last sequence received from this peer; 0 for none.
        generation: the sender's configuration; 0 for none.
        confirmation_age: age of its confirmation in seconds when sent;
            negative for none.
        store_age: age of the sender's view of the store, in seconds;
            negative for none, and where the store turns the sender away.
        store_revision: the last change in that view; negative for none.
        coverage_in: seconds until missing layers are loaded; 0 if none are.
        loads: work in flight that the sender itself dispatched.
        suspects: backend servers that the sender leaves out.
        paces: runners that the sender found slow.
        fence: the number under which the sender plans; 0 if it does not.
        moves: the moves under way, where it does.
        budgets: what it counted for the services' retry budgets.
    """

    vm: str
    sequence: int
    echo: int
    generation: int
    confirmation_age: float
    store_age: float
    store_revision: int
    coverage_in: float
    loads: list[LoadRow]
    suspects: list[SuspectRow]
    paces: list[PaceRow]
    fence: int
    moves: list[MoveRow]
    budgets: list[BudgetRow]


class EntryRow(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the store."""

    key: str
    value: bytes
    revision: int


class CatalogCopy(msgspec.Struct, array_like=True, frozen=True, tag="catalog"):
    """The configuration, for a router that has an older one."""

    entry: EntryRow


class ServersCopy(msgspec.Struct, array_like=True, frozen=True, tag="servers"):
    """All backend servers, for a router whose view is older.

    Attributes:
        age: age of the sender's view, in seconds.
        entries: the entries.
    """

    age: float
    entries: list[EntryRow]


class ChangeRow(msgspec.Struct, array_like=True, frozen=True):
    """One change of the store; a configuration comes without its value."""

    key: str
    value: bytes
    revision: int
    removed: bool


class Changes(msgspec.Struct, array_like=True, frozen=True, tag="changes"):
    """Changes of the store that the planner saw.

    Attributes:
        after: the last change before them.
        rows: in order.
    """

    after: int
    rows: list[ChangeRow]


Message = PeerReport | CatalogCopy | ServersCopy | Changes
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Four times the largest value of the store."""


def encode(message: Message) -> bytes:
    """Returns a message's bytes."""
    raw: bytes = cbor2.dumps(
        msgspec.to_builtins(message, builtin_types=(bytes,))
    )
    return raw


def decode(raw: bytes) -> Message:
    """Decodes and checks a message.

    Raises:
        errors.MalformedMessageError: it is none.
    """
    try:
        message: Message = msgspec.convert(cbor2.loads(raw), Message)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise errors.MalformedMessageError(str(error)) from error
    return message
