"""Messages between our own processes: connections and pipelines."""

import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import states

PROTOCOL_VERSION = 1


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
        resume: from a router, the sequence of the last token frame that it
            received; from an agent, of the last one that it made for that
            router.
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


class LoadReport(Item, frozen=True):
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


class Heartbeat(Message, frozen=True, omit_defaults=True):
    """Sent by both ends at the heartbeat interval.

    Attributes:
        sequence: rises by one.
        generation: generation of the configuration in force at the sender.
        leaving: whether the sender takes no new work any more.
        fencing_number: highest fencing number that the sender knows.
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
        alone: whether the stages after it are open already.
    """

    start: StartAttempt
    stage: int
    positions: int
    alone: bool = False


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


class HeldAttempt(Item, frozen=True):
    """An attempt that an agent has a stage of.

    Attributes:
        request: the request.
        attempt: its attempt.
    """

    request: ids.RequestId
    attempt: ids.Attempt


class AttemptsHeld(Message, frozen=True):
    """Agent to router: attempts that it has a stage of.

    First on each connection it names all that go on. What was sent on the
    connection before may be lost: the router recovers its attempts that are
    missing, and cancels those that it does not know. Later messages name
    those that ran nothing for a while, for the router to cancel if unknown.
    """

    attempts: tuple[HeldAttempt, ...]


class CancelAttempt(Message, frozen=True):
    """Ends an attempt and every earlier one of the request."""

    request: ids.RequestId
    attempt: ids.Attempt


class ReplaceStage(Message, frozen=True):
    """Router to agents: a stage of a running attempt has a replacement.

    The agent before the replaced stage sends its kept hidden states again to
    the replacement; the agents of other stages go on with what they have. A
    replaced first stage gets this message itself, with all tokens.

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
