"""Tests of the key-value client against a fake of the HTTP gateway."""

import asyncio
import contextlib
import unittest

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import states
from nutmeglift_fakes import kv_server
from nutmeglift_router import ledger_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import http_server
from nutmeglift_wire import metrics

ANY_PORT = "127.0.0.1:0"
TIMEOUT_SECONDS = 1.0


class DroppingProxy:
    """TCP proxy that can drop answers.

    Attributes:
        drop_answers: number of further answers to drop after their requests
            have been forwarded.
        address: the address on which it listens.
    """

    def __init__(self, target: str) -> None:
        self.drop_answers = 0
        self.address = ""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def drop_connections(self) -> None:
        """Closes all open connections."""
        for writer in self._writers:
            writer.close()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            *self._target
        )
        self._writers += [writer, upstream_writer]
        forwarding = asyncio.ensure_future(
            self._forward(reader, upstream_writer)
        )
        try:
            while part := await upstream_reader.read(65536):
                if self.drop_answers > 0:
                    self.drop_answers -= 1
                    break
                writer.write(part)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            forwarding.cancel()
            writer.close()
            upstream_writer.close()

    async def _forward(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(65536):
                writer.write(part)
                await writer.drain()


class EtcdKvTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.memory = kv.MemoryKv()
        self.server = http_server.HttpServer(
            kv_server.KvServer(self.memory).app
        )
        address = await self.server.start(ANY_PORT)
        self.proxy = DroppingProxy(address)
        await self.proxy.start()
        self.store = etcd_kv.EtcdKv(self.proxy.address, TIMEOUT_SECONDS)

    async def asyncTearDown(self):
        self.memory.set_down(True)
        await self.store.close()
        self.proxy.drop_connections()
        self.proxy.stop()
        await self.server.stop()

    async def test_transactions_and_ranges(self):
        done = await self.store.txn(
            [kv.Compare("/a", kv.NEVER_WRITTEN)],
            [kv.Put("/a", b"\x00\xff"), kv.Put("/b", b"2")],
            [kv.Get("/a")],
        )
        self.assertTrue(done.succeeded)
        failed = await self.store.txn(
            [kv.Compare("/a", kv.NEVER_WRITTEN)],
            [kv.Put("/a", b"other")],
            [kv.Get("/a"), kv.Get("/none"), kv.Get("/", prefix=True)],
        )
        self.assertFalse(failed.succeeded)
        first, none, both = failed.found
        self.assertEqual(first, [kv.KeyValue("/a", b"\x00\xff", done.revision)])
        self.assertEqual(none, [])
        self.assertEqual([e.key for e in both], ["/a", "/b"])
        await self.store.txn([], [kv.Delete("/", prefix=True)])
        self.assertEqual(await self.store.range(kv.Get("/", prefix=True)), [])

    async def test_reads_newest_first_and_limited(self):
        for name in "abc":
            await self.store.txn([], [kv.Put(f"/{name}", b"")])
        found = await self.store.range(
            kv.Get("/", prefix=True, limit=2, newest_first=True)
        )
        self.assertEqual([e.key for e in found], ["/c", "/b"])

    async def test_leases(self):
        lease = await self.store.grant(1.5)
        await self.store.txn([], [kv.Put("/held", b"x", lease)])
        entry = await self.store.get("/held")
        self.assertEqual(entry.lease, lease)
        self.assertEqual(await self.store.keep_alive(lease), 2.0)
        await self.store.revoke(lease)
        self.assertIsNone(await self.store.get("/held"))
        self.assertEqual(await self.store.keep_alive(lease), 0.0)

    async def test_watches(self):
        result = await self.store.txn([], [kv.Put("/w/a", b"1")])
        changes = self.store.watch(
            "/w/", prefix=True, start=ids.Revision(result.revision + 1)
        )
        waiting = asyncio.ensure_future(anext(changes))
        await asyncio.sleep(0.05)
        await self.store.txn([], [kv.Put("/other", b"1")])
        await self.store.txn([], [kv.Put("/w/b", b"2")])
        (event,) = await asyncio.wait_for(waiting, 2.0)
        self.assertEqual(
            (event.kind, event.entry.key, event.entry.value),
            (kv.WatchKind.PUT, "/w/b", b"2"),
        )
        await self.store.txn([], [kv.Delete("/w/b")])
        (event,) = await asyncio.wait_for(anext(changes), 2.0)
        self.assertEqual(event.kind, kv.WatchKind.DELETE)
        self.memory.set_down(True)
        with self.assertRaises(errors.KvUnavailableError):
            await asyncio.wait_for(anext(changes), 2.0)

    async def test_lost_answer_is_distinguished_from_a_failed_write(self):
        await self.store.get("/warm")
        self.proxy.drop_answers = 1
        with self.assertRaises(errors.KvAnswerLostError):
            await self.store.txn(
                [kv.Compare("/a", kv.NEVER_WRITTEN)], [kv.Put("/a", b"1")]
            )
        self.assertEqual((await self.store.get("/a")).value, b"1")
        self.assertEqual(self.memory.transactions, 1)
        self.proxy.stop()
        unreachable = etcd_kv.EtcdKv(self.proxy.address, TIMEOUT_SECONDS)
        with self.assertRaises(errors.KvUnavailableError):
            await unreachable.txn([], [kv.Put("/b", b"1")])
        await unreachable.close()

    async def test_answer_after_the_timeout_counts_as_lost(self):
        self.memory.delay = 0.3
        short_timeout = etcd_kv.EtcdKv(self.proxy.address, 0.1)
        with self.assertRaises(errors.KvAnswerLostError):
            await short_timeout.txn([], [kv.Put("/a", b"1")])
        await short_timeout.close()
        await asyncio.sleep(0.4)
        self.assertEqual((await self.memory.get("/a")).value, b"1")

    async def test_ledger_reads_back_claims_whose_answers_were_lost(self):
        """The answers to a claim and a conflicting one are lost over HTTP."""
        ledgers = [
            ledger_controller.LedgerController(
                store=etcd_kv.EtcdKv(self.proxy.address, TIMEOUT_SECONDS),
                clock=clocks.LoopClock(),
                metrics=metrics.NoMetrics(),
            )
            for _ in range(2)
        ]
        claims = [_make_claim(name) for name in ("one", "two")]
        self.proxy.drop_answers = 2
        results = []
        for own, claim in zip(ledgers, claims, strict=True):
            results.append(await own.write("/c", kv.NEVER_WRITTEN, claim))
            self.proxy.drop_answers = 2
        entry = await self.memory.get("/c")
        self.assertEqual(codec.decode_as(entry.value, ledger.Claim), claims[0])
        self.assertEqual(results[0].revision, entry.mod_revision)
        self.assertEqual(results[1].found, entry)
        for own in ledgers:
            await own.stop()
            await own._store.close()


class InvalidAnswerTest(unittest.IsolatedAsyncioTestCase):
    ANSWERS = {
        "no JSON": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\noops",
        "server error": b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n",
        "no HTTP": b"\x00\x01\x02\r\n\r\n",
    }

    async def test_write_with_an_invalid_answer_may_have_taken_effect(self):
        for name, answer in self.ANSWERS.items():

            async def serve(reader, writer, answer=answer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            store = etcd_kv.EtcdKv(f"127.0.0.1:{port}", TIMEOUT_SECONDS)
            with (
                self.subTest(name),
                self.assertRaises(errors.KvAnswerLostError),
            ):
                await store.txn([], [kv.Put("a", b"1")])
            await store.close()
            server.close()


def _make_claim(request: str) -> ledger.Claim:
    return ledger.Claim(
        states.ClaimState.CLAIMED,
        ids.RequestId(request),
        ids.Attempt(1),
        ids.Digest("d"),
        ids.VmId("core-1"),
        ids.Incarnation("core-1-1"),
        "127.0.0.1:1",
        0.0,
    )


if __name__ == "__main__":
    unittest.main()
