"""What a plain service beside an agent does."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class PlainRequest:
    """A call to a plain service.

    Attributes:
        method: HTTP method.
        path: path with query.
        headers: headers.
        body: body.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """A plain service's answer.

    Attributes:
        status: HTTP status.
        headers: headers.
        body: body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class BasePlainBackend(abc.ABC):
    """The plain service beside an agent."""

    @abc.abstractmethod
    async def call(self, request: PlainRequest, timeout: float) -> PlainAnswer:
        """Sends a call at most once, over a connection of its own.

        Raises:
            errors.RefusedError: no byte was sent.
            errors.OutcomeUnknownError: the call may have been executed.
        """
