"""Tokens of client accounts and operators."""

import hashlib
import hmac

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids

SCHEME = "Bearer "


def hash_token(token: str) -> ids.Digest:
    """Returns the hash of a token as it stands in a declaration."""
    return ids.Digest(hashlib.sha256(token.encode()).hexdigest())


class Authenticator:
    """Finds the account or operator that a token belongs to."""

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
            errors.RefusedError: the header names no account.
        """
        digest = _digest_of(header)
        found = self._account_by_hash.get(digest)
        if found is None or not _is_listed(digest, found.token_sha256):
            raise _unauthenticated()
        return found

    def operator(self, header: str | None) -> declaration.Operator:
        """Returns the operator of an Authorization header.

        Raises:
            errors.RefusedError: the header names no operator.
        """
        digest = _digest_of(header)
        found = self._operator_by_hash.get(digest)
        if found is None or not _is_listed(digest, found.token_sha256):
            raise _unauthenticated()
        return found


def _digest_of(header: str | None) -> ids.Digest:
    if header is None or not header.startswith(SCHEME):
        raise _unauthenticated()
    return hash_token(header.removeprefix(SCHEME))


def _is_listed(digest: ids.Digest, listed: tuple[ids.Digest, ...]) -> bool:
    matches = [hmac.compare_digest(digest, known) for known in listed]
    return any(matches)


def _unauthenticated() -> errors.RefusedError:
    return errors.RefusedError(
        "the Authorization header carries no known token",
        kind=errors.ErrorKind.UNAUTHENTICATED,
    )
