"""What the gateway needs from the platform that it runs on."""

import abc
import dataclasses
import enum

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import paths


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the headers that mean something to the gateway, lower case.

    Attributes:
        request_id: the caller's id of one attempt.
        deadline: milliseconds that the caller, or we, will wait.
        key: the caller's API key; never passed on.
        account: the account that holds the key; set by us.
        expected_instance: the only backend server that may run it.
        instance: which backend server answered.
        not_run: the backend server did not run the request.
        receipt: proves a backend server's answer.
        path: the runners and layers that a request passes through.
        fault: address of the runner at fault.
        tokens: number of prompt tokens and most output tokens.
        length_hint: the caller's estimate of the output tokens.
        last_event_id: a stream goes on after this event.
        priority: 0 is served first; set by us.
        expected_version: the model version wanted; not taken from callers.
        retry_after: seconds after which to come back.
    """

    request_id: bytes
    deadline: bytes
    key: bytes
    account: bytes
    expected_instance: bytes
    instance: bytes
    not_run: bytes
    receipt: bytes
    path: bytes
    fault: bytes
    tokens: bytes
    length_hint: bytes
    last_event_id: bytes
    priority: bytes
    expected_version: bytes
    retry_after: bytes


@dataclasses.dataclass(frozen=True)
class StalledRequest:
    """A request that waits for a runner on its path.

    Attributes:
        request_id: the caller's id.
        address: the runner at fault.
    """

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True)
class Report:
    """What a runner says of itself.

    Attributes:
        born: Unix milliseconds of its start; 0 where it doesn't say.
        layers: what it holds.
        orders: number of orders that it accepted.
        busy: whether an order is under way.
        pace: by how much it is slower than its kind; 1 is sound.
        stalled: requests sent to it that wait for another runner.
    """

    layers: directory.LayerRange
    orders: int
    busy: bool
    pace: float
    stalled: tuple[StalledRequest, ...]
    born: int = 0


class OrderOutcome(enum.Enum):
    """What became of an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    """It does not fit the runner's state."""
    STALE_FENCE = "stale_fence"
    NO_SUCH_REQUEST = "no_such_request"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: it may be carried out, also later."""


@dataclasses.dataclass(frozen=True)
class RedirectResult:
    """What became of an order to move a request.

    Attributes:
        outcome: the outcome.
        fault: after a conflict, address of the part that is not there or has
            no room; empty where the runner doesn't say.
    """

    outcome: OrderOutcome
    fault: str = ""


class RunnerUnavailableError(Exception):
    """A runner gave no report."""


class BaseRunners(abc.ABC):
    """Calls to the runners beside callers' requests."""

    @abc.abstractmethod
    async def report(self, address: str) -> Report:
        """Reads a runner's report.

        Raises:
            RunnerUnavailableError: it gave none.
        """

    @abc.abstractmethod
    async def place(
        self,
        server: directory.Server,
        layers: directory.LayerRange,
        fence: ids.FencingNumber,
    ) -> OrderOutcome:
        """Orders a runner to hold just these layers."""

    @abc.abstractmethod
    async def redirect(
        self, request_id: str, path: paths.Path
    ) -> RedirectResult:
        """Moves a running request to a path with the same first part."""

    @abc.abstractmethod
    def path_value(self, path: paths.Path) -> bytes:
        """Returns a path as the path header carries it."""


class UndecodableEntryError(Exception):
    """An entry of the store is none that we can use."""


class BaseSchema(abc.ABC):
    """Where the platform keeps what it tells us, and in which form.

    Attributes:
        catalog_key: key of the configuration.
        server_prefix: prefix of the backend servers' entries.
    """

    catalog_key: str
    server_prefix: str

    @abc.abstractmethod
    def decode_catalog(self, entry: kv.KeyValue) -> catalog.Catalog:
        """Decodes the configuration.

        Raises:
            UndecodableEntryError: it can't be used.
        """

    @abc.abstractmethod
    def decode_server(self, entry: kv.KeyValue) -> directory.Server:
        """Decodes a backend server's entry.

        Raises:
            UndecodableEntryError: it can't be used.
        """
