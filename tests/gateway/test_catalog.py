import time
import unittest

from nutmeglift import ids
from nutmeglift_gateway import catalog
from tests.gateway import rig

ROUTES = tuple(
    rig.make_route(name, catalog.Idempotency.SAFE, rig.CORE, prefix=prefix)
    for name, prefix in [
        ("root", "/"),
        ("desk", "/desk/"),
        ("deep", "/desk/names/"),
    ]
)


class FindRouteTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        six = rig.make_route(
            "six", catalog.Idempotency.SAFE, rig.CORE, host="[::1]"
        )
        configuration = rig.make_catalog(routes=(*ROUTES, six))
        cases = [
            ("desk.example", "/desk/names/1", "deep"),
            ("desk.example", "/desk/names/", "deep"),
            ("desk.example", "/desk/names", "desk"),
            ("desk.example", "/desk/namesake/2", "desk"),
            ("desk.example", "/desk", "root"),
            ("desk.example", "/other?a=/desk/names/", "root"),
            ("DESK.example:8080", "/desk/x", "desk"),
            ("other.example", "/desk/x", None),
            ("", "/desk/x", None),
            ("[::1]", "/six/x", "six"),
            ("[::1]:8080", "/six/x", "six"),
            ("[::2]", "/six/x", None),
        ]
        for host, target, expected in cases:
            with self.subTest(host=host, target=target):
                route = configuration.find_route(host, target)
                self.assertEqual(route.id if route else None, expected)

    def test_a_target_with_many_slashes_takes_little_time(self):
        configuration = rig.make_catalog(routes=ROUTES)
        for prefix, expected in [("/desk/names", "deep"), ("/x", "root")]:
            target = prefix + "/" * 16000
            began = time.process_time()
            for _ in range(100):
                route = configuration.find_route("desk.example", target)
            self.assertEqual(route.id, expected)
            self.assertLess(time.process_time() - began, 1.0)


class EngineTest(unittest.TestCase):
    def test_layer_limits_with_and_without_token_capacity(self):
        cases = [("big", 28, 41), ("mid", 5, 8), ("slow", 8, 12)]
        for name, with_capacity, in_memory in cases:
            with self.subTest(name):
                kind = rig.RUNNER_KINDS[name]
                self.assertEqual(
                    rig.ENGINE.max_layers_with_capacity(kind, 50000),
                    with_capacity,
                )
                self.assertEqual(
                    rig.ENGINE.max_layers_in_memory(kind), in_memory
                )

    def test_token_capacity_shrinks_with_layers(self):
        kind = rig.RUNNER_KINDS["mid"]
        capacities = [
            rig.ENGINE.token_layer_capacity(kind, count) for count in range(10)
        ]
        self.assertEqual(capacities, sorted(capacities, reverse=True))
        self.assertEqual(capacities[-1], 0.0)

    def test_an_unknown_kind_is_treated_as_the_slowest(self):
        self.assertEqual(rig.ENGINE.kind("new").name, "slow")


class RouteTest(unittest.TestCase):
    def test_which_routes_are_repeatable(self):
        cases = [
            (rig.SAFE, True),
            (rig.UNSAFE, False),
            (rig.STREAM, True),
            (
                rig.make_route(
                    "once",
                    catalog.Idempotency.STREAM,
                    rig.MODEL,
                    resumable=False,
                ),
                False,
            ),
        ]
        for route, expected in cases:
            with self.subTest(route.id):
                self.assertEqual(route.repeatable, expected)


class BoardCatalogTest(unittest.TestCase):
    def test_older_generations_are_ignored(self):
        board = rig.make_board(generation=7)
        older = rig.make_catalog(generation=6)
        self.assertFalse(board.set_catalog(ids.Revision(9), older))
        self.assertEqual(board.catalog.generation, 7)
        newer = rig.make_catalog(generation=12)
        self.assertTrue(board.set_catalog(ids.Revision(10), newer))
        self.assertEqual(board.catalog.generation, 12)


if __name__ == "__main__":
    unittest.main()
