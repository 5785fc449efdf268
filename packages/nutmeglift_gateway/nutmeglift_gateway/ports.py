"""Interfaces of the gateway to the platform that it runs on."""

import abc
from collections.abc import Callable
import dataclasses
import enum

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import paths


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the headers that the gateway interprets, in lower case.

    Attributes:
        request_id: the caller's id of one attempt.
        deadline: milliseconds that the caller, or the gateway, will wait.
        key: the caller's API key; never forwarded.
        account: the account of the key; set by the gateway.
        expected_instance: the only backend server that may run the request.
        instance: the backend server that responded.
        not_run: marks that the backend server did not run the request.
        receipt: proves that a response comes from a backend server.
        path: the runners and layers that a request passes through.
        fault: address of the runner that caused a failure.
        tokens: number of prompt tokens, and greatest number of output tokens.
        length_hint: the caller's estimate of the number of output tokens.
        prompt_segments: the segments of the prompt in order, as
            comma-separated ids with their numbers of tokens.
        last_event_id: last event that was received; a stream continues after
            it.
        priority: 0 is served first; set by the gateway.
        expected_version: required model version; not accepted from callers.
        retry_after: seconds after which to retry.
        leaving: marks the responses of a backend server that leaves.
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
    prompt_segments: bytes
    last_event_id: bytes
    priority: bytes
    expected_version: bytes
    retry_after: bytes
    leaving: bytes


@dataclasses.dataclass(frozen=True)
class StalledRequest:
    """A request that waits for a runner on its path.

    Attributes:
        request_id: the caller's id of the attempt.
        address: address of the runner that it waits for.
    """

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True)
class Report:
    """A runner's report on its own state.

    Attributes:
        born: start time in Unix milliseconds; 0 if not reported.
        layers: layers that it holds.
        orders: number of orders that it accepted in this lifetime.
        busy: whether it is carrying out an order.
        pace: factor on the step time of its kind; 1 is nominal.
        stalled: requests sent to it that wait for another runner.
    """

    layers: directory.LayerRange
    orders: int
    busy: bool
    pace: float
    stalled: tuple[StalledRequest, ...]
    born: int = 0


class OrderOutcome(enum.Enum):
    """Outcome of an order to a runner."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    """The order conflicts with the runner's state."""
    STALE_FENCE = "stale_fence"
    MISDIRECTED = "misdirected"
    """Another server has the runner's address."""
    NO_SUCH_REQUEST = "no_such_request"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No response: the order may have been, or may still be, carried out."""


@dataclasses.dataclass(frozen=True)
class RedirectResult:
    """Outcome of an order to move a request to another path.

    Attributes:
        outcome: outcome of the order.
        fault: after a conflict, address of the runner that is unavailable or
            lacks capacity; empty if not reported.
    """

    outcome: OrderOutcome
    fault: str = ""


class RunnerUnavailableError(Exception):
    """A runner did not return a report."""


class BaseRunners(abc.ABC):
    """Control calls to the runners.

    Attributes:
        on_hold_off: called with the address of a runner that turned a call
            away, and the time for which it wants nothing, as received.
    """

    def __init__(self) -> None:
        self.on_hold_off: Callable[[str, bytes], None] = lambda address, raw: (
            None
        )

    @abc.abstractmethod
    async def report(self, address: str) -> Report:
        """Reads a runner's report.

        Raises:
            RunnerUnavailableError: the runner did not return a valid report.
        """

    @abc.abstractmethod
    async def place(
        self,
        server: directory.Server,
        layers: directory.LayerRange,
        fence: ids.FencingNumber,
    ) -> OrderOutcome:
        """Orders a runner to hold exactly these layers."""

    @abc.abstractmethod
    async def redirect(
        self, request_id: str, path: paths.Path
    ) -> RedirectResult:
        """Moves a running request to a path with the same first runner."""

    @abc.abstractmethod
    def path_value(self, path: paths.Path) -> bytes:
        """Returns the value of the path header for a path."""


class UndecodableEntryError(Exception):
    """An entry of the store can't be decoded."""


class BaseSchema(abc.ABC):
    """Keys and formats of the platform's entries in the store.

    Attributes:
        catalog_key: key of the configuration.
        server_prefix: key prefix of the backend servers' entries.
    """

    catalog_key: str
    server_prefix: str

    @abc.abstractmethod
    def decode_catalog(self, entry: kv.KeyValue) -> catalog.Catalog:
        """Decodes the configuration.

        Raises:
            UndecodableEntryError: the entry is invalid.
        """

    @abc.abstractmethod
    def decode_keys(self, entry: kv.KeyValue) -> frozenset[str]:
        """Decodes the API keys of a configuration that may be invalid.

        Raises:
            UndecodableEntryError: the entry has no valid list of keys.
        """

    @abc.abstractmethod
    def decode_server(self, entry: kv.KeyValue) -> directory.Server:
        """Decodes a backend server's entry.

        Raises:
            UndecodableEntryError: the entry is invalid.
        """
