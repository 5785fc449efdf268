"""Messages between router and agent about calls to plain services."""

import msgspec

from nutmeglift import errors
from nutmeglift import http_status
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states


class PlainCall(messages.Message, frozen=True):
    """Router to agent: call the plain service beside the agent.

    Attributes:
        request: the request.
        attempt: number of the attempt.
        service: the declared service.
        incarnation: the incarnation that may run the call; any other refuses.
        method: HTTP method.
        path: path including the query string.
        headers: headers to forward.
        body: body.
        idempotent: whether the call may be repeated.
        timeout_seconds: maximum wait for the backend server.
        claim: for a non-idempotent call, identifies the account and key.
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
        status: HTTP status; 0 if there was no response.
        headers: response headers to forward.
        body: body.
        kind: kind of the error if there was no response.
        detail: description of the result, for the logs.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    ran: states.Ran
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    kind: errors.ErrorKind | None = None
    detail: str = ""


def check_outcome(outcome: PlainOutcome) -> PlainOutcome:
    """Returns the outcome, or an unknown one if its status is invalid.

    Agents of earlier versions report invalid statuses, and claims contain them.
    """
    if outcome.kind is not None or http_status.is_final(outcome.status):
        return outcome
    return msgspec.structs.replace(
        outcome,
        ran=states.Ran.UNKNOWN,
        status=0,
        headers=(),
        body=b"",
        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
        detail=f"the response has an invalid status: {outcome.status}",
    )


class AttemptQuery(messages.Message, frozen=True):
    """Router to agent: queries an attempt; fences it if never received."""

    request: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation


class AttemptStatus(messages.Message, frozen=True):
    """Response to an AttemptQuery.

    Attributes:
        request: the request.
        attempt: its attempt.
        incarnation: the incarnation that responds.
        state: state of the attempt; None if this incarnation cannot
            determine it, as the query is for another one or the entry may
            have been evicted.
        outcome: the outcome of a completed attempt.
    """

    request: ids.RequestId
    attempt: ids.Attempt
    incarnation: ids.Incarnation
    state: states.AttemptState | None
    outcome: PlainOutcome | None = None
