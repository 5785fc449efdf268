"""The operators' commands, apart from their output."""

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
from nutmeglift import difference
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import status
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import http_client

APPLY_ID_BYTES = 12
TIMEOUT_SECONDS = 5.0
WAIT_INTERVAL_SECONDS = 0.25
POOL_SIZE = 4
HTTP_OK = 200
TOKEN_VARIABLE = "NUTMEGLIFT_TOKEN"

T = TypeVar("T")


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a command's work to its end."""
    return asyncio.run(work)


@dataclasses.dataclass(frozen=True)
class Routers:
    """Where an operator reaches routers.

    Attributes:
        addresses: HTTP addresses.
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
    """Talks to the operators' interface of routers."""

    def __init__(self, routers: Routers) -> None:
        self._routers = routers
        self._client = http_client.make(POOL_SIZE)

    async def read_status(self) -> list[status.RouterStatus]:
        """Returns the status of every router that answers.

        Raises:
            errors.PlatformError: none answers.
            errors.RefusedError: a router refuses.
        """
        found = await asyncio.gather(
            *(self._status(address) for address in self._routers.addresses),
            return_exceptions=True,
        )
        answered = [f for f in found if isinstance(f, status.RouterStatus)]
        failures = [f for f in found if isinstance(f, BaseException)]
        if failures and not answered:
            raise failures[0]
        return answered

    async def drain(self, vm: str) -> None:
        """Tells a VM to take no new work, by the first router that can.

        Raises:
            errors.PlatformError: no router answers.
            errors.RefusedError: no router has a connection to the VM.
        """
        last: errors.NutmegError = errors.UsageError("no router was named")
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
                timeouts=http_client.make_timeouts(TIMEOUT_SECONDS),
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
class Command:
    """What apply and rollback have in common.

    Attributes:
        key_value: address of the key-value service.
        routers: the routers to ask for the newest generation.
        expected: generation that it must follow, or None for any.
        wait_seconds: how long to wait for acknowledgements; 0 for not.
    """

    key_value: str
    routers: Routers = Routers()
    expected: int | None = None
    wait_seconds: float = 0.0


class Operator:
    """Runs an operator's commands."""

    def __init__(self, command: Command) -> None:
        self._command = command
        self._store = etcd_kv.EtcdKv(command.key_value, TIMEOUT_SECONDS)
        self._admin = AdminClient(command.routers)
        self._applier = configuration_apply.Applier(self._store, asyncio.sleep)

    async def apply(
        self, declared: declaration.Declaration
    ) -> control_messages.ConfigurationHead:
        """Applies a declaration as a whole.

        Raises:
            errors.ConflictError: another apply came first.
            errors.PlatformError: a service gave no answer.
        """
        return await self._applier.apply(declared, await self._prepare())

    async def roll_back(
        self, generation: int
    ) -> control_messages.ConfigurationHead:
        """Applies an older generation's content as a new generation.

        Raises:
            errors.UsageError: that generation is not kept.
            errors.NutmegError: as apply.
        """
        return await self._applier.roll_back(
            ids.Generation(generation), await self._prepare()
        )

    async def plan(
        self, declared: declaration.Declaration
    ) -> list[difference.Change]:
        """Returns what an apply would change.

        Raises:
            errors.PlatformError: the service gave no answer.
        """
        return await self._applier.plan(declared)

    async def history(self, limit: int) -> list[audit.AuditEntry]:
        """Returns the newest entries of the audit trail.

        Raises:
            errors.PlatformError: the service gave no answer.
        """
        return await audit.read(self._store, limit)

    async def wait(
        self, head: control_messages.ConfigurationHead
    ) -> list[ids.VmId]:
        """Waits until every process acknowledged a generation.

        Returns:
            Those that did not in time.

        Raises:
            errors.NutmegError: no router answers.
        """
        ends_at = time.monotonic() + self._command.wait_seconds
        while True:
            found = await self._admin.read_status()
            behind = status.find_behind(found, head.generation)
            if not behind or time.monotonic() >= ends_at:
                return behind
            await asyncio.sleep(WAIT_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Closes all connections."""
        await self._store.close()
        await self._admin.close()

    async def _prepare(self) -> configuration_apply.Applying:
        found: list[status.RouterStatus] = []
        if self._command.routers.addresses:
            found = await self._admin.read_status()
        heads = [router.head for router in found]
        expected = self._command.expected
        return configuration_apply.Applying(
            ids.ApplyId(secrets.token_hex(APPLY_ID_BYTES)),
            author=found[0].operator if found else getpass.getuser(),
            time=time.time(),
            expected=None if expected is None else ids.Generation(expected),
            known=max([configuration.NO_HEAD, *heads], key=configuration.order),
        )


async def apply(
    address: str, directory: pathlib.Path, expected: int | None
) -> control_messages.ConfigurationHead:
    """Applies a directory as a whole, without asking any router.

    Raises:
        errors.DeclarationError: the set is wrong; nothing is applied.
        errors.ConflictError: another apply came first.
        errors.PlatformError: the key-value service gave no answer.
    """
    declared = declaration.load(directory)
    operator = Operator(Command(address, expected=expected))
    try:
        return await operator.apply(declared)
    finally:
        await operator.close()


async def read_status(routers: Routers) -> list[status.RouterStatus]:
    """Returns the status of every router that answers.

    Raises:
        errors.NutmegError: none answers.
    """
    admin = AdminClient(routers)
    try:
        return await admin.read_status()
    finally:
        await admin.close()


async def drain(routers: Routers, vm: str) -> None:
    """Tells a VM to take no new work.

    Raises:
        errors.NutmegError: no router answers or has a connection to it.
    """
    admin = AdminClient(routers)
    try:
        await admin.drain(vm)
    finally:
        await admin.close()
