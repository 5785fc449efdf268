"""Implementation of the operators' commands, without their output."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import getpass
import os
import pathlib
import secrets
import time
from typing import Any
from typing import TypeVar

import aiosonic
import msgspec

from nutmeglift import audit
from nutmeglift import configuration
from nutmeglift import configuration_apply
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import declaration_diff
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import status
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import http_client

APPLY_ID_BYTES = 12
REQUEST_TIMEOUT_SECONDS = 5.0
STATUS_POLL_INTERVAL_SECONDS = 0.25
CONNECTION_POOL_SIZE = 4
HTTP_OK = 200
TOKEN_VARIABLE = "NUTMEGLIFT_TOKEN"

T = TypeVar("T")


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a command's coroutine to completion."""
    return asyncio.run(work)


@dataclasses.dataclass(frozen=True)
class RouterAccess:
    """Addresses of routers and the credentials for them.

    Attributes:
        addresses: HTTP addresses of the routers.
        token: the operator's token.
    """

    addresses: tuple[str, ...] = ()
    token: str = dataclasses.field(default="", repr=False)


def read_token(path: str | None) -> str:
    """Returns the operator's token, from a file or the environment.

    Raises:
        errors.UsageError: the file can't be read.
    """
    if path is None:
        return os.environ.get(TOKEN_VARIABLE, "")
    try:
        return pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(f"{path}: can't be read") from error


class AdminClient:
    """Client of the routers' admin endpoints."""

    def __init__(self, routers: RouterAccess) -> None:
        self._routers = routers
        self._client = http_client.make(CONNECTION_POOL_SIZE)

    async def read_status(self) -> list[status.RouterStatus]:
        """Returns the status of every router that responds.

        Raises:
            errors.PlatformError: no router responds.
            errors.RefusedError: the request was refused.
        """
        statuses = await asyncio.gather(
            *(self._status(address) for address in self._routers.addresses),
            return_exceptions=True,
        )
        answered = [f for f in statuses if isinstance(f, status.RouterStatus)]
        failures = [f for f in statuses if isinstance(f, BaseException)]
        if failures and not answered:
            raise failures[0]
        return answered

    async def drain(self, vm: str) -> None:
        """Drains a VM through the first router that is connected to it.

        Raises:
            errors.PlatformError: no router responds.
            errors.RefusedError: no router has a connection to the VM.
        """
        last: errors.NutmegError = errors.UsageError(
            "no router address was given"
        )
        for address in self._routers.addresses:
            try:
                await self._call("POST", address, "/admin/v1/drain", {"vm": vm})
            except errors.NutmegError as error:
                last = error
                continue
            return
        raise last

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def _status(self, address: str) -> status.RouterStatus:
        body = await self._call("GET", address, "/admin/v1/status")
        try:
            return msgspec.json.decode(body, type=status.RouterStatus)
        except msgspec.DecodeError as error:
            raise errors.PlatformError(f"{address}: {error}") from error

    async def _call(
        self, method: str, address: str, path: str, body: Any = None
    ) -> bytes:
        try:
            response = await self._client.request(
                f"http://{address}{path}",
                method=method,
                headers={"authorization": f"Bearer {self._routers.token}"},
                json=body,
                timeouts=http_client.make_timeouts(REQUEST_TIMEOUT_SECONDS),
            )
            text: bytes = await response.content()
        except http_client.ERRORS as error:
            raise errors.PlatformError(f"{address}: {error!r}") from error
        if response.status_code != HTTP_OK:
            raise _refusal(address, response, text)
        return text


def _refusal(
    address: str, response: aiosonic.HttpResponse, text: bytes
) -> errors.NutmegError:
    try:
        error = msgspec.json.decode(text)["error"]
        kind = errors.ErrorKind(error["kind"])
        detail = f"{address}: {error['message']}"
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return errors.PlatformError(f"{address}: HTTP {response.status_code}")
    return errors.RefusedError(detail, kind=kind)


@dataclasses.dataclass(frozen=True)
class CommandOptions:
    """Options shared by apply and rollback.

    Attributes:
        key_value: address of the key-value service.
        routers: the routers to query for the newest generation.
        expected_generation: generation that must be in force, or None for any.
        wait_seconds: maximum time to wait for acknowledgements; 0 to skip it.
    """

    key_value: str
    routers: RouterAccess = RouterAccess()
    expected_generation: int | None = None
    wait_seconds: float = 0.0


class Operator:
    """Executes an operator's commands."""

    def __init__(self, command: CommandOptions) -> None:
        self._command = command
        self._store = etcd_kv.EtcdKv(command.key_value, REQUEST_TIMEOUT_SECONDS)
        self._admin = AdminClient(command.routers)
        self._applier = configuration_apply.Applier(self._store, asyncio.sleep)

    async def apply(
        self, declared: declaration.Declaration
    ) -> control_messages.ConfigurationHead:
        """Applies a declaration atomically.

        Raises:
            errors.ConflictError: another apply came first.
            errors.PlatformError: a service did not respond.
        """
        return await self._applier.apply(declared, await self._prepare())

    async def roll_back(
        self, generation: int
    ) -> control_messages.ConfigurationHead:
        """Applies an older generation's content as a new generation.

        Raises:
            errors.UsageError: that generation is no longer stored.
            errors.NutmegError: as apply.
        """
        return await self._applier.roll_back(
            ids.Generation(generation), await self._prepare()
        )

    async def plan(
        self, declared: declaration.Declaration
    ) -> list[declaration_diff.Change]:
        """Returns the changes that an apply would make.

        Raises:
            errors.PlatformError: the service did not respond.
        """
        return await self._applier.plan(declared)

    async def history(self, limit: int) -> list[audit.AuditEntry]:
        """Returns the newest entries of the audit trail.

        Raises:
            errors.PlatformError: the service did not respond.
        """
        return await audit.read(self._store, limit)

    async def wait(
        self, head: control_messages.ConfigurationHead
    ) -> list[ids.VmId]:
        """Waits until every process has acknowledged a generation.

        Returns:
            The processes that have not acknowledged it in time.

        Raises:
            errors.NutmegError: no router responds.
        """
        ends_at = time.monotonic() + self._command.wait_seconds
        while True:
            statuses = await self._admin.read_status()
            unacknowledged = status.find_lagging(statuses, head.generation)
            if not unacknowledged or time.monotonic() >= ends_at:
                return unacknowledged
            await asyncio.sleep(STATUS_POLL_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Closes all connections."""
        await self._store.close()
        await self._admin.close()

    async def _prepare(self) -> configuration_apply.ApplyRequest:
        statuses: list[status.RouterStatus] = []
        if self._command.routers.addresses:
            statuses = await self._admin.read_status()
        heads = [router.head for router in statuses]
        expected_generation = self._command.expected_generation
        return configuration_apply.ApplyRequest(
            ids.ApplyId(secrets.token_hex(APPLY_ID_BYTES)),
            author=statuses[0].operator if statuses else getpass.getuser(),
            time=time.time(),
            expected=None
            if expected_generation is None
            else ids.Generation(expected_generation),
            known=max(
                [configuration.NO_HEAD, *heads], key=configuration.sort_key
            ),
        )


async def apply(
    address: str, directory: pathlib.Path, expected_generation: int | None
) -> control_messages.ConfigurationHead:
    """Applies the declaration in a directory atomically, without routers.

    Raises:
        errors.DeclarationError: the declaration is invalid; nothing is applied.
        errors.ConflictError: another apply came first.
        errors.PlatformError: the key-value service did not respond.
    """
    declared = declaration.load(directory)
    operator = Operator(
        CommandOptions(address, expected_generation=expected_generation)
    )
    try:
        return await operator.apply(declared)
    finally:
        await operator.close()


async def read_status(routers: RouterAccess) -> list[status.RouterStatus]:
    """Returns the status of every router that responds.

    Raises:
        errors.NutmegError: no router responds.
    """
    admin = AdminClient(routers)
    try:
        return await admin.read_status()
    finally:
        await admin.close()


async def drain(routers: RouterAccess, vm: str) -> None:
    """Drains a VM: it accepts no new work.

    Raises:
        errors.NutmegError: no router responds or has a connection to the VM.
    """
    admin = AdminClient(routers)
    try:
        await admin.drain(vm)
    finally:
        await admin.close()
