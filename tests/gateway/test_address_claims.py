import random
import unittest

from nutmeglift import ids
from nutmeglift_gateway import address_claims
from nutmeglift_gateway import directory
from tests.gateway import rig

ADDRESS = "10.0.0.1:80"


def make(name, born, revision=1, **changes):
    return rig.make_server(
        name,
        born=born,
        address=ADDRESS,
        revision=ids.Revision(revision),
        **changes,
    )


class DisplacedServerTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()

    def listed(self):
        return set(self.directory.server_by_id)

    def recognize(self, kinds_by_service):
        self.directory.recognize(kinds_by_service)
        self.directory.update_claims(0.0)

    def test_the_server_that_started_last_is_listed_in_any_order(self):
        servers = [make("old", 1), make("new", 2), make("newest", 3)]
        for seed in range(6):
            rng = random.Random(seed)
            self.directory = directory.Directory()
            for server in rng.sample(servers, len(servers)):
                self.directory.put(0.0, server)
            self.assertEqual(self.listed(), {"newest"})

    def test_what_a_rejected_lifetime_displaced_is_listed_again(self):
        cases = {
            "forged later": [make("real", 5), make("forged", 9)],
            "forged first": [make("forged", 9), make("real", 5)],
            "forged twice": [
                make("forged", 9), make("real", 5), make("other", 7)
            ],
        }  # fmt: skip
        for name, servers in cases.items():
            for born in (5, None):
                with self.subTest(name, born=born):
                    self.directory = directory.Directory()
                    self.directory.replace_all(0.0, servers)
                    while self.listed() != {"real"}:
                        (found,) = self.directory.server_by_id.values()
                        self.assertTrue(
                            self.directory.reject_lifetime(0.0, found, born)
                        )
                    self.directory.put(0.0, make("forged", 9, revision=2))
                    self.assertEqual(self.listed(), {"real"})

    def test_a_newer_version_of_a_displaced_entry_is_kept(self):
        self.directory.put(0.0, make("real", 5))
        self.directory.put(0.0, make("forged", 9))
        draining = directory.ServerState.DRAINING
        self.directory.put(0.0, make("real", 5, revision=2, state=draining))
        forged = self.directory.server_by_id["forged"]
        self.directory.reject_lifetime(0.0, forged)
        self.assertIs(self.directory.server_by_id["real"].state, draining)

    def test_a_lifetime_that_displaced_none_is_not_rejected(self):
        self.directory.put(0.0, make("real", 5))
        real = self.directory.server_by_id["real"]
        self.assertFalse(self.directory.reject_lifetime(0.0, real))
        self.directory.put(0.0, make("new", 9))
        new = self.directory.server_by_id["new"]
        self.assertFalse(self.directory.reject_lifetime(0.0, new, 8))
        self.assertEqual(self.listed(), {"new"})

    def test_a_displaced_server_that_left_is_not_listed_again(self):
        removals = {
            "removed": lambda: self.directory.remove(0.0, "real"),
            "listing": lambda: self.directory.replace_all(
                0.0, [make("forged", 9)]
            ),
            "unreadable": lambda: self.directory.discard(
                0.0, "real", ids.Revision(2)
            ),
        }
        for name, remove in removals.items():
            with self.subTest(name):
                self.directory = directory.Directory()
                self.directory.put(0.0, make("real", 5))
                self.directory.put(0.0, make("forged", 9))
                remove()
                forged = self.directory.server_by_id["forged"]
                self.assertFalse(self.directory.reject_lifetime(0.0, forged))
                self.assertEqual(self.listed(), {"forged"})

    def test_an_entry_that_is_not_recognized_displaces_no_server(self):
        known = {rig.MODEL: frozenset(["mid"]), rig.CORE: None}
        cases = {
            "unknown service": (known, {"service": "odd"}),
            "unknown kind": (known, {"kind": ""}),
            "plain": ({rig.CORE: None}, {"service": rig.MODEL}),
        }
        for name, (services, changes) in cases.items():
            plain = rig.make_server("real").service not in services
            real = make("real", 5, service=rig.CORE if plain else rig.MODEL)
            odd = make("odd", 9, revision=2, **changes)
            for order in ("odd last", "odd first", "recognized last"):
                with self.subTest(name, order=order):
                    self.directory = directory.Directory()
                    if order != "recognized last":
                        self.recognize(services)
                    first = odd if order == "odd first" else real
                    self.directory.put(0.0, first)
                    self.directory.put(0.0, odd if first is real else real)
                    self.recognize(services)
                    self.assertEqual(self.listed(), {"real"})
                    # A later configuration names the service and its kinds.
                    kinds = {"odd": None, rig.MODEL: frozenset(["mid", ""])}
                    self.recognize(services | kinds)
                    self.assertEqual(self.listed(), {"odd"})

    def test_of_two_entries_that_started_together_the_first_is_listed(self):
        # Both were listed, and what one of them rejected put the other out.
        for number, name in enumerate(("a real one", "its copy")):
            self.directory.put(0.0, make(name, 5, revision=1 + number))
        self.assertEqual(self.listed(), {"a real one"})

    def test_a_displaced_entry_that_goes_on_being_written_is_listed(self):
        draining = directory.ServerState.DRAINING
        cases = {
            "later start": {"born": 9},
            "later start, draining": {"born": 9, "state": draining},
            "same start": {"born": 5},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                self.directory = directory.Directory()
                self.directory.put(0.0, make("forged", revision=2, **changes))
                for revision in (1, 3, 3):
                    self.directory.put(0.0, make("real", 5, revision))
                    self.assertEqual(self.listed(), {"forged"})
                self.directory.put(0.0, make("real", 5, revision=4))
                self.assertEqual(self.listed(), {"real"})

    def test_a_server_whose_entry_is_written_keeps_its_address(self):
        self.directory.put(0.0, make("old", 5))
        for revision in (2, 4, 6):
            self.directory.put(0.0, make("new", 9, revision))
            # A late write of the lifetime before.
            self.directory.put(0.0, make("old", 5, revision + 1))
            self.assertEqual(self.listed(), {"new"})

    def test_what_a_removed_entry_displaced_is_listed_again(self):
        removals = (
            lambda: self.directory.remove(0.0, "forged"),
            lambda: self.directory.discard(0.0, "forged", ids.Revision(2)),
        )
        for remove in removals:
            self.directory.put(0.0, make("real", 5))
            self.directory.put(0.0, make("forged", 9))
            remove()
            self.assertEqual(self.listed(), {"real"})

    def test_an_unreadable_version_that_is_older_removes_nothing(self):
        self.directory.put(0.0, make("real", 5, revision=7))
        for revision, listed in ((6, {"real"}), (7, set())):
            self.directory.discard(0.0, "real", ids.Revision(revision))
            self.assertEqual(self.listed(), listed)

    def test_the_number_of_claims_on_an_address_is_limited(self):
        claims = address_claims.AddressClaims(
            lambda server: (True, server.born, server.revision)
        )
        for born in range(10 * address_claims.MAX_CLAIM_COUNT):
            claims.displace(make(f"s{born}", born))
        self.assertEqual(len(claims.ids()), address_claims.MAX_CLAIM_COUNT)


if __name__ == "__main__":
    unittest.main()
