"""Messages between routers and agents about connections and pipelines."""

import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import states

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, tag=True, tag_field="t"):
    """Base of all messages."""


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """Base of the structures that batched messages contain."""


class Stage(BatchItem, frozen=True):
    """One stage of a request's pipeline.

    Attributes:
        vm: VM of the backend server.
        address: "ip:port" of its agent.
        incarnation: incarnation of the agent when it was selected.
        first_layer: first layer that it runs.
        end_layer: one past the last layer that it runs.
    """

    vm: ids.VmId
    address: str
    incarnation: ids.Incarnation
    first_layer: int
    end_layer: int


class Pipeline(BatchItem, frozen=True):
    """Stages that an attempt of a request runs through, in order."""

    model: ids.ModelId
    version: ids.VersionId
    adapter: ids.AdapterId | None
    stages: tuple[Stage, ...]


class Hello(Message, frozen=True):
    """First message on a connection, in both directions.

    Attributes:
        protocol: PROTOCOL_VERSION of the sender.
        role: role of the sender.
        vm: VM of the sender.
        incarnation: incarnation of the sender.
        failure_domain: failure domain of the sender.
        generation: generation of the configuration in force at the sender.
        leaving: whether the sender no longer accepts new work.
        fencing_number: highest fencing number observed by the sender.
        proof: proof of the key shared between processes, over the nonce that
            the peer sent; empty in the first Hello.
        nonce: random bytes for the peer's proof.
        resume: from a router, the sequence number of the last token frame
            that it received; from an agent, that of the last one that it
            created for the router.
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


class LoadReport(BatchItem, frozen=True):
    """Load of a backend server as its engine last published it.

    Attributes:
        running: sequences in the engine's batch.
        waiting: sequences queued before the engine.
        step_seconds: average duration of the last steps.
        tokens_per_second: positions computed per second.
        free_cache_tokens: number of positions that fit into the free KV cache.
        age_seconds: age of the values at the time of sending.
    """

    running: int
    waiting: int
    step_seconds: float
    tokens_per_second: float
    free_cache_tokens: int
    age_seconds: float


class Heartbeat(Message, frozen=True, omit_defaults=True):
    """Sent by both ends at the heartbeat interval.

    Attributes:
        sequence: sequence number, incremented with every heartbeat.
        generation: generation of the configuration in force at the sender.
        leaving: whether the sender no longer accepts new work.
        fencing_number: highest fencing number observed by the sender.
        load: from agents, the engine's last load report.
        fencing_confirmed: from routers, whether the sender holds the lease
            that the fencing number belongs to.
    """

    sequence: int
    generation: ids.Generation
    leaving: bool = False
    fencing_number: ids.FencingNumber = ids.FencingNumber(0)
    load: LoadReport | None = None
    fencing_confirmed: bool = False


class Leaving(Message, frozen=True):
    """The sender refuses new work from now on."""


class StartAttempt(Message, frozen=True):
    """Router to the first stage's agent: run a request through a pipeline.

    Attributes:
        request: the request.
        attempt: number of the attempt.
        router: VM of the router that receives the tokens.
        pipeline: the stages to run.
        tokens: prompt and, in a later attempt, the tokens released so far.
        max_tokens: maximum number of further tokens to generate.
        first_sequence: sequence number of the first token to generate.
        priority: higher values run first.
        deadline_seconds: time left until the caller's deadline; 0 for none.
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


class Hop(BatchItem, frozen=True):
    """Hidden states of consecutive positions, for the next stage.

    Attributes:
        request: the request.
        attempt: its attempt.
        position: first position.
        hidden: one hidden state for each position, shape (positions,).
        first_layer: first layer to run on them.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    position: int
    hidden: tuple[int, ...]
    first_layer: int


class OpenStage(Message, frozen=True):
    """Agent to the next stage's agent, before the first hop of an attempt.

    Attributes:
        start: the router's request without the prompt tokens.
        stage: index of the receiver's stage.
        positions: number of prompt positions.
        alone: whether the stages after it are already open.
    """

    start: StartAttempt
    stage: int
    positions: int
    alone: bool = False


class HopFrame(Message, frozen=True):
    """Hops of one engine step for the same agent."""

    hops: tuple[Hop, ...]


class NextToken(BatchItem, frozen=True):
    """A sampled token, sent back to the first stage.

    Attributes:
        request: the request.
        attempt: its attempt.
        position: position of the token.
        token: the token.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    position: int
    token: int


class NextTokenFrame(Message, frozen=True):
    """Tokens of one engine step of a last stage for the same first stage."""

    tokens: tuple[NextToken, ...]


class TokenItem(BatchItem, frozen=True):
    """Generated tokens of one attempt, for the router.

    Attributes:
        request: the request.
        attempt: its attempt.
        sequence: sequence number of the first token, from 0 in each request.
        tokens: the tokens.
        texts: texts of the tokens, one each.
        finish: with the last tokens, the reason for which the stream ended.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    sequence: int
    tokens: tuple[int, ...]
    texts: tuple[str, ...]
    finish: states.FinishReason | None = None


class TokenFrame(Message, frozen=True):
    """Tokens of one engine step for the same router.

    Attributes:
        sequence: sequence number, incremented with every frame from the agent
            to this router.
        items: the tokens.
    """

    sequence: int
    items: tuple[TokenItem, ...]


class FrameAcknowledged(Message, frozen=True):
    """Router to agent: all token frames up to a sequence number arrived."""

    sequence: int


class AttemptFailed(Message, frozen=True):
    """An attempt failed.

    Attributes:
        request: the request.
        attempt: its attempt.
        kind: kind of the error.
        detail: description of the failure, for the logs.
        ran: NOT_RUN if no layer ran for the attempt at the sender.
        vm: the VM at fault, if known.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    kind: errors.ErrorKind
    detail: str
    ran: states.Ran
    vm: ids.VmId | None = None


class HeldAttempt(BatchItem, frozen=True):
    """An attempt of which an agent runs a stage.

    Attributes:
        request: the request.
        attempt: its attempt.
    """

    request: ids.RequestId
    attempt: ids.Attempt


class AttemptsHeld(Message, frozen=True):
    """Agent to router: attempts of which the agent runs a stage.

    The first message on each connection lists all running attempts. Since
    messages on the previous connection may have been lost, the router recovers
    its attempts that are missing and cancels listed ones that it does not
    have. Later messages list attempts that have been inactive for a while, so
    that the router cancels those that it does not have.
    """

    attempts: tuple[HeldAttempt, ...]


class CancelAttempt(Message, frozen=True):
    """Cancels an attempt and all earlier ones of the request."""

    request: ids.RequestId
    attempt: ids.Attempt


class ReplaceStage(Message, frozen=True):
    """Router to agents: a stage of a running attempt was replaced.

    The agent before the replaced stage resends its retained hidden states to
    the replacement; the agents of the other stages continue with their state.
    The replacement of a first stage receives this message, with all tokens.

    Attributes:
        start: the attempt with its new pipeline and a higher attempt number.
        replaced: the attempt that is continued.
        stage: index of the replaced stage.
        receiver: index of the receiver's stage.
    """

    start: StartAttempt
    replaced: ids.Attempt
    stage: int
    receiver: int
