"""Messages between nutmeglift's own processes."""

from typing import TypeVar

import cbor2
import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import states

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024


class Message(msgspec.Struct, frozen=True, tag=True, tag_field="t"):
    """Base of all messages."""


class Item(msgspec.Struct, frozen=True, array_like=True):
    """Base of what batched messages hold many of."""


class Stage(Item, frozen=True):
    """One stage of a request's pipeline.

    Attributes:
        vm: VM of the backend server.
        address: "ip:port" of its agent.
        incarnation: the agent's incarnation that was chosen.
        first_layer: first layer that it runs.
        end_layer: one past the last layer that it runs.
    """

    vm: ids.VmId
    address: str
    incarnation: ids.Incarnation
    first_layer: int
    end_layer: int


class Pipeline(Item, frozen=True):
    """The stages that a request's attempt runs through, in order."""

    model: ids.ModelId
    version: ids.VersionId
    adapter: ids.AdapterId | None
    stages: tuple[Stage, ...]


class Hello(Message, frozen=True):
    """First message on a connection, in both directions.

    Attributes:
        protocol: PROTOCOL_VERSION of the sender.
        role: which binary sends.
        vm: its VM.
        incarnation: its incarnation.
        failure_domain: where it runs.
        generation: generation of the configuration in force there.
        leaving: whether it takes no new work any more.
        fencing_number: highest fencing number that it knows.
        proof: proof of the shared key between processes, over the nonce that
            the peer sent; empty in the first Hello.
        nonce: random bytes for the peer's proof.
        resume: on a reopened connection, the last frame sequence received.
    """

    protocol: int
    role: states.ProcessRole
    vm: ids.VmId
    incarnation: ids.Incarnation
    failure_domain: ids.FailureDomain
    generation: ids.Generation = ids.Generation(0)
    leaving: bool = False
    fencing_number: ids.FencingNumber = ids.FencingNumber(0)
    proof: bytes = b""
    nonce: bytes = b""
    resume: int = 0


class LoadReport(Message, frozen=True):
    """Load of a backend server as its engine last published it.

    Attributes:
        running: sequences in the engine's batch.
        waiting: sequences queued before the engine.
        step_seconds: duration of the last steps, averaged.
        tokens_per_second: positions run a second.
        free_cache_tokens: positions for which KV cache is free.
        age_seconds: age of these values when they were sent.
    """

    running: int
    waiting: int
    step_seconds: float
    tokens_per_second: float
    free_cache_tokens: int
    age_seconds: float


class Heartbeat(Message, frozen=True):
    """Sent by both ends at the heartbeat interval.

    Attributes:
        sequence: rises by one.
        generation: generation of the configuration in force at the sender.
        leaving: whether the sender takes no new work any more.
        fencing_number: highest fencing number that the sender knows.
        load: from agents, the engine's last load report.
    """

    sequence: int
    generation: ids.Generation
    leaving: bool = False
    fencing_number: ids.FencingNumber = ids.FencingNumber(0)
    load: LoadReport | None = None


class Leaving(Message, frozen=True):
    """The sender refuses new work from now on."""


class StartAttempt(Message, frozen=True):
    """Router to the first stage's agent: run a request through a pipeline.

    Attributes:
        request: the request.
        attempt: its attempt.
        router: VM of the router that gets the tokens.
        pipeline: the stages.
        tokens: prompt and, in a later attempt, the tokens released so far.
        max_tokens: how many further tokens to generate.
        first_sequence: sequence of the first token to generate.
        priority: higher runs first.
        deadline_seconds: time left to the caller's deadline, 0 for none.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    router: ids.VmId
    pipeline: Pipeline
    tokens: tuple[int, ...]
    max_tokens: int
    first_sequence: int = 0
    priority: int = 0
    deadline_seconds: float = 0.0


class Hop(Item, frozen=True):
    """Hidden states of consecutive positions, for the next stage.

    Attributes:
        request: the request.
        attempt: its attempt.
        position: first position.
        hidden: one hidden state for each position, shape (positions,).
        first_layer: first layer that has to run on them.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    position: int
    hidden: tuple[int, ...]
    first_layer: int


class OpenStage(Message, frozen=True):
    """Agent to the next stage's agent, ahead of an attempt's first hop.

    Attributes:
        start: the router's request, with the prompt tokens left out.
        stage: index of the receiver's stage.
        positions: number of prompt positions.
    """

    start: StartAttempt
    stage: int
    positions: int


class HopFrame(Message, frozen=True):
    """Hops of one engine step that go to the same agent."""

    hops: tuple[Hop, ...]


class NextToken(Item, frozen=True):
    """A sampled token, on its way to the first stage.

    Attributes:
        request: the request.
        attempt: its attempt.
        position: position that the token takes.
        token: the token.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    position: int
    token: int


class NextTokenFrame(Message, frozen=True):
    """Tokens of one engine step of a last stage for the same first stage."""

    tokens: tuple[NextToken, ...]


class TokenItem(Item, frozen=True):
    """Generated tokens of one attempt, for the router.

    Attributes:
        request: the request.
        attempt: its attempt.
        sequence: sequence of the first token, from 0 in each request.
        tokens: the tokens.
        texts: their texts, one each.
        finish: why the stream ended, with its last tokens.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    sequence: int
    tokens: tuple[int, ...]
    texts: tuple[str, ...]
    finish: states.FinishReason | None = None


class TokenFrame(Message, frozen=True):
    """Tokens of one engine step that go to the same router.

    Attributes:
        sequence: rises by one on each agent's frames to this router.
        items: the tokens.
    """

    sequence: int
    items: tuple[TokenItem, ...]


class FrameAcknowledged(Message, frozen=True):
    """Router to agent: every token frame up to a sequence has arrived."""

    sequence: int


class AttemptFailed(Message, frozen=True):
    """An attempt ended without its answer.

    Attributes:
        request: the request.
        attempt: its attempt.
        kind: why.
        detail: what happened, for the logs.
        ran: NOT_RUN when no layer ran for it at the sender.
        vm: the VM at fault, where known.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    kind: errors.ErrorKind
    detail: str
    ran: states.Ran
    vm: ids.VmId | None = None


class CancelAttempt(Message, frozen=True):
    """Ends an attempt and every earlier one of the request."""

    request: ids.RequestId
    attempt: ids.Attempt


class ReplaceStage(Message, frozen=True):
    """Router to agents: a stage of a running attempt has a replacement.

    The agent before the replaced stage sends its kept hidden states again to
    the replacement; the agents of other stages go on with what they have.

    Attributes:
        start: the attempt with its new pipeline and a higher attempt number.
        replaced: the attempt that it continues.
        stage: index of the replaced stage.
        receiver: index of the receiver's stage.
    """

    start: StartAttempt
    replaced: ids.Attempt
    stage: int
    receiver: int


class PlainCall(Message, frozen=True):
    """Router to agent: call the plain service beside it.

    Attributes:
        request: the request.
        attempt: its attempt.
        service: the declared service.
        incarnation: the incarnation that may run it; any other refuses.
        method: HTTP method.
        path: path with query.
        headers: headers to pass on.
        body: body.
        idempotent: whether the call may be repeated.
        timeout_seconds: longest wait for the backend server.
        claim: identifies account and key for a non-idempotent call.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    service: ids.ServiceId
    incarnation: ids.Incarnation
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    timeout_seconds: float
    claim: ids.Digest | None = None


class PlainOutcome(Message, frozen=True):
    """Outcome of a plain call.

    Attributes:
        request: the request.
        attempt: its attempt.
        ran: whether the backend server executed it.
        status: HTTP status; 0 when there was no answer.
        headers: headers to pass back.
        body: body.
        kind: error kind when there was no answer.
        detail: what happened, for the logs.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    ran: states.Ran
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    kind: errors.ErrorKind | None = None
    detail: str = ""


class AttemptQuery(Message, frozen=True):
    """Router to agent: what became of an attempt? Fences it if unseen."""

    request: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation


class AttemptStatus(Message, frozen=True):
    """Answer to an AttemptQuery.

    Attributes:
        request: the request.
        attempt: its attempt.
        incarnation: the incarnation that answers.
        state: state of the attempt, or None when another incarnation was
            asked for and this one can't know.
        outcome: the outcome of an attempt that is done.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation
    state: states.AttemptState | None
    outcome: PlainOutcome | None = None


class Order(Message, frozen=True):
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


class OrderResult(Message, frozen=True):
    """Answer to an Order; kind is None when it was carried out."""

    order: ids.RequestId
    fencing_number: ids.FencingNumber
    kind: errors.ErrorKind | None = None
    detail: str = ""


class CacheEvent(Item, frozen=True):
    """A prompt prefix entered or left an engine's cache."""

    prefix: str
    stored: bool


class CacheEvents(Message, frozen=True):
    """Prefix-cache events of a backend server.

    Attributes:
        first: sequence of the first event; a gap means that some were lost.
        events: consecutive events.
        complete: whether these are all prefixes now in the cache.
    """

    first: int
    events: tuple[CacheEvent, ...]
    complete: bool = False


class ConfigurationHead(Message, frozen=True):
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


class ConfigurationWanted(Message, frozen=True):
    """Asks a peer for its head and the chunks that the sender lacks."""

    chunks: tuple[ids.Digest, ...] = ()


class ConfigurationChunk(Message, frozen=True):
    """One chunk of a configuration's canonical bytes."""

    digest: ids.Digest
    body: bytes


class AgentConfiguration(Message, frozen=True):
    """Router to agent: the part of the configuration that the agent needs.

    Attributes:
        generation: generation of the configuration.
        checks_fencing_number: whether the agent's engine refuses old numbers.
        service: the plain service beside it, if any.
    """

    generation: ids.Generation
    checks_fencing_number: bool
    service: ids.ServiceId | None = None


class PeerShares(Message, frozen=True):
    """Router to router: demand for and use of account limits.

    Attributes:
        epoch: epoch of the share owner.
        demand_by_account: requests a second asked for, by account.
    """

    epoch: int
    demand_by_account: dict[ids.AccountId, float]


AnyMessage = (
    Hello
    | Heartbeat
    | Leaving
    | StartAttempt
    | OpenStage
    | HopFrame
    | NextTokenFrame
    | TokenFrame
    | FrameAcknowledged
    | AttemptFailed
    | CancelAttempt
    | ReplaceStage
    | PlainCall
    | PlainOutcome
    | AttemptQuery
    | AttemptStatus
    | Order
    | OrderResult
    | CacheEvents
    | ConfigurationHead
    | ConfigurationWanted
    | ConfigurationChunk
    | AgentConfiguration
    | PeerShares
)

S = TypeVar("S", bound=msgspec.Struct)


def encode(message: msgspec.Struct) -> bytes:
    """Encodes a message or another typed structure as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(frame: bytes) -> AnyMessage:
    """Decodes a message.

    Raises:
        errors.MalformedMessageError: it is too large, not CBOR, or no known
            message with fields of the right types.
    """
    return _convert(frame, AnyMessage)  # type: ignore[arg-type]


def decode_as(frame: bytes, kind: type[S]) -> S:
    """Decodes a structure of a known type.

    Raises:
        errors.MalformedMessageError: as decode.
    """
    return _convert(frame, kind)


def _convert(frame: bytes, kind: type[S]) -> S:
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.MalformedMessageError(
            f"a frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"
        )
    try:
        return msgspec.convert(cbor2.loads(frame), kind)
    except (cbor2.CBORError, msgspec.ValidationError, ValueError) as error:
        raise errors.MalformedMessageError(str(error)) from error
    except (RecursionError, MemoryError, OverflowError, TypeError) as error:
        raise errors.MalformedMessageError(type(error).__name__) from error
