import os
import signal
import unittest
from unittest import mock

from nutmeglift_gateway import stop_signal


class StopSignalTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(
            signal.signal, signal.SIGTERM, signal.getsignal(signal.SIGTERM)
        )
        self.now = 100.0
        patch = mock.patch.object(
            stop_signal.time, "monotonic", lambda: self.now
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.calls = []
        self.stop = stop_signal.StopSignal()

    def receive(self):
        os.kill(os.getpid(), signal.SIGTERM)

    def record(self):
        self.calls.append(self.stop.age())

    def test_a_signal_before_the_watch_counts_from_its_receipt(self):
        self.stop.install()
        self.receive()
        self.now += 2.5
        self.stop.watch(self.record)
        self.assertEqual(self.calls, [2.5])

    def test_a_signal_after_the_watch(self):
        self.stop.watch(self.record)
        self.assertEqual(self.calls, [])
        self.receive()
        self.assertEqual(self.calls, [0.0])

    def test_a_second_signal_changes_nothing(self):
        self.stop.watch(self.record)
        self.receive()
        self.now += 1.0
        self.receive()
        self.assertEqual(self.calls, [0.0])
        self.assertEqual(self.stop.age(), 1.0)

    def test_without_a_signal(self):
        self.stop.watch(self.record)
        self.now += 1.0
        self.assertEqual((self.calls, self.stop.age()), ([], 0.0))

    def test_the_in_memory_twin(self):
        self.stop = stop_signal.MemoryStopSignal(2.0, is_received=False)
        self.stop.watch(self.record)
        self.assertEqual((self.calls, self.stop.age()), ([], 0.0))
        self.stop.receive()
        self.assertEqual(self.calls, [2.0])


if __name__ == "__main__":
    unittest.main()
