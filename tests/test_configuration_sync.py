"""Tests of how configurations propagate between processes."""

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
    """Returns the head and all chunks of a declaration."""
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


def generation_by_router(cluster):
    """Returns the generation in force at each router."""
    return {
        vm: process.router.configuration.generation
        for vm, process in cluster.router_by_vm.items()
    }


def make_declaration(accounts: int):
    """Returns a declaration with that many accounts."""
    return test_configuration.make_accounts(accounts)


class ConfigurationSyncTest(unittest.TestCase):
    def setUp(self):
        self.sync = sync.ConfigurationSync()
        self.declared = make_declaration(1)
        self.head, self.chunks = make_head(self.declared, 5)

    def _feed(self, actions, now=0.0):
        """Answers all requests as a peer with all chunks would.

        Returns:
            The activations.
        """
        activated = []
        while actions:
            action = actions.pop(0)
            if isinstance(action, sync.Activated):
                activated.append(action)
                continue
            actions += self.sync.receive_head(self.head, now, action.peer)
            for digest in action.message.chunks:
                actions += self.sync.receive_chunk(
                    control_messages.ConfigurationChunk(
                        digest, self.chunks[digest]
                    ),
                    now,
                )
        return activated

    def test_newer_configuration_is_fetched_from_the_peer(self):
        actions = self.sync.record_peer(PEER, ids.Generation(5), 0.0)
        (activated,) = self._feed(actions)
        self.assertEqual(activated.head, self.head)
        self.assertEqual(activated.declared, self.declared)
        self.assertEqual(self.sync.chunk_by_digest, self.chunks)

    def test_older_and_equal_heads_change_nothing(self):
        self._feed(self.sync.record_peer(PEER, ids.Generation(5), 0.0))
        for name, head in {
            "older": make_head(make_declaration(2), 4, time=9.0)[0],
            "same": self.head,
            "same generation, earlier": make_head(
                make_declaration(2), 5, time=0.5
            )[0],
        }.items():
            with self.subTest(name):
                self.assertEqual(self.sync.receive_head(head, 1.0, PEER), [])
                self.assertEqual(self.sync.head, self.head)

    def test_unresponsive_peer_is_replaced_by_another(self):
        self.sync.record_peer(OTHER, ids.Generation(5), 0.0)
        self.sync.record_peer(PEER, ids.Generation(5), 0.0)
        asked = [
            action.peer for now in (2.0, 4.0) for action in self.sync.tick(now)
        ]
        self.assertEqual(set(asked), {PEER, OTHER})

    def test_head_with_unavailable_chunks_is_abandoned(self):
        lost, _ = make_head(make_declaration(3), 9)
        self.sync.receive_head(lost, 0.0)
        self.sync.record_peer(PEER, ids.Generation(5), 0.0)
        now = sync.PENDING_HEAD_TIMEOUT_SECONDS + 1
        (activated,) = self._feed(self.sync.tick(now), now)
        self.assertEqual(activated.head.generation, 5)

    def test_damaged_and_unrequested_chunks_are_discarded(self):
        self.sync.receive_head(self.head, 0.0, PEER)
        digest = self.head.chunks[0]
        for chunk in (
            control_messages.ConfigurationChunk(digest, b"damaged"),
            control_messages.ConfigurationChunk(ids.Digest("00"), b"x"),
        ):
            self.assertEqual(self.sync.receive_chunk(chunk, 0.0), [])
        self.assertEqual(self.sync.chunk_by_digest, {})


class FreshnessTest(unittest.TestCase):
    OWN = ids.Generation(5)

    def _make(self):
        return sync.Freshness(max_pause=5.0, stale_report_window=1.5, now=0.0)

    def test_freshness_after_the_start(self):
        for name, generation_by_peer, known, fresh in (
            ("nobody", {}, 3, False),
            ("one of three", {PEER: 5}, 3, False),
            ("two of three", {PEER: 5, OTHER: 4}, 3, True),
            ("one shows a newer", {PEER: 6, OTHER: 4}, 3, False),
            ("the only one", {PEER: 5}, 1, True),
            ("alone", {}, 0, False),
        ):
            with self.subTest(name):
                freshness = self._make()
                for vm, generation in generation_by_peer.items():
                    freshness.record_peer(vm, ids.Generation(generation), 1.0)
                self.assertEqual(
                    freshness.is_fresh(self.OWN, known, 1.0), fresh
                )

    def test_freshness_after_a_pause(self):
        for name, pause, fresh in (("short", 4.9, True), ("long", 5.1, False)):
            with self.subTest(name):
                freshness = self._make()
                freshness.record_service(0.0)
                self.assertTrue(freshness.is_fresh(self.OWN, 2, 0.5))
                self.assertEqual(
                    freshness.is_fresh(self.OWN, 2, 0.5 + pause), fresh
                )

    def test_confirmed_process_discards_the_generations_of_peers(self):
        freshness = self._make()
        freshness.record_peer(PEER, self.OWN, 0.1)
        self.assertTrue(freshness.is_fresh(self.OWN, 1, 0.2))
        freshness.record_peer(OTHER, self.OWN, 0.3)
        self.assertEqual(freshness._generation_by_peer, {})

    def test_reports_sent_before_the_end_of_a_pause_are_ignored(self):
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


class ClusterTest(unittest.TestCase):
    """Complete routers and agents over in-memory connections."""

    def _run(self, scenario, routers=3, runners=3, **settings_):
        async def run():
            cluster = utils.Cluster(**settings_)
            await cluster.start(runners=runners, routers=routers)
            try:
                return await scenario(cluster)
            finally:
                await cluster.stop()

        return virtual_time.run(run())

    def test_agents_and_routers_follow_an_apply(self):
        async def scenario(cluster):
            await cluster.apply(make_declaration(2))
            await asyncio.sleep(1.5)
            agents = {
                vm: member.generation
                for vm, member in (
                    cluster.router.membership.member_by_vm.items()
                )
            }
            return generation_by_router(cluster), agents

        routers, agents = self._run(scenario)
        self.assertEqual(set(routers.values()), {2})
        self.assertEqual(len(agents), 4)
        self.assertEqual(set(agents.values()), {2})

    def test_one_updated_router_updates_the_others_in_an_outage(self):
        async def scenario(cluster):
            # Only the first router can reach the key-value service.
            first, *others = cluster.router_by_vm.values()
            for process in others:
                process.router.configuration._store.disconnected = True
            await cluster.apply(make_declaration(2))
            await asyncio.sleep(0.2)
            cluster.store.set_down(True)
            before = generation_by_router(cluster)
            await asyncio.sleep(3.0)
            return before, generation_by_router(cluster)

        before, after = self._run(scenario, routers=12)
        self.assertEqual(before[ids.VmId("entry-1")], 2)
        self.assertEqual(set(after.values()), {2})

    def test_outage_of_the_key_value_service_alone_stops_no_work(self):
        async def scenario(cluster):
            cluster.store.set_down(True)
            await asyncio.sleep(90.0)
            for process in cluster.router_by_vm.values():
                process.router.check_accepts_work()
            return await cluster.read(cluster.start_chat(8))

        text = self._run(scenario)
        self.assertEqual(text, utils.reference_text(utils.PROMPT, 8))

    def test_vm_replaced_in_an_outage_is_configured_by_its_peers(self):
        async def scenario(cluster):
            await cluster.apply(make_declaration(2))
            await asyncio.sleep(1.0)
            cluster.store.set_down(True)
            await cluster.kill("entry-2")
            await asyncio.sleep(5.0)
            cluster.add_router("entry-2", 1)
            await asyncio.sleep(5.0)
            new = cluster.router_by_vm[ids.VmId("entry-2")].router
            new.check_accepts_work()
            return generation_by_router(cluster)

        self.assertEqual(set(self._run(scenario).values()), {2})

    def test_new_vm_without_any_source_refuses_work(self):
        async def scenario():
            cluster = utils.Cluster()
            cluster.store.set_down(True)
            router = cluster.add_router("entry-1").router
            await asyncio.sleep(30.0)
            try:
                with self.assertRaises(errors.RefusedError) as caught:
                    router.check_accepts_work()
            finally:
                await cluster.stop()
            return caught.exception

        error = virtual_time.run(scenario())
        self.assertEqual(error.kind, errors.ErrorKind.CONFIGURATION_STALE)

    def test_process_paused_across_an_apply_refuses_work_until_fresh(self):
        for down in (False, True):
            with self.subTest(service_down=down):
                kinds, generation, waited = self._run(self._pause(down))
                self.assertEqual(kinds, [errors.ErrorKind.CONFIGURATION_STALE])
                self.assertEqual(generation, 2)
                self.assertLess(waited, 5.0)

    def _pause(self, down):
        async def scenario(cluster):
            paused = cluster.router_by_vm[ids.VmId("entry-2")]
            paused.clock.pause()
            await asyncio.sleep(1.0)
            await cluster.apply(make_declaration(2))
            await asyncio.sleep(10.0)
            cluster.store.set_down(down)
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

    def test_newest_configuration_is_rewritten_after_a_restore(self):
        async def scenario(cluster):
            backup = cluster.store.dump()
            for n in (2, 3):
                await cluster.apply(make_declaration(n))
                await asyncio.sleep(1.0)
            cluster.store.restore(backup)
            await asyncio.sleep(6.0)
            head, declared = await configuration.read(cluster.store)
            return (
                head,
                len(declared.client_accounts),
                generation_by_router(cluster),
            )

        head, accounts, found = self._run(scenario)
        self.assertEqual((head.generation, accounts), (3, 3))
        self.assertEqual(set(found.values()), {3})

    def test_apply_to_a_restored_service_takes_effect(self):
        async def scenario(cluster):
            backup = cluster.store.dump()
            for n in (2, 3, 4):
                await cluster.apply(make_declaration(n))
                await asyncio.sleep(1.0)
            cluster.store.restore(backup)
            await cluster.apply(make_declaration(7))
            await asyncio.sleep(6.0)
            counts = {
                len(p.router.authenticator._account_by_hash)
                for p in cluster.router_by_vm.values()
            }
            head, _ = await configuration.read(cluster.store)
            return counts, generation_by_router(cluster), head

        counts, found, head = self._run(scenario)
        self.assertEqual(counts, {7})
        self.assertEqual(set(found.values()), {head.generation})
        self.assertGreater(head.generation, 4)

    def test_partitioned_routers_converge_when_reconnected(self):
        async def scenario(cluster):
            near, far, *_ = cluster.router_by_vm.values()
            for one in cluster.router_by_vm.values():
                if one is not far:
                    cluster.network.partition(one.address, far.address)
            far.router.configuration._store.disconnected = True
            await cluster.apply(make_declaration(2))
            await asyncio.sleep(5.0)
            before = generation_by_router(cluster)
            for one in cluster.router_by_vm.values():
                cluster.network.join(one.address, far.address)
            await asyncio.sleep(8.0)
            return before, generation_by_router(cluster)

        before, after = self._run(scenario)
        self.assertEqual(before[ids.VmId("entry-2")], 1)
        self.assertEqual(set(after.values()), {2})

    def test_apply_is_noticed_despite_a_stalled_watch(self):
        async def scenario(cluster):
            process = cluster.router_by_vm[ids.VmId("entry-1")]
            process.router.configuration._store.watch_stalled = True
            await cluster.apply(make_declaration(2))
            await asyncio.sleep(4.0)
            return generation_by_router(cluster)

        self.assertEqual(set(self._run(scenario, routers=1).values()), {2})

    def test_calls_to_the_service_stay_bounded(self):
        async def scenario(cluster):
            start = cluster.store.calls
            await asyncio.sleep(60.0)
            steady = (cluster.store.calls - start) / 60
            cluster.store.set_down(True)
            start = cluster.store.calls
            await asyncio.sleep(60.0)
            outage = (cluster.store.calls - start) / 60
            cluster.store.set_down(False)
            start = cluster.store.calls
            await asyncio.sleep(1.0)
            return steady, outage, cluster.store.calls - start

        bounds = settings.Bounds(heartbeat_seconds=5.0, silence_seconds=15.0)
        steady, outage, recovery = self._run(
            scenario, routers=24, runners=0, bounds=bounds
        )
        self.assertLess(steady, 60)
        self.assertLess(outage, 60)
        self.assertLess(recovery, 200)


class ApplyAfterRestoreTest(unittest.TestCase):
    def test_apply_after_a_restore_continues_from_the_routers_head(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start(routers=2, runners=0)
            backup = cluster.store.dump()
            for n in (2, 3):
                await cluster.apply(make_declaration(n))
                await asyncio.sleep(1.0)
            known = cluster.router.configuration._sync.head
            cluster.store.restore(backup)
            applier = configuration_apply.Applier(cluster.store, asyncio.sleep)
            head = await applier.apply(
                make_declaration(9),
                test_configuration.make_apply_request("ben", known=known),
            )
            await asyncio.sleep(4.0)
            found = generation_by_router(cluster)
            await cluster.stop()
            return head, found

        head, found = virtual_time.run(scenario())
        self.assertEqual(head.generation, 4)
        self.assertEqual(set(found.values()), {4})


if __name__ == "__main__":
    unittest.main()
