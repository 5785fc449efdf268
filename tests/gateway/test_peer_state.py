"""State exchanged between two routers, without a socket."""

import random
import unittest

import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import peer_state
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import suspect_servers
from nutmeglift_gateway.load import demand
from tests.gateway import rig


class PeerRouter:
    """One router's board, store reader and peer state."""

    def __init__(self, vm):
        self.schema = rig.MemorySchema()
        self.board = rig.make_board()
        self.board.freshness.confirmed_at = float("-inf")
        self.log = rig.MemoryLog()
        self.reader = store_reader.StoreReader(
            kv.MemoryKv(),
            self.schema,
            self.board,
            self.log,
            random.Random(1),
            vm,
        )
        self.state = peer_state.PeerState(self.board, self.reader, vm)


class PeerStateTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = PeerRouter("one"), PeerRouter("two")

    def send(self, source, target, now, boot):
        """Delivers a report and all that follows from it."""
        messages = [source.state.make_report(now, boot)]
        while messages:
            raws = [peer_messages.encode(message) for message in messages]
            messages = [
                reply
                for raw in raws
                for reply in target.state.handle_message(
                    peer_messages.decode(raw), now, boot
                )
            ]
            source, target = target, source

    def test_a_confirmation_is_dated_by_our_own_report(self):
        # The peer confirmed at 99.0. The two clocks need not agree, and the
        # peer's report may take any time to arrive.
        rig.confirm(self.two.board, 99.0)
        self.send(self.one, self.two, 1.0, 100.0)
        reply = self.two.state.make_report(1.0, 100.5)
        self.one.state.handle_message(reply, 60.0, 160.0)
        # It was 1.5 s old when it was sent, after our report at 100.0.
        self.assertAlmostEqual(self.one.board.freshness.confirmed_at, 98.5)

    def test_a_confirmation_of_a_peer_that_sends_more_reports_than_we(self):
        for step in range(9):
            self.send(self.two, self.one, 0.1 * step, 90.0 + 0.1 * step)
        self.send(self.one, self.two, 1.0, 100.0)
        self.one.state.make_report(1.1, 100.1)
        rig.confirm(self.two.board, 100.2)
        self.send(self.two, self.one, 1.3, 100.3)
        # It echoes our report at 100.0 and is 0.1 s old.
        self.assertAlmostEqual(self.one.board.freshness.confirmed_at, 99.9)
        # Later reports that echo the same one of ours are also dated by it.
        rig.confirm(self.two.board, 100.4)
        self.send(self.two, self.one, 1.4, 100.4)
        self.assertAlmostEqual(self.one.board.freshness.confirmed_at, 100.0)
        self.assertLess(len(self.one.state._times._sent_at_by_sequence), 4)

    def test_a_confirmation_that_echoes_no_report_of_ours_is_ignored(self):
        rig.confirm(self.two.board, 99.0)
        self.send(self.two, self.one, 1.0, 100.0)
        self.assertEqual(self.one.board.freshness.confirmed_at, float("-inf"))

    def test_a_confirmation_of_a_newer_configuration_is_ignored(self):
        rig.confirm(self.two.board, 99.0)
        newer = rig.make_catalog(generation=9)
        self.two.board.set_catalog(5, newer)
        self.send(self.one, self.two, 1.0, 100.0)
        self.send(self.two, self.one, 1.1, 100.1)
        self.assertEqual(self.one.board.freshness.confirmed_at, float("-inf"))

    def test_a_newer_configuration_is_copied(self):
        newer = rig.make_catalog(generation=9)
        for router in (self.one, self.two):
            router.schema.by_value[b"nine"] = newer
        entry = rig.make_entry("operators/configuration", b"nine", 50)
        self.two.reader.view.catalog.apply(entry)
        for step in range(4):
            self.send(self.one, self.two, 1.0 + step * 0.25, 100.0)
            self.send(self.two, self.one, 1.0 + step * 0.25, 100.0)
        self.assertEqual(self.one.board.catalog.generation, 9)

    def test_a_copy_that_is_cut_short_changes_nothing(self):
        value = peer_messages.compress(b"nine" * 100)
        cases = [
            ("cut short", value[:-5]),
            ("empty", b""),
            ("not compressed", b"nine"),
            ("a changed byte", value[:9] + b"\xff" + value[10:]),
            (
                "too large",
                peer_messages.compress(
                    bytes(peer_messages.MAX_VALUE_BYTES + 1)
                ),
            ),
        ]
        before = self.one.board.catalog
        for name, raw in cases:
            copy = peer_messages.CatalogCopy(
                peer_messages.EntryRow("operators/configuration", raw, 50)
            )
            with (
                self.subTest(name),
                self.assertRaises(errors.MalformedMessageError),
            ):
                self.one.state.handle_message(copy, 1.0, 100.0)
            self.assertIs(self.one.board.catalog, before)

    def test_who_answers_a_request_for_the_configuration(self):
        nine = rig.make_catalog(generation=9)
        self.two.schema.by_value[b"nine"] = nine
        entry = rig.make_entry("operators/configuration", b"nine", 50)
        self.two.reader.view.catalog.apply(entry)
        cases = [(0, 1), (7, 1), (9, 0), (12, 0)]
        for generation, count in cases:
            with self.subTest(generation):
                replies = self.two.state.handle_message(
                    peer_messages.CatalogRequest(generation), 1.0, 100.0
                )
                self.assertEqual(len(replies), count)
        # Its configuration did not come with an entry that could be copied.
        self.assertEqual(
            self.one.state.handle_message(
                peer_messages.CatalogRequest(0), 1.0, 100.0
            ),
            [],
        )

    def test_a_router_with_an_older_view_receives_the_servers(self):
        for router in (self.one, self.two):
            router.schema.by_value[b"s"] = {}
        entry = rig.make_entry("backends/s", b"s", 7)
        self.two.reader.view.apply_servers(99.0, [entry], 99.0)
        self.send(self.two, self.one, 100.0, 100.0)
        self.assertEqual(list(self.one.board.directory.server_by_id), ["s"])
        # Neither router requests it again.
        self.assertEqual(
            self.one.reader.view.view_age.age(100.0),
            self.two.reader.view.view_age.age(100.0),
        )

    def test_peer_loads_add_up_and_expire(self):
        self.two.board.load_tracker.reserve(
            (loads.Reservation("x", True, 50.0),)
        )
        self.send(self.two, self.one, 1.0, 100.0)
        self.assertEqual(
            self.one.board.load_tracker.at("x"), loads.Load(1, 1, 50.0)
        )
        self.one.board.load_tracker.expire(3.0)
        self.assertEqual(self.one.board.load_tracker.at("x"), loads.Load())

    def test_demand_is_reported_by_change(self):
        known = {rig.MODEL: {1: demand.Demand(4.0, 0.5, 2, 700.0, 900.0)}}
        self.two.board.demand.own = lambda now: known
        for now, rows in ((1.0, 1), (1.3, 0)):
            with self.subTest(now=now):
                report = self.two.state.make_report(now, 100.0)
                self.assertEqual(len(report.demand), rows)
                self.one.state.handle_message(
                    peer_messages.decode(peer_messages.encode(report)),
                    now,
                    100.0,
                )
                self.assertEqual(
                    self.one.board.demand.by_priority(now, rig.MODEL),
                    known[rig.MODEL],
                )

    def test_reports_without_demand_or_with_malformed_rows(self):
        whole = msgspec.to_builtins(self.two.state.make_report(1.0, 100.0))
        good = ["model", 1, 400, 500, 2, 700, 900]
        # message, arrivals, lines in the log
        cases = [
            ("of an older build", whole[:-1], None, 0),
            ("of a newer build", [*whole, "more"], None, 0),
            ("malformed rows", [*whole[:-1], [7, good, ["x"]]], 4.0, 1),
        ]
        for name, message, arrivals, lines in cases:
            with self.subTest(name):
                self.setUp()
                self.one.state.handle_message(
                    peer_messages.decode(peer_messages.cbor2.dumps(message)),
                    1.0,
                    100.0,
                )
                found = self.one.board.demand.by_priority(1.0, rig.MODEL)
                self.assertEqual(
                    found[1].arrivals_per_second if found else None, arrivals
                )
                logged = [
                    event
                    for event in self.one.log.events()
                    if event == "peer rows malformed"
                ]
                self.assertEqual(len(logged), lines)

    def test_a_pace_is_reported_once_by_the_router_that_read_it(self):
        three = PeerRouter("three")
        self.two.board.record_pace(1.0, "x", 4.0)
        report = self.two.state.make_report(1.1, 100.0)
        self.assertEqual(len(report.paces), 1)
        self.one.state.handle_message(report, 1.1, 100.0)
        self.assertEqual(self.one.board.pace_by_address["x"].value, 4.0)
        self.assertEqual(self.one.state.make_report(1.2, 100.0).paces, [])
        self.assertEqual(self.two.state.make_report(1.2, 100.0).paces, [])
        # On another link it is new, as is what is read later.
        state = peer_state.PeerState(self.two.board, self.two.reader, "two")
        self.assertEqual(len(state.make_report(1.3, 100.0).paces), 1)
        self.two.board.record_pace(1.4, "x", 1.0)
        report = self.two.state.make_report(1.5, 100.0)
        three.state.handle_message(report, 1.5, 100.0)
        self.assertEqual(three.board.pace_by_address["x"].value, 1.0)

    def test_which_failures_are_shared(self):
        cases = [
            ("stalled", True),
            ("unreachable", True),
            ("connect", False),
            ("peer", False),
        ]
        notified = []
        self.two.board.listeners.add(lambda: notified.append(True))
        for reason, shared in cases:
            with self.subTest(reason):
                notified.clear()
                server = rig.make_server(f"s-{reason}", address=reason)
                self.one.board.directory.put(0.0, server)
                self.two.board.suspect(
                    1.0, server, suspect_servers.Reason(reason)
                )
                self.assertEqual(bool(notified), shared)
                self.send(self.two, self.one, 1.0, 100.0)
                self.assertEqual(
                    self.one.board.suspect_servers.is_suspect(
                        server.address, server.lifetime
                    ),
                    shared,
                )

    def test_a_planners_moves_apply_until_it_is_silent(self):
        server = rig.make_server(
            "s", layers=directory.LayerRange(0, 9), revision=5
        )
        self.one.board.directory.put(0.0, server)
        self.two.board.fence = ids.FencingNumber(4)
        retained = boards.PendingMove(
            server.lifetime, directory.LayerRange(4, 9)
        )
        self.two.board.set_moves(1.0, {"s": retained})
        self.send(self.two, self.one, 1.0, 100.0)
        (seen,) = self.one.board.usable(rig.MODEL)
        self.assertEqual(seen.layers, directory.LayerRange(4, 9))
        self.one.board.expire_moves(9.0)
        (seen,) = self.one.board.usable(rig.MODEL)
        self.assertEqual(seen.layers, directory.LayerRange(0, 9))

    def test_malformed_messages(self):
        cases = [b"", b"\xff", peer_messages.cbor2.dumps([1, 2]), b"\x80"]
        for raw in cases:
            with (
                self.subTest(raw),
                self.assertRaises(errors.MalformedMessageError),
            ):
                peer_messages.decode(raw)

    def test_a_report_of_our_own_is_refused(self):
        report = self.one.state.make_report(1.0, 100.0)
        with self.assertRaises(errors.MalformedMessageError):
            self.one.state.handle_message(report, 1.0, 100.0)


if __name__ == "__main__":
    unittest.main()
