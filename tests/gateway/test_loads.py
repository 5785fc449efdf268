"""Load of the backend servers, summed over routers."""

import random
import unittest
from unittest import mock

from nutmeglift_gateway import loads

ADDRESSES = [f"10.0.0.{number}:80" for number in range(12)]


def make_report(rng):
    """Returns the loads that a router may report."""
    return {
        address: loads.Load(
            count := rng.randint(1, 9), rng.randint(0, count), count * 1000.5
        )
        for address in rng.sample(ADDRESSES, rng.randint(0, len(ADDRESSES)))
    }


def sum_of(sources):
    """Returns the sum of several routers' loads, by address."""
    totals = {}
    for source in sources:
        for address, load in source.items():
            total = totals.setdefault(address, [0, 0, 0.0])
            total[0] += load.requests
            total[1] += load.requests_as_first
            total[2] += load.token_layers
    return totals


class LoadTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = loads.LoadTracker()

    def assert_totals(self, sources):
        wanted = sum_of(sources)
        for address in ADDRESSES:
            found = self.tracker.at(address)
            requests, as_first, tokens = wanted.get(address, (0, 0, 0.0))
            self.assertEqual(found.requests, requests)
            self.assertEqual(found.requests_as_first, as_first)
            self.assertAlmostEqual(found.token_layers, tokens, places=3)

    def test_the_totals_are_the_sum_of_the_last_reports(self):
        rng = random.Random(5)
        report_by_peer = {}
        own = []
        for step in range(400):
            now = step * 0.1
            match rng.randrange(4):
                case 0 | 1:
                    peer = f"router-{rng.randrange(6)}"
                    report_by_peer[peer] = (now, make_report(rng))
                    self.tracker.record_report(now, peer, make_copy(
                        report_by_peer[peer][1]
                    ))  # fmt: skip
                case 2:
                    reservation = loads.Reservation(
                        rng.choice(ADDRESSES), rng.random() < 0.5, 812.25
                    )
                    own.append(reservation)
                    self.tracker.reserve((reservation,))
                case 3 if own:
                    self.tracker.release((own.pop(),))
            self.tracker.expire(now)
            report_by_peer = {
                peer: (at, report)
                for peer, (at, report) in report_by_peer.items()
                if now - at <= loads.PEER_REPORT_TIMEOUT_SECONDS
            }
            reserved = [
                {r.address: loads.Load(1, int(r.first), r.token_layers)}
                for r in own
            ]
            self.assert_totals(
                [report for _, report in report_by_peer.values()] + reserved
            )
            self.assertEqual(
                {address: load.requests for address, load in (
                    self.tracker.own().items()
                )},
                {a: t[0] for a, t in sum_of(reserved).items()},
            )  # fmt: skip

    def test_a_report_costs_the_same_beside_any_number_of_peers(self):
        rng = random.Random(6)
        for peers in (2, 50):
            with self.subTest(peers=peers):
                tracker = loads.LoadTracker()
                report = {
                    address: loads.Load(1, 0, 5.0) for address in ADDRESSES
                }
                for peer in range(peers):
                    tracker.record_report(0.0, f"router-{peer}", report)
                counted = mock.Mock(wraps=loads._accumulate)
                with mock.patch.object(loads, "_accumulate", counted):
                    tracker.record_report(0.1, "router-0", make_report(rng))
                self.assertLessEqual(counted.call_count, 2 * len(ADDRESSES))

    def test_nothing_remains_of_what_ended(self):
        reservation = loads.Reservation(ADDRESSES[0], True, 0.1)
        for _ in range(10):
            self.tracker.reserve((reservation,) * 3)
            self.tracker.release((reservation,) * 3)
        self.assertEqual(self.tracker.at(ADDRESSES[0]), loads.NO_LOAD)
        self.assertEqual(self.tracker.own(), {})


class FreedTest(unittest.TestCase):
    def setUp(self):
        self.tracker = loads.LoadTracker()
        self.tracker.on_freed = mock.Mock()
        self.reservation = loads.Reservation(ADDRESSES[0], True, 80.0, 40.0)

    def test_a_trial_counts_while_it_lasts(self):
        for others in (0, 1):
            with self.subTest(others):
                for _ in range(others):
                    self.tracker.reserve((self.reservation,))
                own = self.tracker.own()
                versions = self.tracker.versions(ADDRESSES)
                with self.tracker.trial((self.reservation,)):
                    load = self.tracker.at(ADDRESSES[0])
                    self.assertEqual(
                        load,
                        loads.Load(
                            1 + others, 1 + others, 80 + 80 * others, 40
                        ),
                    )
                    self.assertEqual(self.tracker.own(), own)
                load = self.tracker.at(ADDRESSES[0])
                self.assertEqual(load.requests, others)
                self.assertEqual(load.prompt_token_layers, 0.0)
                self.assertEqual(self.tracker.versions(ADDRESSES), versions)
        self.tracker.on_freed.assert_not_called()

    def test_releases_and_reports_are_announced(self):
        self.tracker.reserve((self.reservation,))
        self.tracker.on_freed.assert_not_called()
        self.tracker.release((self.reservation,))
        self.tracker.release(())
        self.assertEqual(self.tracker.on_freed.call_count, 1)
        self.tracker.record_report(1.0, "router-1", {})
        self.assertEqual(self.tracker.on_freed.call_count, 2)
        self.assertEqual(self.tracker.report_age(1.5), 0.5)


def make_copy(report):
    """Returns a copy, as the tracker keeps its argument."""
    return {
        address: loads.Load(
            load.requests, load.requests_as_first, load.token_layers
        )
        for address, load in report.items()
    }


if __name__ == "__main__":
    unittest.main()
