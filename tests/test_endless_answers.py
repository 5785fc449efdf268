"""The router's and agent's own HTTP clients, and answers without end."""

import asyncio
import tracemalloc
import unittest
from unittest import mock

from nutmeglift import backend
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_agent import http_backend
from nutmeglift_agent import http_engine
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import http_client
from nutmeglift_wire import vm_list
from tests.gateway import endless

TIMEOUT_SECONDS = 1.0
BODY_BYTES = 1024 * 1024
"""Limit on a body in these tests."""
MAX_PEAK_BYTES = 8 * 1024 * 1024
HUGE_CHUNK = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n",
    b"x",
)
CASES = {
    "headers": endless.HEAD_CASES["headers"],
    "header line": endless.HEAD_CASES["header line"],
    "reason phrase": endless.HEAD_CASES["reason phrase"],
    "chunk extension": endless.FRAMING_CASES["chunk extension"],
    "chunk size": endless.FRAMING_CASES["chunk size"],
    "length": endless.BODY_CASES["length"],
    "chunks": endless.BODY_CASES["chunks"],
    "a chunk": HUGE_CHUNK,
}


async def _call_plain(address):
    service = http_backend.HttpPlainBackend(address)
    request = backend.PlainRequest("POST", "/", (), b"x")
    await service.call(request, TIMEOUT_SECONDS)


async def _call_engine(address):
    client = http_engine.HttpEngine(address, TIMEOUT_SECONDS)
    try:
        await client.load()
    finally:
        await client.close()


async def _read_vms(address):
    client = vm_list.HttpVmList(address, TIMEOUT_SECONDS)
    try:
        await client.read()
    finally:
        await client.close()


async def _read_store(address):
    client = etcd_kv.EtcdKv(address, TIMEOUT_SECONDS)
    try:
        await client.range(kv.Get("a", True))
    finally:
        await client.close()


async def _watch_store(address):
    client = etcd_kv.EtcdKv(address, TIMEOUT_SECONDS)
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            async for _ in client.watch("a", start=ids.Revision(1)):
                pass
    finally:
        await client.close()


CLIENTS = {
    "plain service": (_call_plain, errors.OutcomeUnknownError),
    "engine": (_call_engine, errors.StageFailedError),
    "VM list": (_read_vms, errors.PlatformError),
    "store": (_read_store, errors.KvAnswerLostError),
    "watch": (_watch_store, errors.KvUnavailableError),
}


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_without_end_fails_before_it_uses_memory(self):
        patcher = mock.patch.object(http_client, "MAX_BODY_BYTES", BODY_BYTES)
        patcher.start()
        self.addCleanup(patcher.stop)
        for client, (call, error) in CLIENTS.items():
            for name, case in CASES.items():
                with self.subTest(client, where=name):
                    await self._check(call, error, case)

    async def _check(self, call, error, case):
        server = await endless.EndlessServer(*case).start()
        self.addCleanup(server.close)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(error) as raised:
            await call(server.address)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(peak, MAX_PEAK_BYTES)
        self.assertNotIn("Timeout", str(raised.exception))
        await asyncio.wait_for(server.ended.wait(), TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()
