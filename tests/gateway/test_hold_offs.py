"""Which servers hold off, and for how long."""

import unittest

from nutmeglift import errors
from nutmeglift_gateway import directory
from nutmeglift_gateway import hold_off_rows
from nutmeglift_gateway import hold_offs
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import retry_delay
from tests.gateway import rig
from tests.gateway import test_peer_state

ONE = ("one", 1)
OTHER = ("other", 1)


class ParseTest(unittest.TestCase):
    def test_values_of_the_header(self):
        cases = [
            (b"2", 2.0),
            (b"0", 0.0),
            (b"0.25", 0.25),
            (b" 3 ", 3.0),
            (b"007", 7.0),
            (b"3600", hold_offs.MAX_SECONDS),
            (b"9" * 5000, hold_offs.MAX_SECONDS),
            (b"0." + b"9" * 5000, 1.0),
        ]
        for raw, expected in cases:
            with self.subTest(raw[:20]):
                self.assertEqual(hold_offs.parse_seconds(raw), expected)

    def test_malformed_values(self):
        cases = [
            b"", b"-1", b"+1", b"nan", b"inf", b"1e3", b"1,5", b"1.", b".5",
            b"0x10", b"1_0", b"soon", b"\xb2", b"1 2",
            b"Sat, 05 Dec 2026 12:00:00 GMT",
        ]  # fmt: skip
        for raw in cases:
            with (
                self.subTest(raw),
                self.assertRaises(errors.MalformedMessageError),
            ):
                hold_offs.parse_seconds(raw)


class HoldOffsTest(unittest.TestCase):
    def test_a_time_begins_once_and_is_never_cut_short(self):
        cases = [
            # events as (time, seconds), until, how many of them begin a time
            ([(0.0, 2.0)], 2.0, 1),
            ([(0.0, 2.0), (1.0, 2.0)], 3.0, 1),
            ([(0.0, 5.0), (1.0, 0.5)], 5.0, 1),
            ([(0.0, 0.0)], None, 0),
            ([(0.0, 1e9)], hold_offs.MAX_SECONDS, 1),
        ]
        for events, until, begun in cases:
            with self.subTest(events):
                state = hold_offs.HoldOffs()
                count = sum(
                    state.record(now, ONE, seconds) for now, seconds in events
                )
                self.assertEqual(count, begun)
                self.assertEqual(state.until(ONE), until)
                self.assertEqual(state.holds_off(ONE), until is not None)
                self.assertFalse(state.holds_off(OTHER))

    def test_a_time_ends(self):
        state = hold_offs.HoldOffs()
        state.record(0.0, ONE, 2.0)
        state.record(0.0, OTHER, 4.0)
        for now, lifetimes in [
            (1.9, {ONE, OTHER}),
            (2.0, {OTHER}),
            (4.0, set()),
        ]:
            version = state.version
            state.expire(now)
            self.assertEqual(
                {each for each in (ONE, OTHER) if state.holds_off(each)},
                lifetimes,
            )
            self.assertEqual(state.version != version, now != 1.9)

    def test_another_lifetime_does_not_hold_off(self):
        state = hold_offs.HoldOffs()
        state.record(0.0, ("one", 1), 2.0)
        self.assertFalse(state.holds_off(("one", 2)))

    def test_hints_of_peers_are_no_hold_offs(self):
        state = hold_offs.HoldOffs()
        state.record_hint(0.0, ONE, 2.0)
        self.assertTrue(state.is_hinted(ONE))
        self.assertFalse(state.holds_off(ONE))
        self.assertEqual(state.own(1.0), {})
        state.expire(2.0)
        self.assertFalse(state.is_hinted(ONE))

    def test_servers_that_are_hinted_come_last(self):
        one, other = rig.make_server("one"), rig.make_server("other")
        cases = [
            (set(), [["one", "other"]]),
            ({"one"}, [["other"], ["one", "other"]]),
            ({"one", "other"}, [["one", "other"]]),
            ({"unknown"}, [["one", "other"]]),
        ]
        for hinted, expected in cases:
            with self.subTest(hinted):
                state = hold_offs.HoldOffs()
                for name in hinted:
                    state.record_hint(0.0, (name, 1), 2.0)
                found = state.by_preference([one, other])
                self.assertEqual(
                    [[s.id for s in each] for each in found], expected
                )

    def test_own_times_are_reported_by_what_is_left(self):
        state = hold_offs.HoldOffs()
        state.record(0.0, ONE, 2.0)
        self.assertEqual(state.own(0.5), {ONE: 1.5})
        self.assertEqual(state.own(2.5), {})


class UsableTest(unittest.TestCase):
    def test_a_server_that_holds_off_is_not_usable_and_no_suspect(self):
        board = rig.make_board()
        for name in ("one", "other"):
            board.directory.put(
                0.0, rig.make_server(name, service=rig.CORE, kind="")
            )
        self.assertEqual(len(board.usable(rig.CORE)), 2)
        board.hold_offs.record(0.0, ONE, 2.0)
        self.assertEqual([s.id for s in board.usable(rig.CORE)], ["other"])
        self.assertEqual(board.suspect_servers.suspects(), {})
        board.directory.put(
            1.0,
            rig.make_server(
                "one", service=rig.CORE, kind="", born=2, revision=9
            ),
        )
        self.assertEqual(len(board.usable(rig.CORE)), 2)
        board.hold_offs.record(1.0, ("one", 2), 2.0)
        board.hold_offs.expire(3.0)
        self.assertEqual(len(board.usable(rig.CORE)), 2)


class RetryDelayTest(unittest.TestCase):
    def test_refusals_fit_the_first_server_to_come_back(self):
        cases = [
            # layers by server, time by server that holds off, seconds
            ({"a": (0, 0), "b": (0, 0)}, {"a": 3.0, "b": 9.0}, 3.0),
            ({"a": (0, 80), "b": (0, 80)}, {"a": 3.0, "b": 2.0}, 2.0),
            ({"a": (0, 40), "b": (40, 80)}, {"a": 3.0, "b": 9.0}, 9.0),
            ({"a": (0, 40), "b": (40, 80)}, {"a": 3.0}, 3.0),
            # Without a hold-off of its own, the usual delay.
            ({"a": (0, 80), "b": (0, 80)}, {"a": 3.0}, None),
            ({"a": (0, 40)}, {"a": 3.0}, None),
        ]
        for layers, seconds_by_id, expected in cases:
            with self.subTest(layers=layers, holds=seconds_by_id):
                board = rig.make_board()
                plain = (0, 0) in layers.values()
                service = rig.CORE if plain else rig.MODEL
                for name, held in layers.items():
                    board.directory.put(
                        0.0,
                        rig.make_server(
                            name,
                            service=service,
                            kind="" if plain else "mid",
                            layers=directory.LayerRange(*held),
                        ),
                    )
                for name, seconds in seconds_by_id.items():
                    board.hold_offs.record(100.0, (name, 1), seconds)
                rng = rig.make_rng()
                delays = {
                    retry_delay.retry_after_no_server(
                        board, service, 100.0, rng
                    )
                    for _ in range(50)
                }
                if expected is None:
                    self.assertEqual(
                        delays, {retry_delay.NO_BACKEND_RETRY_SECONDS}
                    )
                    continue
                self.assertGreater(len(delays), 40)
                self.assertGreaterEqual(min(delays), expected)
                self.assertLessEqual(max(delays), expected * 1.5 + 1.0)


class PeerRowsTest(unittest.TestCase):
    def test_a_peer_gets_it_as_a_hint_that_it_does_not_pass_on(self):
        routers = [test_peer_state.PeerRouter(vm) for vm in ("one", "two")]
        for router in routers:
            router.board.directory.put(
                0.0, rig.make_server("one", service=rig.CORE, kind="")
            )
        first, second = routers
        first.board.hold_offs.record(0.0, ONE, 2.0)
        raw = peer_messages.encode(first.state.make_report(0.5, 100.0))
        second.state.handle_message(peer_messages.decode(raw), 0.5, 100.0)
        self.assertTrue(second.board.hold_offs.is_hinted(ONE))
        self.assertEqual(len(second.board.usable(rig.CORE)), 1)
        self.assertEqual(second.state.make_report(0.6, 100.1).hold_offs, [])
        second.board.hold_offs.expire(2.0)
        self.assertFalse(second.board.hold_offs.is_hinted(ONE))

    def test_rows_are_bounded(self):
        state = hold_offs.HoldOffs()
        for number in range(hold_offs.MAX_ROW_COUNT + 10):
            state.record(0.0, (f"s{number}", 1), 5.0)
        rows = hold_off_rows.encode(1.0, state)
        self.assertEqual(len(rows), hold_offs.MAX_ROW_COUNT)

    def test_rows_that_are_applied(self):
        cases = [
            (("one", 1, 2.0), True),
            (("one", 2, 2.0), False),
            (("unknown", 1, 2.0), False),
            (("one", 1, -2.0), False),
            (("one", 1, float("nan")), False),
            (("one", 1, float("inf")), False),
        ]
        for row, hinted in cases:
            with self.subTest(row):
                board = rig.make_board()
                board.directory.put(
                    0.0, rig.make_server("one", service=rig.CORE, kind="")
                )
                hold_off_rows.apply(
                    0.0,
                    [hold_off_rows.HoldOffRow(*row)],
                    board.directory,
                    board.hold_offs,
                )
                self.assertEqual(board.hold_offs.is_hinted(ONE), hinted)
                self.assertEqual(len(board.usable(rig.CORE)), 1)

    def test_too_many_rows_change_nothing(self):
        board = rig.make_board()
        board.directory.put(
            0.0, rig.make_server("one", service=rig.CORE, kind="")
        )
        hold_off_rows.apply(
            0.0,
            [hold_off_rows.HoldOffRow("one", 1, 2.0)]
            * (hold_offs.MAX_ROW_COUNT + 1),
            board.directory,
            board.hold_offs,
        )
        self.assertFalse(board.hold_offs.is_hinted(ONE))


if __name__ == "__main__":
    unittest.main()
