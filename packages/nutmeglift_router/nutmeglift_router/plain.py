"""Calls to plain services, the non-idempotent ones at most once."""

import asyncio
from collections.abc import Callable
import dataclasses
import secrets

import msgspec

from nutmeglift import codec
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import routing
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

REQUEST_ID_BYTES = 12
ANSWER_MARGIN_SECONDS = 2.0

FIRST_ATTEMPT = ids.Attempt(1)

Post = Callable[[ids.VmId, codec.AnyMessage], bool]
ChooseServer = Callable[[ids.ServiceId], routing.Candidate | None]


@dataclasses.dataclass(frozen=True)
class PlainCallRequest:
    """A checked call.

    Attributes:
        account: the caller's account.
        service: the service.
        call: the declared call that it is.
        method: HTTP method.
        path: path with query.
        headers: headers to pass on.
        body: body.
        key: idempotency key, or None.
    """

    account: declaration.ClientAccount
    service: declaration.Service
    call: declaration.Call
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: ids.IdempotencyKey | None


def find_call(
    service: declaration.Service, method: str, path: str
) -> declaration.Call | None:
    """Returns the declared call that a method and path are."""
    for call in service.calls:
        if call.method != method:
            continue
        if call.path == path:
            return call
        if call.path.endswith("*") and path.startswith(call.path[:-1]):
            return call
    return None


class PlainController:
    """Runs the calls to plain services."""

    def __init__(
        self,
        *,
        store: kv.BaseKv,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        choose: ChooseServer,
        post: Post,
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._choose = choose
        self._post = post
        self._waiting: dict[
            ids.RequestId, asyncio.Future[plain_messages.PlainOutcome]
        ] = {}

    @property
    def in_flight(self) -> int:
        """Number of calls that wait for their outcome."""
        return len(self._waiting)

    async def call(
        self, request: PlainCallRequest
    ) -> plain_messages.PlainOutcome:
        """Runs a call.

        Raises:
            errors.NutmegError: there is no answer; the error tells whether
                the call ran.
        """
        server = self._choose(request.service.id)
        if server is None:
            raise errors.RefusedError(
                f"no backend server runs {request.service.id}",
                kind=errors.ErrorKind.NO_BACKEND,
                retry_after=1.0,
            )
        name = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        if request.call.idempotent:
            return await self._dispatch(name, request, server, None)
        return await self._call_once(name, request, server)

    def take_outcome(self, outcome: plain_messages.PlainOutcome) -> None:
        """Takes an outcome from an agent."""
        waiting = self._waiting.get(outcome.request)
        if waiting is not None and not waiting.done():
            waiting.set_result(outcome)

    async def _call_once(
        self,
        name: ids.RequestId,
        request: PlainCallRequest,
        server: routing.Candidate,
    ) -> plain_messages.PlainOutcome:
        if request.key is None:
            raise errors.RefusedError(
                "a non-idempotent call needs an Idempotency-Key",
                kind=errors.ErrorKind.IDEMPOTENCY_KEY_MISSING,
            )
        digest = ledger.claim_digest(
            request.account.id, request.service.id, request.key
        )
        claim = ledger.Claim(
            states.ClaimState.CLAIMED,
            name,
            FIRST_ATTEMPT,
            ledger.body_digest(request.method, request.path, request.body),
            server.vm,
            server.incarnation,
            server.address,
            self._clock.utc(),
        )
        key = ledger.CLAIM_PREFIX + digest
        result = await self._store.txn(
            [kv.Compare(key, kv.NEVER_WRITTEN)],
            [kv.Put(key, codec.encode(claim))],
            [kv.Get(key)],
        )
        if not result.succeeded:
            found = codec.decode_as(result.found[0][0].value, ledger.Claim)
            return _answer_repeat(found, claim)
        outcome = await self._dispatch(name, request, server, digest)
        done = msgspec.structs.replace(
            claim, state=states.ClaimState.DONE, outcome=outcome
        )
        await self._store.txn([], [kv.Put(key, codec.encode(done))])
        return outcome

    async def _dispatch(
        self,
        name: ids.RequestId,
        request: PlainCallRequest,
        server: routing.Candidate,
        claim: ids.Digest | None,
    ) -> plain_messages.PlainOutcome:
        call = plain_messages.PlainCall(
            name,
            FIRST_ATTEMPT,
            request.service.id,
            server.incarnation,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.call.idempotent,
            request.call.timeout_seconds,
            claim,
        )
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[plain_messages.PlainOutcome] = (
            loop.create_future()
        )
        self._waiting[name] = waiting
        try:
            if not self._post(server.vm, call):
                raise errors.RefusedError(
                    "the agent is not connected",
                    kind=errors.ErrorKind.NO_BACKEND,
                )
            timeout = request.call.timeout_seconds + ANSWER_MARGIN_SECONDS
            outcome = await asyncio.wait_for(waiting, timeout)
        except TimeoutError as error:
            raise errors.OutcomeUnknownError("no outcome in time") from error
        finally:
            del self._waiting[name]
        if outcome.kind is not None:
            raise errors.NutmegError(
                outcome.detail, kind=outcome.kind, ran=outcome.ran
            )
        return outcome


def _answer_repeat(
    found: ledger.Claim, wanted: ledger.Claim
) -> plain_messages.PlainOutcome:
    if found.body_digest != wanted.body_digest:
        raise errors.RefusedError(
            "the idempotency key was used for another call",
            kind=errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
        )
    if found.outcome is None:
        raise errors.RefusedError(
            "a call with this key is in progress",
            kind=errors.ErrorKind.IN_PROGRESS,
        )
    return found.outcome
