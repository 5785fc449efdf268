"""Where the streams of lost runners are resumed."""

import collections
import random
import unittest

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import paths
from nutmeglift_gateway import successor_paths
from tests.gateway import rig

TOKENS = 900.0
PROMPT_SECONDS = 0.0024
"""Time in which the busiest runner of a pipeline processes a prompt."""
DETECTION_SECONDS = 0.1
"""Time from a runner's loss to the resumption of its streams."""


def runner(name, domain, start=0, end=80, kind="whole"):
    return rig.make_server(
        name,
        domain=ids.FailureDomain(domain),
        kind=kind,
        layers=directory.LayerRange(start, end),
        address=f"{name}:1",
    )


def find_path(servers, rng, *, home="a", may_cross=True, paces=None):
    finder = paths.PathFinder(
        rig.ENGINE,
        loads.LoadTracker(),
        lambda address: (paces or {}).get(address, 1.0),
    )
    return successor_paths.find_path(
        finder,
        servers,
        paths.PathRequirements(
            ids.FailureDomain(home), TOKENS, may_cross=may_cross
        ),
        rng,
    )


class FindPathTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(4)

    def test_streams_of_a_lost_pipeline_wait_for_no_single_other_one(self):
        # Six routers resume 25 streams each, and don't hear of each other's.
        # One of the other pipelines is a little cheaper than the rest.
        servers = [runner(name, name) for name in "bcde"]
        count_by_domain = collections.Counter()
        for seed in range(6):
            rng = random.Random(seed)
            for _ in range(25):
                path = find_path(
                    servers, rng, paces={"b:1": 1.3, "c:1": 1.2, "d:1": 1.4}
                )
                count_by_domain[path.first.domain] += 1
        longest_wait = PROMPT_SECONDS * max(count_by_domain.values())
        self.assertLess(
            DETECTION_SECONDS + longest_wait, rig.STREAM.gap_objective
        )
        self.assertEqual(len(count_by_domain), 4)

    def test_which_paths_are_used(self):
        whole_b, whole_c = runner("b", "b"), runner("c", "c")
        one, two = runner("1", "a", 0, 40), runner("2", "d", 40, 80)
        home = runner("h", "a")
        cases = [
            # name, runners, paces, whether it may cross, first runners
            ("at home", [home, whole_b], {}, True, {"h"}),
            ("dearer at home", [home, whole_b], {"h:1": 2.0}, True, {"h"}),
            ("far too dear at home", [home, whole_b], {"h:1": 9.0}, True,
             {"b"}),
            ("elsewhere", [one, whole_b, whole_c], {}, True, {"b", "c"}),
            ("too dear elsewhere", [whole_b, whole_c], {"c:1": 9.0}, True,
             {"b"}),
            ("crossing", [one, two], {}, True, {"1"}),
            ("may not cross", [one, two], {}, False, {None}),
            ("no runners", [], {}, True, {None}),
        ]  # fmt: skip
        for name, servers, paces, may_cross, firsts in cases:
            with self.subTest(name):
                found = {
                    path.first.id if path else None
                    for path in (
                        find_path(
                            servers,
                            self.rng,
                            may_cross=may_cross,
                            paces=paces,
                        )
                        for _ in range(40)
                    )
                }
                self.assertEqual(found, firsts)


if __name__ == "__main__":
    unittest.main()
