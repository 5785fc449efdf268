"""HTTP server of a fake VM list of the platform."""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from nutmeglift_wire import vm_list


class VmListServer:
    """ASGI application that serves an in-memory VM list."""

    def __init__(self, entries: vm_list.MemoryVmList) -> None:
        self._entries = entries
        self.app = applications.Starlette(
            routes=[routing.Route("/v1/vms", self._list)]
        )

    async def _list(self, request: requests.Request) -> responses.Response:
        vms = [
            {
                "name": entry.vm,
                "address": entry.address,
                "failure_domain": entry.failure_domain,
                "backend_class": entry.backend_class,
                "state": "leaving" if entry.leaving else "live",
            }
            for entry in await self._entries.read()
        ]
        return responses.JSONResponse({"vms": vms})
