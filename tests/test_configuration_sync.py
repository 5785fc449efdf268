"""Tests of the configuration's way to every process, by real routers."""

import asyncio
import unittest

from nutmeglift import configuration
from nutmeglift import configuration_apply
from nutmeglift import configuration_chunks as chunks
from nutmeglift import configuration_sync as sync
from nutmeglift import control_messages
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings
from tests import test_configuration
from tests import utils
from tests import virtual_time

PEER = ids.VmId("entry-9")
OTHER = ids.VmId("entry-8")


def make_head(declared, generation, time=1.0, apply="a"):
    """Returns a head and all chunks of a declaration."""
    split = chunks.ChunkedDeclaration(declared)
    head = configuration.Head(
        ids.Generation(generation),
        chunks.root_digest(split.index),
        split.index,
        ids.ApplyId(apply),
        "ana",
        time,
        ids.Digest(""),
    )
    return head, split.chunk_by_digest


def generations(world):
    """Returns the generation in force at every router."""
    return {
        vm: process.router.configuration.generation
        for vm, process in world.router_by_vm.items()
    }


def make_declared(accounts: int):
    """Returns a declaration that differs by its number of accounts."""
    return test_configuration.make_accounts(accounts)


class SpreadTest(unittest.TestCase):
    def setUp(self):
        self.spread = sync.ConfigurationSync()
        self.declared = make_declared(1)
        self.head, self.chunks = make_head(self.declared, 5)

    def _feed(self, actions, now=0.0):
        """Answers every question as a peer that has all chunks would."""
        in_force = []
        while actions:
            action = actions.pop(0)
            if isinstance(action, sync.Activated):
                in_force.append(action)
                continue
            actions += self.spread.receive_head(self.head, now, action.peer)
            for digest in action.message.chunks:
                actions += self.spread.receive_chunk(
                    control_messages.ConfigurationChunk(
                        digest, self.chunks[digest]
                    ),
                    now,
                )
        return in_force

    def test_newer_peer_is_asked_until_all_is_here(self):
        actions = self.spread.record_peer(PEER, ids.Generation(5), 0.0)
        (in_force,) = self._feed(actions)
        self.assertEqual(in_force.head, self.head)
        self.assertEqual(in_force.declared, self.declared)
        self.assertEqual(self.spread.chunk_by_digest, self.chunks)

    def test_older_and_equal_heads_change_nothing(self):
        self._feed(self.spread.record_peer(PEER, ids.Generation(5), 0.0))
        for name, head in {
            "older": make_head(make_declared(2), 4, time=9.0)[0],
            "same": self.head,
            "same generation, earlier": make_head(
                make_declared(2), 5, time=0.5
            )[0],
        }.items():
            with self.subTest(name):
                self.assertEqual(self.spread.receive_head(head, 1.0, PEER), [])
                self.assertEqual(self.spread.head, self.head)

    def test_silent_peer_is_left_for_another(self):
        self.spread.record_peer(OTHER, ids.Generation(5), 0.0)
        self.spread.record_peer(PEER, ids.Generation(5), 0.0)
        asked = [
            action.peer
            for now in (2.0, 4.0)
            for action in self.spread.tick(now)
        ]
        self.assertEqual(set(asked), {PEER, OTHER})

    def test_head_whose_chunks_are_lost_gives_way(self):
        lost, _ = make_head(make_declared(3), 9)
        self.spread.receive_head(lost, 0.0)
        self.spread.record_peer(PEER, ids.Generation(5), 0.0)
        now = sync.PENDING_HEAD_TIMEOUT_SECONDS + 1
        (in_force,) = self._feed(self.spread.tick(now), now)
        self.assertEqual(in_force.head.generation, 5)

    def test_damaged_and_unasked_chunks_are_dropped(self):
        self.spread.receive_head(self.head, 0.0, PEER)
        digest = self.head.chunks[0]
        for chunk in (
            control_messages.ConfigurationChunk(digest, b"damaged"),
            control_messages.ConfigurationChunk(ids.Digest("00"), b"x"),
        ):
            self.assertEqual(self.spread.receive_chunk(chunk, 0.0), [])
        self.assertEqual(self.spread.chunk_by_digest, {})


class FreshnessTest(unittest.TestCase):
    OWN = ids.Generation(5)

    def _make(self):
        return sync.Freshness(max_pause=5.0, stale_report_window=1.5, now=0.0)

    def test_start(self):
        for name, shown, known, fresh in (
            ("nobody", {}, 3, False),
            ("one of three", {PEER: 5}, 3, False),
            ("two of three", {PEER: 5, OTHER: 4}, 3, True),
            ("one shows a newer", {PEER: 6, OTHER: 4}, 3, False),
            ("the only one", {PEER: 5}, 1, True),
            ("alone", {}, 0, False),
        ):
            with self.subTest(name):
                freshness = self._make()
                for vm, generation in shown.items():
                    freshness.record_peer(vm, ids.Generation(generation), 1.0)
                self.assertEqual(
                    freshness.is_fresh(self.OWN, known, 1.0), fresh
                )

    def test_pause(self):
        for name, pause, fresh in (("short", 4.9, True), ("long", 5.1, False)):
            with self.subTest(name):
                freshness = self._make()
                freshness.record_service(0.0)
                self.assertTrue(freshness.is_fresh(self.OWN, 2, 0.5))
                self.assertEqual(
                    freshness.is_fresh(self.OWN, 2, 0.5 + pause), fresh
                )

    def test_confirmed_process_keeps_nothing_about_its_peers(self):
        freshness = self._make()
        freshness.record_peer(PEER, self.OWN, 0.1)
        self.assertTrue(freshness.is_fresh(self.OWN, 1, 0.2))
        freshness.record_peer(OTHER, self.OWN, 0.3)
        self.assertEqual(freshness._generation_by_peer, {})

    def test_what_was_said_before_the_pause_ended_proves_nothing(self):
        freshness = self._make()
        freshness.record_service(0.0)
        freshness.tick(20.0)
        for vm in (PEER, OTHER):
            freshness.record_peer(vm, self.OWN, 20.1)
        freshness.record_service(0.4)
        self.assertFalse(freshness.is_fresh(self.OWN, 2, 20.2))
        for vm in (PEER, OTHER):
            freshness.record_peer(vm, self.OWN, 22.0)
        self.assertTrue(freshness.is_fresh(self.OWN, 2, 22.0))


class WorldTest(unittest.TestCase):
    """Whole routers and agents over in-memory connections."""

    def _run(self, scenario, routers=3, runners=3, **settings_):
        async def run():
            world = utils.World(**settings_)
            await world.start(runners=runners, routers=routers)
            try:
                return await scenario(world)
            finally:
                await world.stop()

        return virtual_time.run(run())

    def test_agents_and_routers_follow_an_apply(self):
        async def scenario(world):
            await world.apply(make_declared(2))
            await asyncio.sleep(1.5)
            agents = {
                vm: member.generation
                for vm, member in (world.router.membership.member_by_vm.items())
            }
            return generations(world), agents

        routers, agents = self._run(scenario)
        self.assertEqual(set(routers.values()), {2})
        self.assertEqual(len(agents), 4)
        self.assertEqual(set(agents.values()), {2})

    def test_one_router_that_heard_tells_the_rest_in_an_outage(self):
        async def scenario(world):
            # Only the first router's connection to the service works.
            first, *others = world.router_by_vm.values()
            for process in others:
                process.router.configuration._store.lost = True
            await world.apply(make_declared(2))
            await asyncio.sleep(0.2)
            world.store.set_down(True)
            before = generations(world)
            await asyncio.sleep(3.0)
            return before, generations(world)

        before, after = self._run(scenario, routers=12)
        self.assertEqual(before[ids.VmId("entry-1")], 2)
        self.assertEqual(set(after.values()), {2})

    def test_outage_of_the_service_alone_stops_no_work(self):
        async def scenario(world):
            world.store.set_down(True)
            await asyncio.sleep(90.0)
            for process in world.router_by_vm.values():
                process.router.check_accepts_work()
            return await world.read(world.start_chat(8))

        text = self._run(scenario)
        self.assertEqual(text, utils.reference_text(utils.PROMPT, 8))

    def test_vm_replaced_in_an_outage_learns_from_peers(self):
        async def scenario(world):
            await world.apply(make_declared(2))
            await asyncio.sleep(1.0)
            world.store.set_down(True)
            await world.kill("entry-2")
            await asyncio.sleep(5.0)
            world.add_router("entry-2", 1)
            await asyncio.sleep(5.0)
            new = world.router_by_vm[ids.VmId("entry-2")].router
            new.check_accepts_work()
            return generations(world)

        self.assertEqual(set(self._run(scenario).values()), {2})

    def test_new_vm_without_any_source_takes_no_work(self):
        async def scenario():
            world = utils.World()
            world.store.set_down(True)
            router = world.add_router("entry-1").router
            await asyncio.sleep(30.0)
            try:
                with self.assertRaises(errors.RefusedError) as caught:
                    router.check_accepts_work()
            finally:
                await world.stop()
            return caught.exception

        error = virtual_time.run(scenario())
        self.assertEqual(error.kind, errors.ErrorKind.CONFIGURATION_STALE)

    def test_process_paused_across_an_apply_confirms_first(self):
        for down in (False, True):
            with self.subTest(service_down=down):
                kinds, generation, waited = self._run(self._pause(down))
                self.assertEqual(kinds, [errors.ErrorKind.CONFIGURATION_STALE])
                self.assertEqual(generation, 2)
                self.assertLess(waited, 5.0)

    def _pause(self, down):
        async def scenario(world):
            paused = world.router_by_vm[ids.VmId("entry-2")]
            paused.clock.pause()
            await asyncio.sleep(1.0)
            await world.apply(make_declared(2))
            await asyncio.sleep(10.0)
            world.store.set_down(down)
            paused.clock.resume()
            kinds = []
            started = asyncio.get_running_loop().time()
            while True:
                try:
                    paused.router.check_accepts_work()
                    break
                except errors.RefusedError as error:
                    if error.kind not in kinds:
                        kinds.append(error.kind)
                await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            return (
                kinds,
                paused.router.configuration.generation,
                now - started,
            )

        return scenario

    def test_restored_service_gets_the_newest_back(self):
        async def scenario(world):
            backup = world.store.dump()
            for n in (2, 3):
                await world.apply(make_declared(n))
                await asyncio.sleep(1.0)
            world.store.restore(backup)
            await asyncio.sleep(6.0)
            head, declared = await configuration.read(world.store)
            return head, len(declared.client_accounts), generations(world)

        head, accounts, found = self._run(scenario)
        self.assertEqual((head.generation, accounts), (3, 3))
        self.assertEqual(set(found.values()), {3})

    def test_apply_to_a_restored_service_counts(self):
        async def scenario(world):
            backup = world.store.dump()
            for n in (2, 3, 4):
                await world.apply(make_declared(n))
                await asyncio.sleep(1.0)
            world.store.restore(backup)
            await world.apply(make_declared(7))
            await asyncio.sleep(6.0)
            counts = {
                len(p.router.authenticator._account_by_hash)
                for p in world.router_by_vm.values()
            }
            head, _ = await configuration.read(world.store)
            return counts, generations(world), head

        counts, found, head = self._run(scenario)
        self.assertEqual(counts, {7})
        self.assertEqual(set(found.values()), {head.generation})
        self.assertGreater(head.generation, 4)

    def test_parted_routers_agree_when_joined(self):
        async def scenario(world):
            near, far, *_ = world.router_by_vm.values()
            for one in world.router_by_vm.values():
                if one is not far:
                    world.network.partition(one.address, far.address)
            far.router.configuration._store.lost = True
            await world.apply(make_declared(2))
            await asyncio.sleep(5.0)
            before = generations(world)
            for one in world.router_by_vm.values():
                world.network.join(one.address, far.address)
            await asyncio.sleep(8.0)
            return before, generations(world)

        before, after = self._run(scenario)
        self.assertEqual(before[ids.VmId("entry-2")], 1)
        self.assertEqual(set(after.values()), {2})

    def test_silent_watch_does_not_hide_an_apply(self):
        async def scenario(world):
            process = world.router_by_vm[ids.VmId("entry-1")]
            process.router.configuration._store.watch_silent = True
            await world.apply(make_declared(2))
            await asyncio.sleep(4.0)
            return generations(world)

        self.assertEqual(set(self._run(scenario, routers=1).values()), {2})

    def test_calls_to_the_service_stay_bounded(self):
        async def scenario(world):
            start = world.store.calls
            await asyncio.sleep(60.0)
            steady = (world.store.calls - start) / 60
            world.store.set_down(True)
            start = world.store.calls
            await asyncio.sleep(60.0)
            outage = (world.store.calls - start) / 60
            world.store.set_down(False)
            start = world.store.calls
            await asyncio.sleep(1.0)
            return steady, outage, world.store.calls - start

        bounds = settings.Bounds(heartbeat_seconds=5.0, silence_seconds=15.0)
        steady, outage, herd = self._run(
            scenario, routers=24, runners=0, bounds=bounds
        )
        self.assertLess(steady, 60)
        self.assertLess(outage, 60)
        self.assertLess(herd, 200)


class ApplierKnownTest(unittest.TestCase):
    def test_restored_apply_asks_routers(self):
        async def scenario():
            world = utils.World()
            await world.start(routers=2, runners=0)
            backup = world.store.dump()
            for n in (2, 3):
                await world.apply(make_declared(n))
                await asyncio.sleep(1.0)
            known = world.router.configuration._sync.head
            world.store.restore(backup)
            applier = configuration_apply.Applier(world.store, asyncio.sleep)
            head = await applier.apply(
                make_declared(9),
                test_configuration.make_applying("ben", known=known),
            )
            await asyncio.sleep(4.0)
            found = generations(world)
            await world.stop()
            return head, found

        head, found = virtual_time.run(scenario())
        self.assertEqual(head.generation, 4)
        self.assertEqual(set(found.values()), {4})


if __name__ == "__main__":
    unittest.main()
