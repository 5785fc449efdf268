"""The loads in the reports on one link."""

import random
import unittest
from unittest import mock

from nutmeglift import errors
from nutmeglift_gateway import load_rows
from nutmeglift_gateway import loads

ADDRESSES = [f"10.0.0.{number}:80" for number in range(30)]


def make_loads(rng):
    return {
        address: loads.Load(
            rng.randint(1, 9), rng.randint(0, 2), 812.0 * 40, rng.randint(0, 3)
        )
        for address in rng.sample(ADDRESSES, rng.randint(0, len(ADDRESSES)))
    }


class LoadRowsTest(unittest.TestCase):
    def setUp(self):
        self.encoder, self.decoder = load_rows.Encoder(), load_rows.Decoder()

    def pass_on(self, load_by_address):
        return self.decoder.decode(self.encoder.encode(load_by_address))

    def test_both_sides_agree_after_each_report(self):
        rng = random.Random(3)
        for limit in (load_rows.MAX_ADDRESS_COUNT, 10):
            with (
                self.subTest(limit),
                mock.patch.object(load_rows, "MAX_ADDRESS_COUNT", limit),
            ):
                self.setUp()
                known = {}
                for _ in range(200):
                    if rng.random() < 0.7:
                        known = make_loads(rng)
                    # A router never has more servers than fit in two tables.
                    some = dict(list(known.items())[:10])
                    self.assertEqual(self.pass_on(some), some)

    def test_only_changes_are_sent(self):
        load_by_address = {
            address: loads.Load(1, 0, 10.0) for address in ADDRESSES
        }
        self.pass_on(load_by_address)
        cases = [
            ("nothing", {}, 0),
            ("one more request", {ADDRESSES[3]: loads.Load(2, 1, 20.0)}, 1),
            ("a part of a token", {ADDRESSES[3]: loads.Load(2, 1, 20.2)}, 0),
            ("a new server", {"10.0.0.99:80": loads.Load(1, 0, 10.0)}, 1),
        ]
        for name, changed, count in cases:
            with self.subTest(name):
                load_by_address |= changed
                changes = self.encoder.encode(load_by_address)
                self.assertEqual(len(changes.rows), count)
        changes = self.encoder.encode({})
        self.assertEqual(len(changes.rows), len(load_by_address))
        self.assertEqual(changes.addresses, [])

    def test_what_was_decoded_before_does_not_change(self):
        first = self.pass_on({ADDRESSES[0]: loads.Load(1, 1, 10.0)})
        self.pass_on({ADDRESSES[0]: loads.Load(2, 2, 20.0)})
        self.assertEqual(first, {ADDRESSES[0]: loads.Load(1, 1, 10.0)})

    def test_malformed_changes(self):
        row = load_rows.LoadRow
        cases = [
            ("addresses are missing", 5, ["a:1"], []),
            ("addresses come twice", 1, [], [row(2, 1, 1, 1, 0)]),
            ("no such position", 2, [], [row(2, 1, 1, 1, 0)]),
            ("a negative position", 2, [], [row(-1, 1, 1, 1, 0)]),
            ("a negative load", 2, [], [row(0, -1, 0, 0, 0)]),
            ("a negative prompt", 2, [], [row(0, 1, 0, 0, -5)]),
            ("too many", 2, ["c:1"] * (2 * load_rows.MAX_ADDRESS_COUNT), []),
        ]
        for name, start, addresses, rows in cases:
            with self.subTest(name):
                decoder = load_rows.Decoder()
                decoder.decode(load_rows.LoadChanges(0, ["a:1", "b:1"], []))
                with self.assertRaises(errors.MalformedMessageError):
                    decoder.decode(
                        load_rows.LoadChanges(start, addresses, rows)
                    )


if __name__ == "__main__":
    unittest.main()
