"""A configuration as it was written, with what a catalog doesn't keep."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import hashlib
import json

from nutmeglift import ids
from nutmeglift_gateway import catalog as catalogs

KEY_HASH_LENGTH = 8
MAX_NAME_LENGTH = 60


@dataclasses.dataclass(frozen=True)
class AccountEntry:
    """A client account.

    Attributes:
        id: its name.
        priority: overrides the routes' priorities unless None.
        keys: its API keys.
    """

    id: ids.AccountId
    priority: int | None
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Draft:
    """A configuration that may not be in force yet.

    Attributes:
        catalog: what routers make of it.
        services: all services, in order.
        accounts: all client accounts, in order.
        usual_tokens: mean tokens of a request, by service, where it is given.
    """

    catalog: catalogs.Catalog
    services: tuple[catalogs.Service, ...]
    accounts: tuple[AccountEntry, ...]
    usual_tokens: Mapping[ids.ServiceId, float]


DecodeDraft = Callable[[bytes], Draft]
"""Decodes a configuration; raises UndecodableEntryError if it is invalid."""


def quoted(name: str) -> str:
    """Returns a name as printable text of bounded length."""
    return json.dumps(name[:MAX_NAME_LENGTH])


def key_hash(key: str) -> str:
    """Returns a text that names an API key without showing it."""
    digest = hashlib.sha256(key.encode("utf-8", "surrogatepass"))
    return f"key sha256:{digest.hexdigest()[:KEY_HASH_LENGTH]}"
