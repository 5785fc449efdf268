"""Which routers watch a runner."""

import collections
import unittest

from nutmeglift_gateway import crash_watchers
from nutmeglift_gateway import live_peers

RUNNERS = [f"i-{number}" for number in range(200)]


def make_routers(count, domains):
    return {f"vm-{n}": f"domain-{n % domains}" for n in range(count)}


class ChooseWatchersTest(unittest.TestCase):
    def test_number_and_failure_domains(self):
        cases = [
            # routers, failure domains, watchers, their failure domains
            (1, 1, 1, 1),
            (2, 1, 2, 1),
            (5, 1, 2, 1),
            (26, 5, 2, 2),
            (100, 2, 2, 2),
        ]
        for routers, domains, count, spread in cases:
            with self.subTest(routers=routers, domains=domains):
                domain_by_router = make_routers(routers, domains)
                for runner in RUNNERS:
                    chosen = crash_watchers.choose_watchers(
                        runner, domain_by_router
                    )
                    self.assertEqual(len(set(chosen)), count)
                    self.assertEqual(
                        len({domain_by_router[each] for each in chosen}), spread
                    )

    def test_routers_share_the_runners(self):
        routers = make_routers(20, 4)
        counts = collections.Counter(
            router
            for runner in RUNNERS
            for router in crash_watchers.choose_watchers(runner, routers)
        )
        self.assertEqual(set(counts), set(routers))
        self.assertLessEqual(max(counts.values()), 3 * 2 * 200 / 20)

    def test_a_lost_router_changes_only_its_own_runners(self):
        routers = make_routers(20, 4)
        before = {
            runner: crash_watchers.choose_watchers(runner, routers)
            for runner in RUNNERS
        }
        del routers["vm-7"]
        for runner, chosen in before.items():
            if "vm-7" in chosen:
                continue
            self.assertEqual(
                crash_watchers.choose_watchers(runner, routers), chosen
            )


class LivePeersTest(unittest.TestCase):
    def test_a_peer_is_live_while_its_reports_arrive(self):
        peers = live_peers.LivePeers()
        peers.record_report(1.0, "one", "a")
        peers.record_report(1.5, "two", "b")
        cases = [
            (1.6, {"one": "a", "two": "b"}),
            (1.8, {"two": "b"}),
            (9.0, {}),
        ]
        for now, live in cases:
            with self.subTest(now):
                self.assertEqual(peers.domain_by_name(now), live)


if __name__ == "__main__":
    unittest.main()
