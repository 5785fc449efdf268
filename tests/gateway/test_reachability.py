import asyncio
import socket
import unittest

from nutmeglift_gateway import failure_recorder
from nutmeglift_gateway import metrics
from nutmeglift_gateway import reachability
from nutmeglift_gateway import suspect_servers
from tests.gateway import rig
from tests.gateway import stand_ins


class DarkHost:
    """Takes no connection, and does not refuse any: its queue is full."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, port))
            self._fillers.append(filler)

    def close(self):
        for each in [*self._fillers, self._listener]:
            each.close()


class ReachabilityTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.board = rig.make_board()
        self.log = rig.MemoryLog()
        self.checks = reachability.ReachabilityChecker(
            failure_recorder.FailureRecorder(
                self.board, self.log, metrics.Metrics()
            ),
            self.log,
        )
        self.dark = DarkHost()
        self.addCleanup(self.dark.close)
        self.alive = [
            await stand_ins.ScriptedServer(stand_ins.sound).start()
            for _ in range(2)
        ]
        for server in self.alive:
            self.addCleanup(server.close)
        for number, address in enumerate(
            [self.dark.address, *(s.address for s in self.alive)]
        ):
            self.board.directory.put(
                0.0, rig.make_server(f"s{number}", address=address)
            )

    async def until(self, check):
        async with asyncio.timeout(stand_ins.WAIT_SECONDS):
            while not check():  # noqa: ASYNC110 - over the network.
                await asyncio.sleep(0.01)

    async def test_a_dark_runner_among_others_is_suspect(self):
        addresses = {self.dark.address, *(s.address for s in self.alive)}

        def found():
            # A loop that ran late says nothing, and is asked again.
            self.checks.check(asyncio.get_running_loop().time(), addresses)
            return bool(self.board.suspect_servers.suspects())

        await self.until(found)
        self.assertEqual(
            list(self.board.suspect_servers.suspects()), [self.dark.address]
        )
        self.assertEqual(
            self.board.suspect_servers.reason(self.dark.address),
            suspect_servers.Reason.UNREACHABLE,
        )

    async def test_runners_that_answer_are_not_asked_again_at_once(self):
        addresses = {s.address for s in self.alive}
        for now in (10.0, 10.1, 10.2):
            self.checks.check(now, addresses)
        await self.until(
            lambda: all(
                s.opened == reachability.PARALLEL_CONNECTION_COUNT
                for s in self.alive
            )
        )
        await asyncio.sleep(0.02)
        self.assertEqual(
            [s.opened for s in self.alive],
            [reachability.PARALLEL_CONNECTION_COUNT] * len(self.alive),
        )
        self.assertEqual(self.board.suspect_servers.suspects(), {})


if __name__ == "__main__":
    unittest.main()
