"""Messages between router and agent about calls to plain services."""

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states


class PlainCall(messages.Message, frozen=True):
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


class PlainOutcome(messages.Message, frozen=True):
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


class AttemptQuery(messages.Message, frozen=True):
    """Router to agent: what became of an attempt? Fences it if unseen."""

    request: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation


class AttemptStatus(messages.Message, frozen=True):
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
