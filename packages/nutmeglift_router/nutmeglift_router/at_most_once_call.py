"""Executes a non-idempotent call at most once, guarded by a claim."""

import asyncio
from collections.abc import Callable
import logging

from nutmeglift import attempt_resolution
from nutmeglift import errors
from nutmeglift import group_commit
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import routing
from nutmeglift import states
from nutmeglift_router import attempt_tracker
from nutmeglift_router import ledger_controller
from nutmeglift_router import plain_call_request
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

MAX_ATTEMPT_COUNT = 3
MAX_CLAIM_WRITE_COUNT = 4

_logger = logging.getLogger(__name__)

Choose = Callable[
    [plain_call_request.PlainCallRequest, set[ids.VmId]],
    routing.AvailableRunner | None,
]


class PendingCall:
    """A call whose caller waits for its outcome.

    Attributes:
        request: the call.
        request_id: its request id.
        digest: digest that identifies the claim of its idempotency key.
        body_digest: digest that identifies its content.
        answer: the outcome or the error for the caller.
        replayed: whether the answer is that of an earlier call.
    """

    def __init__(
        self,
        request: plain_call_request.PlainCallRequest,
        request_id: ids.RequestId,
        digest: ids.Digest,
        body_digest: ids.Digest,
    ) -> None:
        self.request = request
        self.request_id = request_id
        self.digest = digest
        self.body_digest = body_digest
        self.replayed = False
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[plain_messages.PlainOutcome] = (
            loop.create_future()
        )

    def finish(self, outcome: plain_messages.PlainOutcome) -> None:
        """Sets the caller's answer, unless it is set already."""
        if self.answer.done():
            return
        if outcome.kind is None:
            self.answer.set_result(outcome)
        else:
            error = outcome_error(outcome)
            error.replayed = self.replayed
            self.fail(error)

    def fail(self, error: errors.NutmegError) -> None:
        """Sets an error as the caller's answer, unless it is set already."""
        if not self.answer.done():
            self.answer.set_exception(error)
            # Marks the exception as retrieved; the caller may have left.
            self.answer.exception()


class CallExecution:
    """Executes one call, from its claim to its recorded outcome."""

    def __init__(
        self,
        call: PendingCall,
        *,
        ledger: ledger_controller.LedgerController,
        tracker: attempt_tracker.AttemptTracker,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        choose: Choose,
    ) -> None:
        self._call = call
        self._ledger = ledger
        self._attempt_tracker = tracker
        self._clock = clock
        self._metrics = metrics
        self._choose = choose
        self._failed_vms: set[ids.VmId] = set()
        self._last_error = no_backend_error(call.request.service.id)

    async def run(self) -> None:
        """Executes the call and sets its answer."""
        try:
            await self._run_attempts()
        except errors.NutmegError as error:
            self._metrics.count(f"ledger.refused.{error.kind.value}")
            self._call.fail(error)
        except Exception:
            _logger.exception("plain call failed")
            self._call.fail(errors.NutmegError("internal error"))
            raise
        finally:
            # Reached without an answer only if cancelled at shutdown.
            self._call.fail(
                errors.OutcomeUnknownError(
                    "the router stopped before the call ended"
                )
            )

    async def _run_attempts(self) -> None:
        stored = await self._acquire_claim(None)
        attempt = 1
        while stored is not None:
            resolution = await self._attempt_tracker.dispatch(
                stored.claim, self._make_call(stored.claim)
            )
            if not isinstance(resolution, attempt_resolution.NotRun):
                self._conclude(stored, resolution)
                return
            self._metrics.count("ledger.attempt_not_run")
            self._record_not_run(stored, resolution)
            attempt += 1
            if attempt > MAX_ATTEMPT_COUNT:
                self._ledger.write_tombstone(
                    stored.key, stored.claim, stored.revision
                )
                raise self._last_error
            stored = await self._acquire_claim(stored)

    async def _acquire_claim(
        self, previous: ledger_controller.StoredClaim | None
    ) -> ledger_controller.StoredClaim | None:
        """Claims the key; may replace a claim whose attempt will never run.

        Returns:
            The claim, or None if the caller was answered without one.
        """
        for _ in range(MAX_CLAIM_WRITE_COUNT):
            current = await self._write_claim(previous)
            if isinstance(current, ledger_controller.StoredClaim):
                if current.claim.request == self._call.request_id:
                    return current
                if not await self._may_replace(current):
                    return None
            previous = current
        raise refusal_error(ledger.in_progress_refusal())

    async def _write_claim(
        self, previous: ledger_controller.StoredClaim | None
    ) -> ledger_controller.StoredClaim | None:
        """Writes the claim.

        Returns:
            The claim that holds the key now, of this call or another, or None
            if the previous claim no longer exists.
        """
        key = ledger.claim_key(self._call.digest)
        expected = kv.NEVER_WRITTEN if previous is None else previous.revision
        server = self._choose(self._call.request, self._failed_vms)
        if server is None:
            self._abandon_claim(previous)
            raise self._last_error
        claim = self._make_claim(server, previous)
        try:
            result = await self._ledger.write(key, expected, claim)
        except errors.KvUnavailableError as error:
            self._abandon_claim(previous)
            raise _claim_error(error) from error
        except errors.KvAnswerLostError as error:
            self._ledger.write_tombstone(key, claim, expected)
            raise _claim_error(error) from error
        match result:
            case group_commit.Written(revision):
                return ledger_controller.StoredClaim(key, claim, revision)
            case group_commit.Conflict(None):
                return None
            case group_commit.Conflict(found):
                assert found is not None
                return ledger_controller.decode_stored_claim(found)

    def _abandon_claim(
        self, previous: ledger_controller.StoredClaim | None
    ) -> None:
        if previous is not None:
            self._ledger.write_tombstone(
                previous.key, previous.claim, previous.revision
            )

    async def _may_replace(self, found: ledger_controller.StoredClaim) -> bool:
        claim = found.claim
        decision = ledger.judge(
            claim, self._call.body_digest, self._clock.utc()
        )
        match decision:
            case ledger.Replace():
                return True
            case ledger.Replay(outcome):
                self._replay(outcome)
                return False
            case ledger.Refuse():
                raise refusal_error(decision)
            case ledger.Settle():
                return await self._settle(found)

    async def _settle(self, found: ledger_controller.StoredClaim) -> bool:
        self._metrics.count("ledger.settle")
        running = asyncio.Event()
        refusing = asyncio.ensure_future(self._refuse_while_running(running))
        try:
            resolution = await self._attempt_tracker.settle(
                found.claim, self._call.request.call.timeout_seconds, running
            )
        finally:
            refusing.cancel()
        if isinstance(resolution, attempt_resolution.NotRun):
            # If the caller was already answered with "in progress", nobody
            # waits for another attempt.
            if self._call.answer.done():
                self._abandon_claim(found)
                return False
            return True
        self._call.replayed = True
        self._conclude(found, resolution)
        return False

    async def _refuse_while_running(self, running: asyncio.Event) -> None:
        await running.wait()
        self._call.fail(refusal_error(ledger.in_progress_refusal()))

    def _conclude(
        self,
        stored: ledger_controller.StoredClaim,
        resolution: attempt_resolution.Resolution,
    ) -> None:
        match resolution:
            case attempt_resolution.Finished(outcome):
                self._record(stored, outcome)
            case attempt_resolution.Unknown(detail):
                self._metrics.count("ledger.unknown")
                self._call.fail(errors.OutcomeUnknownError(detail))
            case (
                attempt_resolution.StillRunning() | attempt_resolution.NotRun()
            ):
                self._call.fail(refusal_error(ledger.in_progress_refusal()))

    def _record(
        self,
        stored: ledger_controller.StoredClaim,
        outcome: plain_messages.PlainOutcome,
    ) -> None:
        self._metrics.count(f"ledger.outcome.{outcome.ran.value}")
        self._ledger.record(
            stored, ledger.complete_claim(stored.claim, outcome)
        )
        self._call.finish(outcome)

    def _replay(self, outcome: plain_messages.PlainOutcome) -> None:
        self._metrics.count("ledger.replayed")
        self._call.replayed = True
        self._call.finish(outcome)

    def _record_not_run(
        self,
        stored: ledger_controller.StoredClaim,
        resolution: attempt_resolution.NotRun,
    ) -> None:
        self._failed_vms.add(stored.claim.vm)
        self._last_error = errors.RefusedError(
            resolution.detail,
            kind=errors.ErrorKind.NO_BACKEND,
            ran=states.Ran.NOT_RUN,
            retry_after=1.0,
        )

    def _make_claim(
        self,
        server: routing.AvailableRunner,
        previous: ledger_controller.StoredClaim | None,
    ) -> ledger.Claim:
        request = self._call.request
        assert request.key is not None
        number = 1 if previous is None else previous.claim.attempt + 1
        now = self._clock.utc()
        return ledger.Claim(
            states.ClaimState.CLAIMED,
            self._call.request_id,
            ids.Attempt(number),
            self._call.body_digest,
            server.vm,
            server.incarnation,
            server.address,
            now,
            expires_at=now + request.service.key_retention_seconds,
            keyed_at=ledger.key_timestamp(request.key),
        )

    def _make_call(self, claim: ledger.Claim) -> plain_messages.PlainCall:
        return make_call(
            self._call.request,
            claim.request,
            claim.attempt,
            claim.incarnation,
            self._call.digest,
        )


def make_call(
    request: plain_call_request.PlainCallRequest,
    request_id: ids.RequestId,
    attempt: ids.Attempt,
    incarnation: ids.Incarnation,
    claim: ids.Digest | None = None,
) -> plain_messages.PlainCall:
    """Returns the message that dispatches a call to an agent."""
    return plain_messages.PlainCall(
        request_id,
        attempt,
        request.service.id,
        incarnation,
        request.method,
        request.path,
        request.headers,
        request.body,
        request.call.idempotent,
        request.call.timeout_seconds,
        claim,
    )


def outcome_error(
    outcome: plain_messages.PlainOutcome,
) -> errors.NutmegError:
    """Returns the error for the caller of a call with a failed outcome."""
    return errors.NutmegError(
        outcome.detail, kind=outcome.kind, ran=outcome.ran
    )


def refusal_error(refusal: ledger.Refuse) -> errors.NutmegError:
    """Returns the error for the caller of a refused call."""
    return errors.RefusedError(
        refusal.detail, kind=refusal.kind, retry_after=refusal.retry_after
    )


def no_backend_error(service: ids.ServiceId) -> errors.NutmegError:
    """Returns the error for a call that no backend server can accept."""
    return errors.RefusedError(
        f"no backend server runs {service}",
        kind=errors.ErrorKind.NO_BACKEND,
        retry_after=1.0,
    )


def _claim_error(error: errors.NutmegError) -> errors.NutmegError:
    return errors.RefusedError(
        "the idempotency key was not claimed; the call was not dispatched",
        kind=errors.ErrorKind.PLATFORM_UNAVAILABLE,
        retry_after=2.0,
    )
