"""All errors, their kinds, and the response to the caller for each kind."""

import dataclasses
import enum

from nutmeglift import states


class ErrorKind(enum.Enum):
    """All error kinds."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CONFIGURATION_STALE = "configuration_stale"
    CONFLICT = "conflict"
    DEADLINE = "deadline_not_reachable"
    DRAINING = "draining"
    FORBIDDEN = "forbidden"
    HEADER_TIMEOUT = "header_timeout"
    HEADER_TOO_LARGE = "header_too_large"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    INTERNAL = "internal"
    INVALID_DECLARATION = "invalid_declaration"
    INVALID_SETTINGS = "invalid_settings"
    LIMIT_EXCEEDED = "limit_exceeded"
    MALFORMED_MESSAGE = "malformed_message"
    NO_BACKEND = "no_backend"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    QUARANTINED = "quarantined"
    """Requests like this one have ended the servers that answered them."""
    STAGE_FAILED = "stage_failed"
    STALE_FENCING_NUMBER = "stale_fencing_number"
    STREAM_BROKEN = "stream_broken"
    TIMEOUT = "timeout"
    TOO_MANY_LOGINS = "too_many_logins"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_ROUTE = "unknown_route"
    USAGE = "usage"


@dataclasses.dataclass(frozen=True)
class Answer:
    """Response to the caller for an error kind.

    Attributes:
        status: HTTP status code.
        ran: whether the operation ran, unless the error itself specifies it.
        retryable: whether the same request may succeed later.
    """

    status: int
    ran: states.Ran
    retryable: bool


_NOT_RUN = states.Ran.NOT_RUN
_UNKNOWN = states.Ran.UNKNOWN

ANSWER_BY_KIND: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, False),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT_RUN, False),
    ErrorKind.CONFIGURATION_STALE: Answer(503, _NOT_RUN, True),
    ErrorKind.CONFLICT: Answer(409, _NOT_RUN, False),
    ErrorKind.DEADLINE: Answer(503, _NOT_RUN, True),
    ErrorKind.DRAINING: Answer(503, _NOT_RUN, True),
    ErrorKind.FORBIDDEN: Answer(403, _NOT_RUN, False),
    ErrorKind.HEADER_TIMEOUT: Answer(408, _NOT_RUN, True),
    ErrorKind.HEADER_TOO_LARGE: Answer(431, _NOT_RUN, False),
    ErrorKind.IDEMPOTENCY_KEY_EXPIRED: Answer(410, _UNKNOWN, False),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: Answer(400, _NOT_RUN, False),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: Answer(422, _NOT_RUN, False),
    ErrorKind.IN_PROGRESS: Answer(409, _UNKNOWN, True),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, False),
    ErrorKind.INVALID_DECLARATION: Answer(400, _NOT_RUN, False),
    ErrorKind.INVALID_SETTINGS: Answer(500, _NOT_RUN, False),
    ErrorKind.LIMIT_EXCEEDED: Answer(429, _NOT_RUN, True),
    ErrorKind.MALFORMED_MESSAGE: Answer(400, _NOT_RUN, False),
    ErrorKind.NO_BACKEND: Answer(503, _NOT_RUN, True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN, False),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, True),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, _NOT_RUN, True),
    ErrorKind.QUARANTINED: Answer(503, _NOT_RUN, True),
    ErrorKind.STAGE_FAILED: Answer(502, _UNKNOWN, True),
    ErrorKind.STALE_FENCING_NUMBER: Answer(409, _NOT_RUN, False),
    ErrorKind.STREAM_BROKEN: Answer(502, _UNKNOWN, True),
    ErrorKind.TIMEOUT: Answer(504, _UNKNOWN, False),
    ErrorKind.TOO_MANY_LOGINS: Answer(429, _NOT_RUN, True),
    ErrorKind.UNAUTHENTICATED: Answer(401, _NOT_RUN, False),
    ErrorKind.UNKNOWN_ROUTE: Answer(404, _NOT_RUN, False),
    ErrorKind.USAGE: Answer(400, _NOT_RUN, False),
}


class NutmegError(Exception):
    """Base of all errors of nutmeglift.

    Attributes:
        kind: kind of the error.
        ran: whether the operation ran.
        retry_after: seconds after which the caller may retry, or None.
        replayed: whether it is the recorded outcome of an earlier call.
    """

    kind = ErrorKind.INTERNAL
    replayed = False

    def __init__(
        self,
        detail: str,
        *,
        kind: ErrorKind | None = None,
        ran: states.Ran | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        if kind is not None:
            self.kind = kind
        self.ran = ran or ANSWER_BY_KIND[self.kind].ran
        self.retry_after = retry_after

    @property
    def answer(self) -> Answer:
        """Response for the kind of this error."""
        return ANSWER_BY_KIND[self.kind]


class RefusedError(NutmegError):
    """The request was refused before anything ran."""

    kind = ErrorKind.BAD_REQUEST


class OutcomeUnknownError(NutmegError):
    """It cannot be determined whether the operation ran."""

    kind = ErrorKind.OUTCOME_UNKNOWN


class StageFailedError(NutmegError):
    """A stage of a pipeline failed and could not be replaced."""

    kind = ErrorKind.STAGE_FAILED


class MalformedMessageError(NutmegError):
    """A message between processes could not be decoded."""

    kind = ErrorKind.MALFORMED_MESSAGE


class LinkClosedError(NutmegError):
    """The connection to another process is closed."""

    kind = ErrorKind.STREAM_BROKEN


class PlatformError(NutmegError):
    """A service of the platform failed."""

    kind = ErrorKind.PLATFORM_UNAVAILABLE


class KvUnavailableError(PlatformError):
    """The key-value service is unreachable; nothing was written."""


class KvAnswerLostError(PlatformError):
    """The key-value service did not respond; a write may have taken effect."""


class KvCompactedError(KvUnavailableError):
    """The history from the requested revision on has been compacted."""


class ConflictError(NutmegError):
    """Another writer changed the same data first."""

    kind = ErrorKind.CONFLICT


class StaleFencingNumberError(NutmegError):
    """An order carries a fencing number older than the newest seen."""

    kind = ErrorKind.STALE_FENCING_NUMBER


class UsageError(NutmegError):
    """A command was called with invalid arguments."""

    kind = ErrorKind.USAGE


class SettingsError(NutmegError):
    """The settings of a process are invalid."""

    kind = ErrorKind.INVALID_SETTINGS


class DeclarationError(NutmegError):
    """A declaration set is invalid.

    Attributes:
        problems: one line for each problem found.
    """

    kind = ErrorKind.INVALID_DECLARATION

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems
