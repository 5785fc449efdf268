import asyncio
import socket
import unittest
from unittest import mock

from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import http_call
from nutmeglift_gateway import metrics
from nutmeglift_gateway import reachability
from nutmeglift_gateway import suspect_servers
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import virtual_time_case


class UnresponsiveHost:
    """Neither accepts nor refuses connections: its accept queue is full."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._queued_clients = []
        for _ in range(4):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((host, port))
            self._queued_clients.append(client)

    def close(self):
        for open_socket in [*self._queued_clients, self._listener]:
            open_socket.close()


class ReachabilityTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.board = rig.make_board()
        self.log = rig.MemoryLog()
        self.checker = reachability.ReachabilityChecker(
            failure_recorder.FailureRecorder(
                self.board, self.log, metrics.Metrics()
            ),
            self.log,
        )
        self.unresponsive = UnresponsiveHost()
        self.addCleanup(self.unresponsive.close)
        self.responsive = [
            await stand_ins.ScriptedServer(stand_ins.healthy).start()
            for _ in range(2)
        ]
        for server in self.responsive:
            self.addCleanup(server.close)
        for number, address in enumerate(
            [self.unresponsive.address, *(s.address for s in self.responsive)]
        ):
            self.board.directory.put(
                0.0, rig.make_server(f"s{number}", address=address)
            )

    async def wait_until(self, check):
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while not check():  # noqa: ASYNC110 - over the network.
                await asyncio.sleep(0.01)

    async def test_an_unresponsive_runner_among_others_is_suspect(self):
        addresses = {
            self.unresponsive.address,
            *(s.address for s in self.responsive),
        }

        def has_suspects():
            # A check whose event loop ran late is inconclusive and is repeated.
            self.checker.check(asyncio.get_running_loop().time(), addresses)
            return bool(self.board.suspect_servers.suspects())

        await self.wait_until(has_suspects)
        self.assertEqual(
            list(self.board.suspect_servers.suspects()),
            [self.unresponsive.address],
        )
        self.assertEqual(
            self.board.suspect_servers.reason(self.unresponsive.address),
            suspect_servers.Reason.UNREACHABLE,
        )

    async def test_a_lost_packet_does_not_make_a_runner_suspect(self):
        connect = http_call.connect
        lost = {s.address for s in self.responsive}

        async def lose_the_first(address, timeout):
            if address in lost:
                lost.discard(address)
                await asyncio.sleep(timeout)
                raise http_call.CallError(
                    http_call.CallFailure.NOT_CONNECTED, False, address
                )
            return await connect(address, timeout)

        with mock.patch.object(http_call, "connect", lose_the_first):
            self.checker.check(
                asyncio.get_running_loop().time(),
                {s.address for s in self.responsive},
            )
            await asyncio.sleep(0.1)
        self.assertEqual(lost, set())
        self.assertEqual([s.accepted_count for s in self.responsive], [1, 1])
        self.assertEqual(self.board.suspect_servers.suspects(), {})

    async def test_runners_that_answer_are_not_rechecked_at_once(self):
        addresses = {s.address for s in self.responsive}
        for now in (10.0, 10.1, 10.2):
            self.checker.check(now, addresses)
        await self.wait_until(
            lambda: all(s.accepted_count == 1 for s in self.responsive)
        )
        await asyncio.sleep(0.1)
        self.assertEqual(
            [s.accepted_count for s in self.responsive],
            [1] * len(self.responsive),
        )
        self.assertEqual(self.board.suspect_servers.suspects(), {})


if __name__ == "__main__":
    unittest.main()
