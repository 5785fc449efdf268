"""Control messages: orders, cache events, configuration and shares."""

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages


class Order(messages.Message, frozen=True):
    """Planner's order to a backend server.

    Attributes:
        order: identifies the order.
        fencing_number: fencing number of the lease of the planner.
        model: model to hold.
        version: version of the model.
        adapter: adapter to load, if any.
        first_layer: first layer to hold.
        end_layer: one past the last layer to hold.
    """

    order: ids.RequestId
    fencing_number: ids.FencingNumber
    model: ids.ModelId
    version: ids.VersionId
    adapter: ids.AdapterId | None
    first_layer: int
    end_layer: int


class OrderResult(messages.Message, frozen=True):
    """Response to an Order; kind is None if it was executed."""

    order: ids.RequestId
    fencing_number: ids.FencingNumber
    kind: errors.ErrorKind | None = None
    detail: str = ""


class CacheEvent(messages.BatchItem, frozen=True):
    """A prompt prefix entered or left an engine's cache."""

    prefix: str
    stored: bool


class CacheEvents(messages.Message, frozen=True):
    """Prefix-cache events of a backend server.

    Attributes:
        first: sequence number of the first event; a gap means lost events.
        events: consecutive events.
        complete: whether the events list all prefixes in the cache.
    """

    first: int
    events: tuple[CacheEvent, ...]
    complete: bool = False


class ConfigurationHead(messages.Message, frozen=True):
    """Head of an accepted configuration.

    Attributes:
        generation: its generation.
        digest: digest of its canonical bytes.
        chunks: digests of its chunks, in order.
        apply: identifies the apply that created it.
        author: operator who applied it.
        time: seconds since the epoch, UTC.
        previous: digest of the previous configuration.
        epoch: identifies the history that it belongs to.
    """

    generation: ids.Generation
    digest: ids.Digest
    chunks: tuple[ids.Digest, ...]
    apply: ids.ApplyId
    author: str
    time: float
    previous: ids.Digest
    epoch: str = ""


class ConfigurationWanted(messages.Message, frozen=True):
    """Requests a peer's head and the chunks that the sender lacks."""

    chunks: tuple[ids.Digest, ...] = ()


class ConfigurationChunk(messages.Message, frozen=True):
    """One chunk of a configuration's canonical bytes."""

    digest: ids.Digest
    body: bytes


class AgentConfiguration(messages.Message, frozen=True):
    """Router to agent: the part of the configuration that the agent needs.

    Attributes:
        generation: generation of the configuration.
        checks_fencing_number: whether the agent's engine refuses orders with
            an old fencing number.
        service: the plain service beside it, if any.
    """

    generation: ids.Generation
    checks_fencing_number: bool
    service: ids.ServiceId | None = None


class DrainOrder(messages.Message, frozen=True):
    """Router to an agent or router: stop accepting new work."""


class ShareDemand(messages.Message, frozen=True):
    """Router to the share owner: demand of accounts at the sender.

    Attributes:
        epoch: newest epoch of an owner observed by the sender.
        requests_by_account: demand in requests per second, by account.
        tokens_by_account: demand in tokens per second, by account.
        sequence: sequence number, incremented with every demand.
        acknowledged: sequence number of the last grant that was applied.
        wanted_requests_by_account: requests waiting for credit, by account.
        wanted_tokens_by_account: tokens waiting for credit, by account.
    """

    epoch: int
    requests_by_account: dict[ids.AccountId, float]
    tokens_by_account: dict[ids.AccountId, float]
    sequence: int = 0
    acknowledged: int = 0
    wanted_requests_by_account: dict[ids.AccountId, float] = {}
    wanted_tokens_by_account: dict[ids.AccountId, float] = {}


class ShareGrant(messages.Message, frozen=True):
    """Share owner to a router: its shares of account limits.

    Attributes:
        epoch: the owner's epoch, which is its fencing number.
        seconds: duration of the lease on the shares.
        requests_by_account: requests per second, by account.
        tokens_by_account: tokens per second, by account.
        sequence: sequence number of the demand that the grant answers.
        request_credits_by_account: requests that may run immediately, by
            account.
        token_credits_by_account: tokens that may be used immediately, by
            account.
    """

    epoch: int
    seconds: float
    requests_by_account: dict[ids.AccountId, float]
    tokens_by_account: dict[ids.AccountId, float]
    sequence: int = 0
    request_credits_by_account: dict[ids.AccountId, float] = {}
    token_credits_by_account: dict[ids.AccountId, float] = {}
