"""A short run of the fault soak test; longer ones are run manually."""

import asyncio
import os
import random
import socket
import struct
import subprocess
import sys
import time
import unittest

from nutmeglift import kv
from tests.soak import abandoned
from tests.soak import backend
from tests.soak import callers
from tests.soak import configs
from tests.soak import connection
from tests.soak import faults
from tests.soak import payloads
from tests.soak import routers
from tests.soak import soak_run
from tests.soak import unanswered

SEED = 1
SECONDS = 20.0
DRILL_FAULTS = ("drill_store", "change_config")
STOP_FAULTS = ("stop_starting_routers", "send_signals", "change_config")


class SoakTest(unittest.TestCase):
    def test_guarantees_hold_under_faults(self):
        result = asyncio.run(soak_run.run_seed(SEED, SECONDS))
        self.assertEqual(result.problems, [])
        self.assertGreater(
            result.served, result.sent * soak_run.MIN_SERVED_RATIO
        )

    def test_configurations_are_in_force_beside_drills(self):
        result = asyncio.run(
            soak_run.run_seed(SEED, SECONDS, fault_names=DRILL_FAULTS)
        )
        self.assertEqual(result.problems, [])
        self.assertGreater(len(result.findings.delays), 0)

    def test_planned_stops_in_series_and_beside_each_other(self):
        result = asyncio.run(
            soak_run.run_seed(SEED, SECONDS, fault_names=STOP_FAULTS)
        )
        self.assertEqual(result.problems, [])
        self.assertGreater(result.served, 0)

    def test_no_port_is_reserved_twice(self):
        reserved = routers.reserve_ports(500)
        try:
            ports = {sock.getsockname()[1] for sock in reserved}
            self.assertEqual(len(ports), len(reserved))
        finally:
            for sock in reserved:
                sock.close()

    def test_an_ended_process_has_no_status(self):
        process = subprocess.Popen([sys.executable, "-c", ""])
        process.wait()
        self.assertIn("SigIgn", routers.process_status(os.getpid()))
        self.assertEqual(routers.process_status(process.pid), {})


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_half_close_after_a_reset_is_no_response(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            caller = connection.Connection(1, "router-0", slow=False)
            await caller.open(f"127.0.0.1:{port}")
            accepted, _ = listener.accept()
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            accepted.close()
            # The event loop does not see the reset before the half-close.
            time.sleep(0.1)  # noqa: ASYNC251
            caller.write(b"", half_close=True)
            with self.assertRaises(connection.IncompleteResponseError):
                await caller.read_response()
            caller.close()


class _IdleRouter:
    """A router without disruptions or signals, and with an empty log."""

    vm = "router-0"
    disruptions = ()
    terminated_at = ()
    waits = ()

    def log(self):
        return ""


def _stream(ended_at):
    """Returns a stream whose connection was closed at a time."""
    return callers.Sent(
        id="stream-1",
        kind="stream",
        key="key-1",
        vm=_IdleRouter.vm,
        connection=1,
        style=callers.Style.PLAIN,
        behind=None,
        on_idle=False,
        sent_at=0.0,
        ended_at=ended_at,
        ending=callers.Ending.CLOSED,
        started=True,
    )


# For each run its start, its end and whether its server broke off; whether the
# end of the stream is excused.
STREAM_RUNS = (
    ("broke off", [(0.1, 1.0, True)], True),
    ("went on", [(0.1, 1.0, False)], False),
    (
        "broke off after superseding its successor",
        [(0.1, 1.0, True), (0.8, 0.9, False)],
        True,
    ),
    (
        "went on after its successor broke off",
        [(0.1, 1.0, False), (0.8, 0.9, True)],
        False,
    ),
    (
        "broke off before its successor went on",
        [(0.1, 0.8, True), (0.8, 1.0, False)],
        False,
    ),
)


class UnansweredCheckTest(unittest.TestCase):
    def test_a_stream_is_excused_if_its_last_run_broke_off(self):
        for name, runs, excused in STREAM_RUNS:
            with self.subTest(name):
                record = backend.Record()
                record.runs_by_id["stream-1"] = [
                    backend.Run("model-1", backend.Fault.NONE, *run)
                    for run in runs
                ]
                writer = configs.ConfigWriter(None, None, None)
                writer.written.append(configs.Written(-10.0, {"stream": 5.0}))
                check = unanswered.UnansweredCheck(
                    record, writer, [_IdleRouter()]
                )
                check.check(_stream(ended_at=1.0))
                self.assertEqual(check.problems == [], excused)


# Waits of the router and lags of the soak; whether a late response is excused.
STARVATION = (
    ("none", (), (), False),
    ("router", ((1.0, 0.3), (3.0, 0.2)), (), True),
    ("both", ((1.0, 0.3),), ((2.0, 0.2),), True),
    ("too short", ((1.0, 0.2),), ((2.0, 0.2),), False),
    ("before", ((-0.1, 2.0),), (), False),
    ("still waiting at its end", ((3.6, 2.0),), (), True),
    ("soak still late at its end", (), ((3.6, 2.0),), True),
    ("just before its end", ((5.3, 2.0),), (), False),
    ("mostly before it was sent", ((0.3, 2.0),), (), False),
    ("after", (), ((5.6, 2.0),), False),
)


class StarvationTest(unittest.TestCase):
    def test_only_a_late_response_without_a_processor_is_excused(self):
        for name, waits, lags, excused in STARVATION:
            for ending in (callers.Ending.NO_RESPONSE, callers.Ending.CLOSED):
                with self.subTest(name, ending=ending):
                    self.check(waits, lags, ending, excused)

    def check(self, waits, lags, ending, excused):
        router = _IdleRouter()
        router.waits = waits
        writer = configs.ConfigWriter(None, None, None)
        writer.written.append(configs.Written(-10.0, {"stream": 5.0}))
        check = unanswered.UnansweredCheck(
            backend.Record(), writer, [router], lags
        )
        closed = ending is callers.Ending.CLOSED
        sent = _stream(ended_at=2.8 if closed else 3.5)
        sent.ending = ending
        check.check(sent)
        self.assertEqual(check.problems == [], excused and not closed)


# Time-out of the route and time of the cut, in seconds after the request was
# sent; whether the missing end of a slowly read response is excused.
CUTS = (
    (5.0, None, True),
    (5.0, 3.16, True),
    (5.0, 2.5, False),
    (1.5, 1.66, True),
    (1.5, 1.2, False),
)


class SlowCallerTest(unittest.TestCase):
    def test_a_stream_may_be_cut_at_its_deadline_only(self):
        for timeout, seconds, excused in CUTS:
            with self.subTest(timeout=timeout, seconds=seconds):
                router = _IdleRouter()
                if seconds is not None:
                    line = (
                        '{"event":"stream cut","vm":"router-0",'
                        f'"request":"stream-1","seconds":{seconds}}}'
                    )
                    router.log = lambda line=line: line
                record = backend.Record()
                record.runs_by_id["stream-1"] = [
                    backend.Run("model-1", backend.Fault.NONE, 0.1, 1.0)
                ]
                writer = configs.ConfigWriter(None, None, None)
                writer.written.append(
                    configs.Written(-10.0, {"stream": timeout})
                )
                check = unanswered.UnansweredCheck(record, writer, [router])
                sent = _stream(ended_at=3.5)
                sent.ending = callers.Ending.NO_RESPONSE
                sent.style = callers.Style.SLOW
                check.check(sent)
                self.assertEqual(check.problems == [], excused)


class LeavingServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.record = backend.Record()
        self.memory = kv.MemoryKv()
        self.server = backend.Server(
            self.record, self.memory, "model-1", "model", "big"
        )
        await self.server.start()

    async def asyncTearDown(self):
        await self.server.exit(0)

    async def _open_stream(self, size):
        """Requests a stream; returns its reader once it has begun."""
        host, _, port = self.server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            f"POST /stream/{size} HTTP/1.1\r\nx-attempt-id: stream-1\r\n"
            "x-expect-instance: model-1\r\n"
            f"x-hop-count: {self.server.address}=0-80\r\n\r\n".encode()
        )
        await reader.readuntil(b"id: 1\n")
        return reader

    async def test_a_server_without_an_entry_serves_on(self):
        await self.server.change_entry(backend.EntryState.REMOVED)
        self.assertIsNone(await self.memory.get("servers/model-1"))
        reader = await self._open_stream("small")
        await self.server.exit(5.0)
        self.assertTrue((await reader.read()).endswith(backend.LAST_CHUNK))
        (run,) = self.record.runs_by_id["stream-1"]
        self.assertTrue(run.is_complete)
        self.assertFalse(run.has_broken_off)

    async def test_an_exit_breaks_off_what_still_runs(self):
        reader = await self._open_stream(payloads.LONG)
        await self.server.exit(0.1)
        with self.assertRaises(ConnectionResetError):
            while await reader.read(65536):
                pass
        (run,) = self.record.runs_by_id["stream-1"]
        self.assertFalse(run.is_complete)
        self.assertTrue(run.has_broken_off)

    async def test_orders_do_not_restore_a_removed_entry(self):
        await self.server.change_entry(backend.EntryState.REMOVED)
        order = b'{"operation":"place","expected":0,"from":0,"target":20}'
        host, _, port = self.server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            b"POST /v1/order HTTP/1.1\r\ncontent-length: %d\r\n\r\n%b"
            % (len(order), order)
        )
        self.assertIn(b" 202 ", await reader.readuntil(b"\r\n\r\n"))
        self.assertIsNone(await self.memory.get("servers/model-1"))


# For each run its start, its end, whether its server broke off, whether it was
# complete and its first event; whether the first run counts as abandoned.
ABANDONED_RUNS: tuple[tuple[str, list[tuple[float, ...]], bool], ...] = (
    ("complete", [(0.1, 1.0, False, True, 0.15)], False),
    ("ended with the request", [(0.1, 1.0, False, False, 0.15)], False),
    (
        "broke off",
        [(0.1, 0.5, True, False, 0.15), (0.6, 1.0, False, True, 0.65)],
        False,
    ),
    (
        "superseded",
        [(0.1, 0.7, False, False, 0.15), (0.6, 1.0, False, True, 0.65)],
        False,
    ),
    (
        "superseded its successor",
        [(0.1, 1.0, False, True, 0.15), (0.6, 0.7, False, False, 0.65)],
        False,
    ),
    (
        "superseded by a run that completed the stream at once",
        [(0.1, 0.7, False, False, 0.15), (0.6, 0.69, False, True, 0.65)],
        False,
    ),
    (
        "superseded by a run that did not complete the stream",
        [(0.1, 0.7, False, False, 0.15), (0.6, 0.69, False, False, 0.65)],
        True,
    ),
    (
        "ended before its successor",
        [(0.1, 0.5, False, False, 0.15), (0.6, 1.0, False, True, 0.65)],
        True,
    ),
    (
        "ended before its successor's first event",
        [(0.1, 0.62, False, False, 0.15), (0.6, 1.0, False, True, 0.65)],
        True,
    ),
    ("ended without a successor", [(0.1, 0.5, False, False, 0.15)], True),
)


class AbandonedRunTest(unittest.TestCase):
    def test_a_sound_run_may_only_end_beside_another_one(self):
        for name, rows, is_abandoned in ABANDONED_RUNS:
            with self.subTest(name):
                runs = [
                    backend.Run("model-1", backend.Fault.NONE, *row)
                    for row in rows
                ]
                sent = _stream(ended_at=1.0)
                expected = runs[:1] if is_abandoned else []
                self.assertEqual(abandoned.find(sent, runs, 3.0), expected)
                self.assertEqual(abandoned.find(sent, runs, 0.5), [])


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    async def test_enough_servers_of_each_service_remain(self):
        for service, count, min_remaining in (
            ("core", 3, 1),
            ("model", 6, configs.MIN_RUNNERS),
        ):
            with self.subTest(service):
                system = soak_run.System(random.Random(1), soak_run.Size())
                system.servers = [
                    backend.Server(
                        system.record, kv.MemoryKv(), str(n), service
                    )
                    for n in range(count)
                ]
                for server in system.servers:
                    await server.start()
                injector = faults.Injector(random.Random(1), system)
                leaving = [
                    asyncio.ensure_future(injector._leave_servers())
                    for _ in range(5)
                ]
                remaining_counts = []
                for _ in range(20):
                    await asyncio.sleep(0.1)
                    leaving_count = sum(
                        server.lifetime_lock.locked()
                        for server in system.servers
                    )
                    remaining_counts.append(count - leaving_count)
                self.assertEqual(min(remaining_counts), min_remaining)
                for task in leaving:
                    task.cancel()
                await asyncio.wait(leaving)
                for server in system.servers:
                    await server.exit(0)


if __name__ == "__main__":
    unittest.main()
