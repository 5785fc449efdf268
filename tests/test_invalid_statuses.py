"""The product's own HTTP clients, and statuses that HTTP doesn't have."""

import asyncio
import unittest

from nutmeglift import errors
from nutmeglift_agent import http_engine
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import vm_list

TIMEOUT_SECONDS = 2.0
STATUSES = ("000", "099", "101", "600")
CLIENTS = {
    # name: call to an address, error that it raises
    "engine": (
        lambda address: http_engine.HttpEngine(address, TIMEOUT_SECONDS).load(),
        errors.StageFailedError,
    ),
    "key-value service": (
        lambda address: etcd_kv.EtcdKv(address, TIMEOUT_SECONDS).get("a"),
        errors.PlatformError,
    ),
    "VM list": (
        lambda address: vm_list.HttpVmList(address, TIMEOUT_SECONDS).read(),
        errors.PlatformError,
    ),
}


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_takes_it_for_no_answer(self):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                f"HTTP/1.1 {self.status} X\r\ncontent-length: 2\r\n\r\n"
                "{}".encode()
            )

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for self.status in STATUSES:
            for name, (call, error) in CLIENTS.items():
                with (
                    self.subTest(name, status=self.status),
                    self.assertRaisesRegex(error, "invalid status|switched"),
                ):
                    await call(address)


if __name__ == "__main__":
    unittest.main()
