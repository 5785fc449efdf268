"""Records callers' requests that are not processed."""

import asyncio

from nutmeglift import errors
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import ports
from nutmeglift_gateway import request_memory
from nutmeglift_gateway import responses
from nutmeglift_gateway import retry_delay


class UnservedRequests:
    """Refuses requests that cannot be read; records unanswered ones."""

    def __init__(
        self,
        names: ports.HeaderNames,
        memory: request_memory.Budget,
        metrics: metric_sets.Metrics,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the records.

        Args:
            names: names of the headers.
            memory: memory for the requests, for the log.
            metrics: counters.
            log: log of decisions.
        """
        self._names = names
        self._memory = memory
        self._metrics = metrics
        self._log = log

    def refuse(self, kind: errors.ErrorKind) -> bytes:
        """Returns the response to a request that cannot be read."""
        retry_after = None
        if kind is errors.ErrorKind.OVERLOADED:
            retry_after = retry_delay.OVERLOADED_RETRY_SECONDS
            self._metrics.refusals.labels(kind.value).inc()
            self._log.write(
                "refused",
                kind=kind.value,
                detail="no memory for the request",
                used=self._memory.used,
                reserved=self._memory.reserved,
                waiting=self._memory.waiting_count,
            )
        return responses.error_response(
            kind, retry_after=retry_after, retry_name=self._names.retry_after
        )

    def record_unanswered(
        self,
        request: caller_request.Request,
        cause: metric_sets.UnansweredCause,
    ) -> None:
        """Records a complete request that gets no response."""
        request_id = request.get(self._names.request_id) or b""
        elapsed = asyncio.get_running_loop().time() - request.received_at
        self._metrics.unanswered.labels(cause.value).inc()
        self._log.write(
            "unanswered",
            request=request_id.decode("latin-1"),
            cause=cause.value,
            seconds=round(elapsed, 3),
        )
