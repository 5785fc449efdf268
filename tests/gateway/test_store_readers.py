"""Which routers of a failure domain read the store."""

import collections
import random
import unittest

from nutmeglift import ids
from nutmeglift_gateway import store_outage
from nutmeglift_gateway.load import store_readers
from tests.gateway import rig

NOW = 10.0


def make_readers(vm, peers, *, served=True, heard_at=NOW):
    """Returns a router's decisions in failure domain "a".

    Args:
        vm: the router.
        peers: failure domain of each peer, and whether the store serves it.
        served: whether the store serves this router.
        heard_at: when the peers' reports arrived.
    """
    board = rig.make_board()
    board.home = "a"
    for name, (domain, peer_served) in peers.items():
        board.live_peers.record_report(
            heard_at, name, domain, served=peer_served
        )
    outage = store_outage.StoreOutage(board, rig.MemoryLog())
    if not served:
        outage.record_failure(NOW, NOW, "lost")
    return store_readers.StoreReaders(board, vm, outage)


def make_turn(vm, peers, **changes):
    return make_readers(vm, peers, **changes).turn(NOW)


class TurnTest(unittest.TestCase):
    def test_each_failure_domain_has_one_reader(self):
        domain_by_router = {f"vm-{n:02}": "abc"[n % 3] for n in range(41)}
        readers = collections.Counter()
        for vm, domain in domain_by_router.items():
            peers = {
                n: ("a" if d == domain else "elsewhere", True)
                for n, d in domain_by_router.items()
                if n != vm
            }
            readers[domain] += make_turn(vm, peers).is_reader
        self.assertEqual(readers, {"a": 1, "b": 1, "c": 1})

    def test_whose_turn_it_is(self):
        served, unserved = ("a", True), ("a", False)
        cases = [
            # name, router, peers, served, heard at, rank, reader, delay
            ("first", "1", {"2": served, "3": served}, True, NOW, 0, True, 0.0),
            (
                "third",
                "3", {"1": served, "2": served}, True, NOW, 2, False, 0.4,
            ),
            (
                "a reader that the store does not serve",
                "2", {"1": unserved, "3": served}, True, NOW, 0, True, 0.0,
            ),
            (
                "two readers that the store does not serve",
                "3", {"1": unserved, "2": unserved}, True, NOW, 0, True, 0.5,
            ),
            (
                "itself not served",
                "1", {"2": served, "3": served}, False, NOW, 2, False, 0.4,
            ),
            (
                "none served",
                "1", {"2": unserved, "3": unserved}, False, NOW, 0, True, 0.0,
            ),
            (
                "lost, paused or cut off readers",
                "3", {"1": served, "2": served},
                True, NOW - 0.75, 0, False, 0.0,
            ),
            ("two routers", "2", {"1": served}, True, NOW, 0, False, 0.0),
            (
                "routers elsewhere",
                "2", {"1": ("b", True), "3": ("c", True)},
                True, NOW, 0, False, 0.0,
            ),
        ]  # fmt: skip
        for name, vm, peers, is_served, heard_at, rank, reads, delay in cases:
            with self.subTest(name):
                turn = make_turn(vm, peers, served=is_served, heard_at=heard_at)
                self.assertEqual(turn.rank, rank)
                self.assertIs(turn.is_reader, reads)
                self.assertEqual(turn.delay, delay)

    def test_the_planner_is_always_the_first(self):
        readers = make_readers("3", {"1": ("a", True), "2": ("a", True)})
        readers._board.fence = ids.FencingNumber(9)
        self.assertEqual(readers.turn(NOW), store_readers.Turn(0))

    def test_later_turns_begin_together(self):
        delays = [store_readers.Turn(rank).delay for rank in range(5)]
        self.assertEqual(delays, [0.0, 0.2, 0.4, 0.4, 0.4])

    def test_jitter(self):
        cases = [
            ("reader", store_readers.Turn(0), 0.0, 0.0),
            ("another", store_readers.Turn(1), 0.15, 0.3),
            ("reader in doubt", store_readers.Turn(0, in_doubt=True), 0.0, 0.0),
            (
                "another in doubt",
                store_readers.Turn(1, in_doubt=True),
                0.3,
                0.5,
            ),
            ("not shared", store_readers.UNSHARED, 0.0, 0.3),
        ]
        for name, turn, least, most in cases:
            with self.subTest(name):
                self.assertAlmostEqual(turn.jitter(0.3, 0.0), least)
                self.assertAlmostEqual(turn.jitter(0.3, 1.0), most)


class RenewalTest(unittest.TestCase):
    def test_when_a_lease_is_renewed_after_a_failure(self):
        served, unserved = ("a", True), ("a", False)
        cases = [
            # name, router, peers, seconds since the failure, and until the
            # lease lapses, renewed
            ("the reader", "1", {"2": unserved, "3": unserved}, 0.0, 0, True),
            ("another", "3", {"1": unserved, "2": unserved}, 1.7, 0, False),
            ("at last", "3", {"1": unserved, "2": unserved}, 1.9, 0, True),
            ("none served", "3", {"1": unserved, "2": unserved}, 0.2, 1, False),
            ("one served", "3", {"1": served, "2": unserved}, 1.5, 0, True),
            ("too soon", "3", {"1": served, "2": unserved}, 1.4, 0, False),
            ("in time", "3", {"1": served, "2": unserved}, 0.3, 0.1, True),
            ("at once", "3", {"1": served, "2": unserved}, 0.1, 0.1, False),
            ("two routers", "2", {"1": unserved}, 0.0, 0, True),
        ]
        for name, vm, peers, waited, left, renewed in cases:
            with self.subTest(name):
                readers = make_readers(vm, peers, served=False)
                found = readers.may_renew(NOW, NOW - waited, NOW + left)
                self.assertIs(found, renewed)


class RetriesTest(unittest.TestCase):
    def count_calls(self, turn, *, served, seconds=9.0):
        """Returns how often a store is called that answers nothing."""
        retries = store_readers.Retries(random.Random(3))
        count = 0
        for step in range(int(seconds * 100)):
            if retries.may_call(step / 100, turn, served=served):
                count += 1
                retries.record_failure(step / 100)
        return count

    def test_calls_in_an_outage(self):
        cases = [
            # name, turn, served meanwhile, fewest calls, most calls
            ("the reader", store_readers.Turn(0), False, 18, 39),
            ("the next one", store_readers.Turn(1), False, 7, 16),
            ("the others", store_readers.Turn(2), False, 1, 2),
            ("the last one", store_readers.Turn(13), False, 1, 2),
            ("other calls are answered", store_readers.Turn(2), True, 18, 39),
            ("not shared", store_readers.UNSHARED, False, 30, 62),
        ]
        for name, turn, served, fewest, most in cases:
            with self.subTest(name):
                count = self.count_calls(turn, served=served)
                self.assertGreaterEqual(count, fewest)
                self.assertLessEqual(count, most)

    def test_an_answer_ends_the_delay(self):
        retries = store_readers.Retries(random.Random(3))
        turn = store_readers.Turn(5)
        retries.record_failure(NOW)
        self.assertFalse(retries.may_call(NOW + 0.1, turn, served=False))
        retries.record_answer()
        self.assertTrue(retries.may_call(NOW + 0.1, turn, served=False))


if __name__ == "__main__":
    unittest.main()
