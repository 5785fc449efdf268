"""Messages that steer: orders, caches, configuration, shares."""

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages


class Order(messages.Message, frozen=True):
    """Planner's order to a backend server.

    Attributes:
        order: identifies the order.
        fencing_number: number of the lease that gave it.
        model: model to hold.
        version: its version.
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
    """Answer to an Order; kind is None when it was carried out."""

    order: ids.RequestId
    fencing_number: ids.FencingNumber
    kind: errors.ErrorKind | None = None
    detail: str = ""


class CacheEvent(messages.Item, frozen=True):
    """A prompt prefix entered or left an engine's cache."""

    prefix: str
    stored: bool


class CacheEvents(messages.Message, frozen=True):
    """Prefix-cache events of a backend server.

    Attributes:
        first: sequence of the first event; a gap means that some were lost.
        events: consecutive events.
        complete: whether these are all prefixes now in the cache.
    """

    first: int
    events: tuple[CacheEvent, ...]
    complete: bool = False


class ConfigurationHead(messages.Message, frozen=True):
    """Names an accepted configuration.

    Attributes:
        generation: its generation.
        digest: digest of its canonical bytes.
        chunks: digests of its chunks, in order.
        apply: identifies the apply that made it.
        author: operator who applied it.
        time: seconds since the epoch, UTC.
        previous: digest of the configuration before it.
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
    """Asks a peer for its head and the chunks that the sender lacks."""

    chunks: tuple[ids.Digest, ...] = ()


class ConfigurationChunk(messages.Message, frozen=True):
    """One chunk of a configuration's canonical bytes."""

    digest: ids.Digest
    body: bytes


class AgentConfiguration(messages.Message, frozen=True):
    """Router to agent: the part of the configuration that the agent needs.

    Attributes:
        generation: generation of the configuration.
        checks_fencing_number: whether the agent's engine refuses old numbers.
        service: the plain service beside it, if any.
    """

    generation: ids.Generation
    checks_fencing_number: bool
    service: ids.ServiceId | None = None


class DrainOrder(messages.Message, frozen=True):
    """Router to an agent or router: take no new work from now on."""


class ShareDemand(messages.Message, frozen=True):
    """Router to the share owner: what accounts asked for here.

    Attributes:
        epoch: the owner's epoch that the sender knows.
        requests_by_account: requests a second asked for, by account.
        tokens_by_account: tokens a second asked for, by account.
        sequence: rises by one with every demand of the sender.
        acknowledged: sequence of the last grant that the sender took.
        wanted_requests_by_account: requests that wait now, by account.
        wanted_tokens_by_account: tokens that wait now, by account.
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
        epoch: the owner's epoch, its fencing number.
        seconds: how long the shares hold.
        requests_by_account: requests a second, by account.
        tokens_by_account: tokens a second, by account.
        sequence: sequence of the demand that it answers.
        request_credits_by_account: requests that may run at once, by account.
        token_credits_by_account: tokens that may be used at once, by account.
    """

    epoch: int
    seconds: float
    requests_by_account: dict[ids.AccountId, float]
    tokens_by_account: dict[ids.AccountId, float]
    sequence: int = 0
    request_credits_by_account: dict[ids.AccountId, float] = {}
    token_credits_by_account: dict[ids.AccountId, float] = {}
