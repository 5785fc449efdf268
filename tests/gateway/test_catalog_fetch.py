"""From where a router gets a new configuration."""

import collections
import unittest

from nutmeglift import ids
from nutmeglift_gateway import catalog_fetch
from tests.gateway import rig


def make_fetch(vm, peers, generation=7):
    """Returns a router's decisions, and its board.

    Args:
        vm: the router, in failure domain "a".
        peers: failure domains of the live peers, by VM.
        generation: generation of its configuration.
    """
    board = rig.make_board(generation=generation)
    for name, domain in peers.items():
        board.live_peers.record_report(10.0, name, domain)
    return catalog_fetch.CatalogFetch(board, vm), board


class StoreReadTest(unittest.TestCase):
    def test_one_router_of_each_failure_domain_reads_the_store(self):
        domain_by_router = {f"vm-{n}": f"domain-{n % 4}" for n in range(26)}
        readers = collections.Counter()
        for vm, domain in domain_by_router.items():
            peers = {n: d for n, d in domain_by_router.items() if n != vm}
            fetch, board = make_fetch(vm, peers)
            board.home = domain
            readers[domain] += fetch.may_read_store(10.0)
        self.assertEqual(set(readers.values()), {1})
        self.assertEqual(len(readers), 4)

    def test_another_router_reads_it_if_no_copy_arrives(self):
        fetch, board = make_fetch("vm-2", {"vm-1": "a"})
        cases = [(10.0, False), (10.3, False), (10.4, True), (10.6, True)]
        for now, may_read in cases:
            with self.subTest(now):
                self.assertIs(fetch.may_read_store(now), may_read)
        board.set_catalog(ids.Revision(9), rig.make_catalog(generation=8))
        board.live_peers.record_report(10.6, "vm-1", "a")
        self.assertFalse(fetch.may_read_store(10.7))

    def test_a_router_whose_peers_are_silent_reads_it_at_once(self):
        fetch, _ = make_fetch("vm-2", {"vm-1": "a"})
        self.assertTrue(fetch.may_read_store(11.0))


class RequestTest(unittest.TestCase):
    def test_when_a_copy_is_requested(self):
        cases = [
            # seconds after the first report of it, generation, domain
            ("not newer", 0.0, 7, "a", False),
            ("the same failure domain", 0.0, 8, "a", True),
            ("another failure domain", 0.0, 8, "b", False),
            ("another failure domain, later", 0.4, 8, "b", True),
        ]
        for name, after, generation, domain, requested in cases:
            with self.subTest(name):
                fetch, _ = make_fetch("vm-2", {})
                if after:
                    fetch.should_request(10.0, ids.Generation(8), "b")
                self.assertIs(
                    fetch.should_request(
                        10.0 + after, ids.Generation(generation), domain
                    ),
                    requested,
                )

    def test_copies_are_requested_from_one_router_at_a_time(self):
        fetch, board = make_fetch("vm-2", {})
        asked = [
            now
            for step in range(100)
            for _ in range(25)
            if fetch.should_request(
                now := 10.0 + step * 0.02, ids.Generation(8), "a"
            )
        ]
        self.assertEqual(len(asked), 4)
        board.set_catalog(ids.Revision(9), rig.make_catalog(generation=8))
        self.assertFalse(fetch.should_request(12.0, ids.Generation(8), "a"))
        self.assertTrue(fetch.should_request(12.0, ids.Generation(9), "a"))


if __name__ == "__main__":
    unittest.main()
