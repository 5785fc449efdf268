import unittest

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import directory
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import relay
from nutmeglift_gateway import relayed_changes
from tests.gateway import rig
from tests.gateway import test_peer_state
from tests.gateway import virtual_time_case


class RelayTest(unittest.TestCase):
    def test_when_our_own_watch_is_unnecessary(self):
        cases = [
            # live, planner's revision, own revision, elapsed s, unnecessary
            (True, 7, 7, 0.1, True),
            (True, 7, 9, 0.1, True),
            (True, 7, 6, 0.1, False),
            (False, 7, 7, 0.1, False),
            (True, 7, 7, relay.PLANNER_REPORT_MAX_AGE_SECONDS + 0.01, False),
        ]
        for live, theirs, ours, elapsed, unnecessary in cases:
            with self.subTest(live=live, theirs=theirs, elapsed=elapsed):
                watch_relay = relay.Relay()
                watch_relay.record_report(
                    10.0, live=live, revision=theirs, own_revision=ours
                )
                self.assertEqual(
                    watch_relay.covers(10.0 + elapsed), unnecessary
                )

    def test_without_a_planner_every_router_watches(self):
        self.assertFalse(relay.Relay().covers(0.0))


def put(key, value, revision):
    return kv.WatchEvent(kv.WatchKind.PUT, rig.make_entry(key, value, revision))


class RelayedChangesTest(virtual_time_case.VirtualTimeTestCase):
    """Applies a planner's changes at another router, without a socket."""

    async def asyncSetUp(self):
        self.planner = test_peer_state.PeerRouter("planner")
        self.other = test_peer_state.PeerRouter("other")
        for router in (self.planner, self.other):
            router.schema.by_value[b"s"] = {}
            router.schema.by_value[b"leaving"] = {
                "state": directory.ServerState.DRAINING
            }
            router.reader.view.revision = ids.Revision(4)
        self.planner.board.fence = ids.FencingNumber(9)
        self.planner.reader.view.view_age.record_listing(ids.Revision(4), 99.5)

    def send_changes(self, after, events):
        (message,) = relayed_changes.encode(
            ids.Revision(after), events, self.planner.reader.view.catalog.key
        )
        raw = peer_messages.encode(message)
        self.other.state.handle_message(peer_messages.decode(raw), 1.0, 100.0)

    def send_report(self, now=1.0):
        raw = peer_messages.encode(self.planner.state.make_report(now, 100.0))
        self.other.state.handle_message(peer_messages.decode(raw), now, 100.0)

    async def test_consecutive_changes_are_applied_once_and_in_order(self):
        listed = self.other.board.directory.server_by_id
        self.send_changes(4, [put("backends/s", b"s", 5)])
        self.send_changes(5, [put("backends/s", b"leaving", 6)])
        self.send_changes(4, [put("backends/s", b"s", 5)])
        self.assertEqual(listed["s"].state, directory.ServerState.DRAINING)
        self.assertEqual(self.other.reader.view.revision, 6)

    async def test_changes_after_a_gap_are_left_to_our_own_watch(self):
        self.send_changes(7, [put("backends/s", b"s", 8)])
        self.assertEqual(self.other.board.directory.server_by_id, {})
        self.planner.reader.view.revision = ids.Revision(8)
        self.send_report()
        self.assertFalse(self.other.reader.relay.covers(1.0))

    async def test_a_caught_up_router_needs_no_watch(self):
        self.send_changes(4, [put("backends/s", b"s", 5)])
        self.planner.reader.view.revision = ids.Revision(5)
        self.send_report()
        self.assertTrue(self.other.reader.relay.covers(1.0))

    async def test_the_planners_view_is_dated_by_our_own_report(self):
        own = self.other.state.make_report(1.0, 100.0)
        self.planner.state.handle_message(own, 1.0, 100.0)
        report = self.planner.state.make_report(1.5, 100.5)
        self.other.state.handle_message(report, 9.0, 108.0)
        # It was 1.0 s old when it was sent, after our report at 100.0.
        age = self.other.reader.view.view_age
        self.assertAlmostEqual(age.complete_at, 99.0)

    async def test_which_reports_of_a_view_show_that_changes_are_missing(self):
        cases = [
            # name, own revision, planner's revision, missing
            ("the same", 4, 4, False),
            ("the planner lacks changes", 5, 4, False),
            ("we lack changes", 4, 5, True),
        ]
        for name, ours, theirs, missing in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                self.other.reader.view.revision = ids.Revision(ours)
                self.planner.reader.view.revision = ids.Revision(theirs)
                self.send_report()
                age = self.other.reader.view.view_age
                self.assertEqual(age.is_behind, missing)

    async def test_a_copied_view_dates_no_other_and_covers_no_router(self):
        self.planner.reader.view.apply_servers(1.0, [], 99.9)
        self.send_report()
        self.assertFalse(self.other.reader.relay.covers(1.0))
        self.assertFalse(self.other.reader.view.view_age.is_behind)

    async def test_a_planner_without_the_store_covers_no_router(self):
        self.planner.reader.outage.record_failure(1.0, 1.0, "lost")
        self.send_report()
        self.assertFalse(self.other.reader.relay.covers(1.0))

    async def test_a_former_planner_covers_no_router(self):
        self.other.board.record_planner(ids.FencingNumber(12))
        self.send_report()
        self.assertFalse(self.other.reader.relay.covers(1.0))

    async def test_a_configuration_is_read_from_the_store(self):
        key = self.planner.reader.view.catalog.key
        self.send_changes(4, [put(key, b"large", 5)])
        self.assertEqual(self.other.board.catalog.generation, 7)
        self.assertEqual(self.other.reader.view.revision, 5)
        self.assertTrue(self.other.reader.needs_catalog(10.0))


if __name__ == "__main__":
    unittest.main()
