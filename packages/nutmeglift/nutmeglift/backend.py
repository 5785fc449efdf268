"""Interface of the plain service that runs beside an agent."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class PlainRequest:
    """A call to a plain service.

    Attributes:
        method: HTTP method.
        path: path including the query string.
        headers: headers.
        body: body.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class PlainResponse:
    """Response of a plain service.

    Attributes:
        status: HTTP status.
        headers: headers.
        body: body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class BasePlainBackend(abc.ABC):
    """Plain service that runs beside an agent."""

    @abc.abstractmethod
    async def call(
        self, request: PlainRequest, timeout: float
    ) -> PlainResponse:
        """Sends a call at most once, over a separate connection.

        Raises:
            errors.RefusedError: no byte was sent.
            errors.OutcomeUnknownError: the call may have been executed.
        """
