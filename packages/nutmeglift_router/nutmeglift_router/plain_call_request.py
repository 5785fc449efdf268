"""A validated call to a plain service."""

import dataclasses

from nutmeglift import declaration
from nutmeglift import ids


@dataclasses.dataclass(frozen=True)
class PlainCallRequest:
    """A validated call to a plain service.

    Attributes:
        account: the caller's account.
        service: the service.
        call: the declared call that it matches.
        method: HTTP method.
        path: path and query.
        headers: headers to forward.
        body: request body.
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
