import unittest

from nutmeglift_gateway import directory
from tests.gateway import rig

DRAINING = directory.ServerState.DRAINING


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()

    def test_older_entries_are_ignored(self):
        self.directory.put(1.0, rig.make_server("s", revision=5))
        stale = rig.make_server("s", revision=4, state=DRAINING)
        self.assertFalse(self.directory.put(2.0, stale))
        self.assertEqual(self.directory.draining_since_by_id, {})

    def test_draining_counts_from_the_first_draining_entry(self):
        for revision in (5, 6):
            self.directory.put(
                float(revision),
                rig.make_server("s", revision=revision, state=DRAINING),
            )
        self.assertEqual(self.directory.draining_since_by_id, {"s": 5.0})

    def test_same_id_with_another_start_time_is_another_lifetime(self):
        first = rig.make_server("s", revision=5)
        self.directory.put(1.0, first)
        self.directory.record_order(first)
        self.assertEqual(self.directory.server_by_id["s"].orders, 1)
        self.directory.put(2.0, rig.make_server("s", revision=6, born=2))
        self.assertEqual(self.directory.server_by_id["s"].orders, 0)
        self.assertFalse(self.directory.is_current(2.0, first))

    def test_an_address_has_one_server(self):
        cases = [
            # name, start times of the first and the second, still listed
            ("a newer lifetime", 5, 9, ["second"]),
            ("an outdated entry", 9, 5, ["first"]),
            ("unknown start time", 0, 9, ["first", "second"]),
        ]
        for name, first, second, listed in cases:
            with self.subTest(name):
                server_directory = directory.Directory()
                for number, (server_id, born) in enumerate(
                    [("first", first), ("second", second)]
                ):
                    server_directory.put(
                        1.0,
                        rig.make_server(
                            server_id, address="x:1", born=born,
                            revision=number + 1,
                        ),
                    )  # fmt: skip
                self.assertEqual(sorted(server_directory.server_by_id), listed)

    def test_an_ended_lifetime_is_removed(self):
        server = rig.make_server("s", revision=5, born=1)
        self.directory.put(1.0, server)
        self.assertFalse(
            self.directory.remove_lifetime(rig.make_server("s", born=2))
        )
        self.assertTrue(self.directory.remove_lifetime(server))
        self.assertEqual(self.directory.server_by_id, {})

    def test_order_count_survives_new_entries_of_a_lifetime(self):
        first = rig.make_server("s", revision=5)
        self.directory.put(1.0, first)
        self.directory.record_order(first)
        self.directory.put(2.0, rig.make_server("s", revision=6))
        self.assertEqual(self.directory.server_by_id["s"].orders, 1)

    def test_removal(self):
        cases = [
            # window s, re-added after s, elapsed s, still listed
            (float("-inf"), None, 0.0, False),
            (-0.1, None, 0.0, False),
            (2.0, None, 1.9, True),
            (2.0, None, 2.1, False),
            (2.0, 1.0, 5.0, True),
        ]
        for window, readded_after, elapsed, listed in cases:
            with self.subTest(
                window=window, readded=readded_after, elapsed=elapsed
            ):
                server_directory = directory.Directory()
                server_directory.put(0.0, rig.make_server("s", revision=5))
                server_directory.lapse_window_end = 10.0 + window
                server_directory.remove(10.0, "s")
                if readded_after is not None:
                    server_directory.put(
                        10.0 + readded_after, rig.make_server("s", revision=9)
                    )
                server_directory.expire(10.0 + elapsed)
                self.assertEqual("s" in server_directory.server_by_id, listed)

    def test_listing_replaces_everything(self):
        self.directory.put(0.0, rig.make_server("gone", revision=5))
        self.directory.put(0.0, rig.make_server("kept", revision=6))
        listing = [rig.make_server("kept", revision=6)]
        self.directory.replace_all(1.0, listing)
        self.assertEqual(list(self.directory.server_by_id), ["kept"])

    def test_reports_update_layers_of_the_same_lifetime_only(self):
        server = rig.make_server("s", revision=5)
        self.directory.put(0.0, server)
        layers = directory.LayerRange(3, 8)
        other = rig.make_server("s", revision=5, born=9)
        self.directory.update_layers(5.0, other, layers, 1)
        self.assertEqual(
            self.directory.server_by_id["s"].layers, directory.NO_LAYERS
        )
        self.directory.update_layers(5.0, server, layers, 1)
        self.assertEqual(self.directory.server_by_id["s"].layers, layers)

    def test_layers_of_reports_older_than_the_entry_are_ignored(self):
        layers = directory.LayerRange(3, 8)
        server = rig.make_server("s", revision=5, layers=layers)
        self.directory.put(5.0, server)
        none = directory.NO_LAYERS
        for now, expected in [(5.3, layers), (5.6, none)]:
            with self.subTest(now):
                self.directory.update_layers(now, server, none, 0)
                self.assertEqual(
                    self.directory.server_by_id["s"].layers, expected
                )

    def test_reports_correct_the_order_count_up_and_down(self):
        server = rig.make_server("s", revision=5)
        self.directory.put(0.0, server)
        self.directory.record_order(server)
        self.directory.update_layers(5.0, server, directory.NO_LAYERS, 0)
        self.assertEqual(self.directory.server_by_id["s"].orders, 0)


if __name__ == "__main__":
    unittest.main()
