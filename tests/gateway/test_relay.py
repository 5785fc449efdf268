import asyncio
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


class RecentChangesTest(unittest.TestCase):
    def test_what_a_peer_has_not_received(self):
        recent = relayed_changes.RecentChanges("configuration")
        recent.record(0.0, ids.Revision(3), [put("s", b"", 4)])
        # Changes that this router did not relay precede these.
        recent.record(1.0, ids.Revision(5), [put("s", b"", n) for n in (6, 8)])
        recent.record(1.1, ids.Revision(8), [put("s", b"", 9)])
        cases = [
            # name, time, revision of the peer, revisions of the changes
            ("all of them", 2.0, 5, [6, 8, 9]),
            ("some", 2.0, 6, [8, 9]),
            ("between two", 2.0, 7, [8, 9]),
            ("none", 2.0, 9, []),
            ("newer", 2.0, 12, []),
            ("still on their way", 1.2, 8, []),
            ("others precede them", 2.0, 4, []),
            ("an unlisted view", 2.0, -1, []),
        ]
        for name, now, revision, expected in cases:
            with self.subTest(name):
                messages = recent.missing(now, ids.Revision(revision))
                found = [row.revision for m in messages for row in m.rows]
                self.assertEqual(found, expected)

    def test_the_number_that_is_kept_is_bounded(self):
        recent = relayed_changes.RecentChanges("configuration")
        for n in range(2000):
            recent.record(0.0, ids.Revision(n), [put("s", b"", n + 1)])
        oldest = 2000 - relayed_changes.MAX_RECENT_COUNT
        self.assertEqual(recent.missing(9.0, ids.Revision(oldest - 1)), [])
        (message,) = recent.missing(9.0, ids.Revision(oldest))
        self.assertEqual(len(message.rows), relayed_changes.MAX_RECENT_COUNT)


class WatcherTest(virtual_time_case.VirtualTimeTestCase):
    """Relies on what a router of the failure domain relays, without a planner.

    Four routers are live, with the sender and the receiver.
    """

    async def asyncSetUp(self):
        self.now = asyncio.get_running_loop().time()

    def make_router(self, vm, *, watching=False, served=True):
        router = test_peer_state.PeerRouter(vm)
        router.reader.view.revision = ids.Revision(4)
        router.reader.view.view_age.record_listing(ids.Revision(4), 99.5)
        router.reader._is_watching = watching
        if not served:
            router.reader.outage.record_failure(self.now, self.now, "lost")
        for name in {"vm-1", "vm-2", "vm-3", "vm-4"} - {vm}:
            router.board.live_peers.record_report(self.now, name, "a")
        return router

    async def test_who_relies_on_whose_watch(self):
        cases = [
            # name, changes of the sender, changes of the receiver, covered
            ("the first router watches", {}, {}, True),
            ("it does not watch", {"watching": False}, {}, False),
            ("the store does not serve it", {"served": False}, {}, False),
            ("it is not the first", {"vm": "vm-3"}, {"vm": "vm-1"}, False),
            ("another failure domain", {"home": "b"}, {}, False),
            ("the receiver watches, too", {}, {"watching": True}, True),
            ("the receiver plans", {}, {"fence": 9}, False),
            ("it lacks changes", {}, {"revision": 3}, False),
        ]
        for name, of_sender, of_receiver, covered in cases:
            with self.subTest(name):
                sender, receiver = (
                    self.make_changed(
                        {"vm": "vm-1", "watching": True} | of_sender
                    ),
                    self.make_changed({"vm": "vm-2"} | of_receiver),
                )
                report = sender.state.make_report(self.now, 100.0)
                receiver.state.handle_message(
                    peer_messages.decode(peer_messages.encode(report)),
                    self.now,
                    100.0,
                )
                self.assertIs(receiver.reader.relay.covers(self.now), covered)

    def make_changed(self, changes):
        """Returns a router whose state differs in some fields."""
        changes = dict(changes)
        fence = changes.pop("fence", 0)
        home = changes.pop("home", "a")
        revision = changes.pop("revision", 4)
        router = self.make_router(changes.pop("vm"), **changes)
        router.board.fence = ids.FencingNumber(fence)
        router.board.home = ids.FailureDomain(home)
        router.reader.view.revision = ids.Revision(revision)
        return router

    async def test_a_reader_that_is_paused_is_replaced_within_a_second(self):
        reader = self.make_router("vm-1", watching=True)
        others = [self.make_router("vm-2"), self.make_router("vm-3")]
        report = reader.state.make_report(self.now, 100.0)
        for other in others:
            other.state.handle_message(report, self.now, 100.0)
        cases = [
            # seconds, whether each of the others watches
            (0.55, (False, False)),
            (0.75, (True, False)),
            (1.05, (True, True)),
        ]
        for seconds, watching in cases:
            with self.subTest(seconds):
                now = self.now + seconds
                for router in others:
                    for name in {"vm-2", "vm-3", "vm-4"} - {router.state._vm}:
                        router.board.live_peers.record_report(now, name, "a")
                turns = [r.reader.readers.turn(now) for r in others]
                found = tuple(
                    not router.reader.relay.covers(now, turn.delay)
                    for router, turn in zip(others, turns, strict=True)
                )
                self.assertEqual(found, watching)


if __name__ == "__main__":
    unittest.main()
