"""Client and in-memory fake of the platform's VM list, which may lag."""

import abc
import asyncio
import json

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import plan
from nutmeglift_wire import http_client

HTTP_OK = 200


class BaseVmList(abc.ABC):
    """Reads the VM list."""

    @abc.abstractmethod
    async def read(self) -> list[plan.VmEntry]:
        """Returns the VMs as the platform reports them now.

        Raises:
            errors.PlatformError: the list is unavailable.
        """


class MemoryVmList(BaseVmList):
    """A VM list in memory whose changes become visible with a lag.

    Attributes:
        lag: seconds until a change becomes visible.
        down: whether reads fail.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self.lag = lag
        self.down = False
        self._entry_by_vm: dict[ids.VmId, plan.VmEntry] = {}
        self._visible_by_vm: dict[ids.VmId, plan.VmEntry] = {}

    def put(self, entry: plan.VmEntry) -> None:
        """Adds or changes a VM."""
        self._entry_by_vm[entry.vm] = entry
        self._schedule_update(entry.vm)

    def remove(self, vm: ids.VmId) -> None:
        """Removes a VM."""
        self._entry_by_vm.pop(vm, None)
        self._schedule_update(vm)

    async def read(self) -> list[plan.VmEntry]:
        """Returns the visible entries."""
        if self.down:
            raise errors.PlatformError("the VM list is unavailable")
        return list(self._visible_by_vm.values())

    def _schedule_update(self, vm: ids.VmId) -> None:
        if self.lag == 0:
            self._update_visible(vm)
            return
        asyncio.get_running_loop().call_later(
            self.lag, self._update_visible, vm
        )

    def _update_visible(self, vm: ids.VmId) -> None:
        entry = self._entry_by_vm.get(vm)
        if entry is None:
            self._visible_by_vm.pop(vm, None)
            return
        self._visible_by_vm[vm] = entry


class HttpVmList(BaseVmList):
    """HTTP client of the platform's VM list."""

    def __init__(self, address: str, timeout: float) -> None:
        self._address = address
        self._timeout = timeout
        self._client = http_client.make(1)

    async def read(self) -> list[plan.VmEntry]:
        """Fetches the list over HTTP."""
        try:
            response = await self._client.get(
                f"http://{self._address}/v1/vms",
                timeouts=http_client.make_timeouts(self._timeout),
            )
            text = await response.content()
        except http_client.ERRORS as error:
            raise errors.PlatformError(f"VM list: {error!r}") from error
        if response.status_code != HTTP_OK:
            raise errors.PlatformError(f"VM list: HTTP {response.status_code}")
        return [_parse_entry(found) for found in json.loads(text)["vms"]]

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()


def _parse_entry(found: dict[str, str]) -> plan.VmEntry:
    return plan.VmEntry(
        ids.VmId(found["name"]),
        found["address"],
        ids.FailureDomain(found["failure_domain"]),
        found.get("backend_class"),
        found.get("state") == "leaving",
    )
