"""Calls to the plain service beside this agent."""

from nutmeglift import backend
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states


class PlainWork:
    """Runs each attempt of a plain call at most once."""

    def __init__(
        self, incarnation: ids.Incarnation, service: backend.BasePlainBackend
    ) -> None:
        self._service = service
        self._attempts = ledger.AttemptTable(incarnation)

    async def call(
        self, call: plain_messages.PlainCall
    ) -> plain_messages.PlainOutcome | None:
        """Runs a call.

        Returns:
            Its outcome, or None for a copy of an attempt already seen.
        """
        if not self._attempts.begin(call):
            return None
        outcome = await self._execute(call)
        self._attempts.finish(outcome)
        return outcome

    def query(
        self, query: plain_messages.AttemptQuery
    ) -> plain_messages.AttemptStatus:
        """Tells an attempt's state."""
        return self._attempts.query(query)

    async def _execute(
        self, call: plain_messages.PlainCall
    ) -> plain_messages.PlainOutcome:
        request = backend.PlainRequest(
            call.method, call.path, call.headers, call.body
        )
        try:
            answer = await self._service.call(request, call.timeout_seconds)
        except errors.NutmegError as error:
            return plain_messages.PlainOutcome(
                call.request,
                call.attempt,
                error.ran,
                kind=error.kind,
                detail=error.detail,
            )
        return plain_messages.PlainOutcome(
            call.request,
            call.attempt,
            states.Ran.RAN,
            answer.status,
            answer.headers,
            answer.body,
        )
