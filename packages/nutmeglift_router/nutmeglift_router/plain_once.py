"""Runs one non-idempotent call at most once."""

import asyncio
from collections.abc import Callable
import logging

from nutmeglift import errors
from nutmeglift import group_commit
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import routing
from nutmeglift import settling
from nutmeglift import states
from nutmeglift_router import attempt_watches
from nutmeglift_router import ledger_controller
from nutmeglift_router import plain_calls
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric

MAX_ATTEMPTS = 3
MAX_CLAIM_ROUNDS = 4

_logger = logging.getLogger(__name__)

Choose = Callable[
    [plain_calls.PlainCallRequest, set[ids.VmId]], routing.Candidate | None
]


class Work:
    """One call of a caller.

    Attributes:
        request: the call.
        name: its request id.
        digest: digest under which its key is claimed.
        body_digest: tells whether another call is the same.
        answer: what the caller is answered.
        replayed: whether the answer is that of an earlier call.
    """

    def __init__(
        self,
        request: plain_calls.PlainCallRequest,
        name: ids.RequestId,
        digest: ids.Digest,
        body_digest: ids.Digest,
    ) -> None:
        self.request = request
        self.name = name
        self.digest = digest
        self.body_digest = body_digest
        self.replayed = False
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[plain_messages.PlainOutcome] = (
            loop.create_future()
        )

    def finish(self, outcome: plain_messages.PlainOutcome) -> None:
        """Answers the caller, unless that was done."""
        if self.answer.done():
            return
        if outcome.kind is None:
            self.answer.set_result(outcome)
        else:
            error = outcome_error(outcome)
            error.replayed = self.replayed
            self.fail(error)

    def fail(self, error: errors.NutmegError) -> None:
        """Answers the caller with an error, unless that was done."""
        if not self.answer.done():
            self.answer.set_exception(error)
            # A caller that has left does not fetch it.
            self.answer.exception()


class Run:
    """Takes one call from its claim to its recorded outcome."""

    def __init__(
        self,
        work: Work,
        *,
        ledger: ledger_controller.LedgerController,
        watches: attempt_watches.AttemptWatches,
        clock: clocks.BaseClock,
        metrics: metric.BaseMetrics,
        choose: Choose,
    ) -> None:
        self._work = work
        self._ledger = ledger
        self._watches = watches
        self._clock = clock
        self._metrics = metrics
        self._choose = choose
        self._failed: set[ids.VmId] = set()
        self._refusal = no_backend(work.request.service.id)

    async def run(self) -> None:
        """Runs the call; the answer is in the work."""
        try:
            await self._run()
        except errors.NutmegError as error:
            self._metrics.count(f"ledger.refused.{error.kind.value}")
            self._work.fail(error)
        except Exception:
            _logger.exception("plain call failed")
            self._work.fail(errors.NutmegError("internal error"))
            raise
        finally:
            # Cancelled, at the process's end.
            self._work.fail(errors.OutcomeUnknownError("the router stopped"))

    async def _run(self) -> None:
        held = await self._take_claim(None)
        attempt = 1
        while held is not None:
            verdict = await self._watches.dispatch(
                held.claim, self._make_call(held.claim)
            )
            if not isinstance(verdict, settling.NotRun):
                self._conclude(held, verdict)
                return
            self._metrics.count("ledger.attempt_not_run")
            self._note_refusal(held, verdict)
            attempt += 1
            if attempt > MAX_ATTEMPTS:
                self._ledger.void(held.key, held.claim, held.revision)
                raise self._refusal
            held = await self._take_claim(held)

    async def _take_claim(
        self, before: ledger_controller.Held | None
    ) -> ledger_controller.Held | None:
        """Claims the key, over a claim whose attempt never runs.

        Returns:
            The claim, or None when the caller is answered otherwise.
        """
        for _ in range(MAX_CLAIM_ROUNDS):
            found = await self._write_claim(before)
            if isinstance(found, ledger_controller.Held):
                if found.claim.request == self._work.name:
                    return found
                if not await self._may_replace(found):
                    return None
            before = found
        raise refusal_error(ledger.in_progress_refusal())

    async def _write_claim(
        self, before: ledger_controller.Held | None
    ) -> ledger_controller.Held | None:
        """Writes the claim.

        Returns:
            The claim that holds the key now, this one's or another's, or
            None when the one before is gone.
        """
        key = ledger.claim_key(self._work.digest)
        expected = kv.NEVER_WRITTEN if before is None else before.revision
        server = self._choose(self._work.request, self._failed)
        if server is None:
            self._give_back(before)
            raise self._refusal
        claim = self._make_claim(server, before)
        try:
            result = await self._ledger.write(key, expected, claim)
        except errors.KvUnavailableError as error:
            self._give_back(before)
            raise _not_claimed(error) from error
        except errors.KvAnswerLostError as error:
            self._ledger.void(key, claim, expected)
            raise _not_claimed(error) from error
        match result:
            case group_commit.Written(revision):
                return ledger_controller.Held(key, claim, revision)
            case group_commit.Conflict(None):
                return None
            case group_commit.Conflict(found):
                assert found is not None
                return ledger_controller.to_held(found)

    def _give_back(self, before: ledger_controller.Held | None) -> None:
        if before is not None:
            self._ledger.void(before.key, before.claim, before.revision)

    async def _may_replace(self, found: ledger_controller.Held) -> bool:
        claim = found.claim
        judgement = ledger.judge(
            claim, self._work.body_digest, self._clock.utc()
        )
        match judgement:
            case ledger.Replace():
                return True
            case ledger.Replay(outcome):
                self._replay(outcome)
                return False
            case ledger.Refuse():
                raise refusal_error(judgement)
            case ledger.Settle():
                return await self._settle(found)

    async def _settle(self, found: ledger_controller.Held) -> bool:
        self._metrics.count("ledger.settle")
        running = asyncio.Event()
        telling = asyncio.ensure_future(self._tell_running(running))
        try:
            verdict = await self._watches.settle(
                found.claim, self._work.request.call.timeout_seconds, running
            )
        finally:
            telling.cancel()
        if isinstance(verdict, settling.NotRun):
            # A caller that was told "in progress" waits for nothing here.
            if self._work.answer.done():
                self._give_back(found)
                return False
            return True
        self._work.replayed = True
        self._conclude(found, verdict)
        return False

    async def _tell_running(self, running: asyncio.Event) -> None:
        await running.wait()
        self._work.fail(refusal_error(ledger.in_progress_refusal()))

    def _conclude(
        self, held: ledger_controller.Held, verdict: settling.Resolution
    ) -> None:
        match verdict:
            case settling.Finished(outcome):
                self._record(held, outcome)
            case settling.Unknown(detail):
                self._metrics.count("ledger.unknown")
                self._work.fail(errors.OutcomeUnknownError(detail))
            case settling.StillRunning() | settling.NotRun():
                self._work.fail(refusal_error(ledger.in_progress_refusal()))

    def _record(
        self,
        held: ledger_controller.Held,
        outcome: plain_messages.PlainOutcome,
    ) -> None:
        self._metrics.count(f"ledger.outcome.{outcome.ran.value}")
        self._ledger.record(held, ledger.complete_claim(held.claim, outcome))
        self._work.finish(outcome)

    def _replay(self, outcome: plain_messages.PlainOutcome) -> None:
        self._metrics.count("ledger.replayed")
        self._work.replayed = True
        self._work.finish(outcome)

    def _note_refusal(
        self, held: ledger_controller.Held, verdict: settling.NotRun
    ) -> None:
        self._failed.add(held.claim.vm)
        self._refusal = errors.RefusedError(
            verdict.detail,
            kind=errors.ErrorKind.NO_BACKEND,
            ran=states.Ran.NOT_RUN,
            retry_after=1.0,
        )

    def _make_claim(
        self,
        server: routing.Candidate,
        before: ledger_controller.Held | None,
    ) -> ledger.Claim:
        request = self._work.request
        assert request.key is not None
        number = 1 if before is None else before.claim.attempt + 1
        now = self._clock.utc()
        return ledger.Claim(
            states.ClaimState.CLAIMED,
            self._work.name,
            ids.Attempt(number),
            self._work.body_digest,
            server.vm,
            server.incarnation,
            server.address,
            now,
            expires_at=now + request.service.key_retention_seconds,
            keyed_at=ledger.key_timestamp(request.key),
        )

    def _make_call(self, claim: ledger.Claim) -> plain_messages.PlainCall:
        return make_call(
            self._work.request,
            claim.request,
            claim.attempt,
            claim.incarnation,
            self._work.digest,
        )


def make_call(
    request: plain_calls.PlainCallRequest,
    name: ids.RequestId,
    attempt: ids.Attempt,
    incarnation: ids.Incarnation,
    claim: ids.Digest | None = None,
) -> plain_messages.PlainCall:
    """Returns the message that dispatches a call."""
    return plain_messages.PlainCall(
        name,
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
    """Returns the error that a failed outcome is answered with."""
    return errors.NutmegError(
        outcome.detail, kind=outcome.kind, ran=outcome.ran
    )


def refusal_error(refusal: ledger.Refuse) -> errors.NutmegError:
    """Returns the error that a refusal is answered with."""
    return errors.RefusedError(
        refusal.detail, kind=refusal.kind, retry_after=refusal.retry_after
    )


def no_backend(service: ids.ServiceId) -> errors.NutmegError:
    """Returns the refusal of a call that no backend server can take."""
    return errors.RefusedError(
        f"no backend server runs {service}",
        kind=errors.ErrorKind.NO_BACKEND,
        retry_after=1.0,
    )


def _not_claimed(error: errors.NutmegError) -> errors.NutmegError:
    return errors.RefusedError(
        "the key could not be claimed, so the call was not dispatched",
        kind=errors.ErrorKind.PLATFORM_UNAVAILABLE,
        retry_after=2.0,
    )
