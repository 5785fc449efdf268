"""The operators' commands, apart from their output."""

import asyncio
from collections.abc import Coroutine
import getpass
import pathlib
import secrets
import time
from typing import Any
from typing import TypeVar

from nutmeglift import audit
from nutmeglift import configuration
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import ids
from nutmeglift_wire import etcd_kv

APPLY_ID_BYTES = 12
TIMEOUT_SECONDS = 5.0

T = TypeVar("T")


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a command's work to its end."""
    return asyncio.run(work)


async def apply(
    address: str, directory: pathlib.Path, expected: int | None
) -> control_messages.ConfigurationHead:
    """Applies a directory as a whole.

    Raises:
        errors.DeclarationError: the set is wrong; nothing is applied.
        errors.ConflictError: another apply came first.
        errors.PlatformError: the key-value service gave no answer.
    """
    declared = declaration.load(directory)
    store = etcd_kv.EtcdKv(address, TIMEOUT_SECONDS)
    try:
        return await configuration.apply(
            store,
            declared,
            apply_id=ids.ApplyId(secrets.token_hex(APPLY_ID_BYTES)),
            author=getpass.getuser(),
            time=time.time(),
            expected=None if expected is None else ids.Generation(expected),
        )
    finally:
        await store.close()


async def history(address: str, limit: int) -> list[audit.AuditEntry]:
    """Returns the newest entries of the audit trail.

    Raises:
        errors.PlatformError: the key-value service gave no answer.
    """
    store = etcd_kv.EtcdKv(address, TIMEOUT_SECONDS)
    try:
        return await audit.read(store, limit)
    finally:
        await store.close()
