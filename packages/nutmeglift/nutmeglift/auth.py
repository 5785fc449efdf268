"""Authentication of client accounts and operators by token."""

import collections
import dataclasses
import hashlib
import hmac

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids

BEARER_PREFIX = "Bearer "
MAX_FAILED_LOGINS = 20
FAILED_LOGIN_WINDOW_SECONDS = 60.0
MAX_SOURCE_COUNT = 4096


def hash_token(token: str) -> ids.Digest:
    """Returns the hash of a token, as used in a declaration."""
    return ids.Digest(hashlib.sha256(token.encode()).hexdigest())


class Authenticator:
    """Looks up the account or operator that a token belongs to."""

    def __init__(self, declared: declaration.Declaration) -> None:
        self._account_by_hash = {
            digest: account
            for account in declared.client_accounts
            for digest in account.token_sha256
        }
        self._operator_by_hash = {
            digest: operator
            for operator in declared.operators
            for digest in operator.token_sha256
        }

    def account(self, header: str | None) -> declaration.ClientAccount:
        """Returns the account of an Authorization header.

        Raises:
            errors.RefusedError: the header has no token of an account.
        """
        digest = _token_digest(header)
        found = self._account_by_hash.get(digest)
        if found is None or not _is_listed(digest, found.token_sha256):
            raise _unauthenticated()
        return found

    def operator(self, header: str | None) -> declaration.Operator:
        """Returns the operator of an Authorization header.

        Raises:
            errors.RefusedError: the header has no token of an operator.
        """
        digest = _token_digest(header)
        found = self._operator_by_hash.get(digest)
        if found is None or not _is_listed(digest, found.token_sha256):
            raise _unauthenticated()
        return found


@dataclasses.dataclass
class _Failures:
    count: int
    started_at: float


class LoginLimiter:
    """Limits failed logins per source address with bounded memory."""

    def __init__(self) -> None:
        self._failures_by_source: collections.OrderedDict[str, _Failures] = (
            collections.OrderedDict()
        )

    def check(self, source: str, now: float) -> None:
        """Checks that a source may attempt to log in.

        Raises:
            errors.RefusedError: too many recent logins of the source failed.
        """
        found = self._failures_by_source.get(source)
        if found is None or found.count < MAX_FAILED_LOGINS:
            return
        left = found.started_at + FAILED_LOGIN_WINDOW_SECONDS - now
        if left <= 0:
            del self._failures_by_source[source]
            return
        raise errors.RefusedError(
            "too many failed logins from this address",
            kind=errors.ErrorKind.TOO_MANY_LOGINS,
            retry_after=left,
        )

    def record_failure(self, source: str, now: float) -> None:
        """Records a failed login."""
        found = self._failures_by_source.get(source)
        if (
            found is None
            or now - found.started_at >= FAILED_LOGIN_WINDOW_SECONDS
        ):
            found = _Failures(0, now)
            self._failures_by_source[source] = found
        found.count += 1
        self._failures_by_source.move_to_end(source)
        if len(self._failures_by_source) > MAX_SOURCE_COUNT:
            self._failures_by_source.popitem(last=False)


def _token_digest(header: str | None) -> ids.Digest:
    if header is None or not header.startswith(BEARER_PREFIX):
        raise _unauthenticated()
    return hash_token(header.removeprefix(BEARER_PREFIX))


def _is_listed(digest: ids.Digest, listed: tuple[ids.Digest, ...]) -> bool:
    matches = [hmac.compare_digest(digest, known) for known in listed]
    return any(matches)


def _unauthenticated() -> errors.RefusedError:
    return errors.RefusedError(
        "the Authorization header contains no valid token",
        kind=errors.ErrorKind.UNAUTHENTICATED,
    )
