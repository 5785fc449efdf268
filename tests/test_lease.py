"""Tests of the planner lease and its fencing numbers."""

import asyncio
import unittest

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import lease
from nutmeglift_router import blackboard_entries
from tests import utils
from tests import virtual_time


class LocalLeaseTest(unittest.TestCase):
    def test_local_lease_expires_before_the_stored_lease(self):
        local_lease = lease.LocalLease()
        self.assertIsNone(local_lease.number(0.0))
        local_lease.extend(ids.FencingNumber(3), sent_at=10.0, ttl=6.0)
        for now, number in ((10.0, 3), (14.9, 3), (15.0, None), (99.0, None)):
            with self.subTest(now):
                self.assertEqual(local_lease.number(now), number)
        local_lease.extend(ids.FencingNumber(3), sent_at=14.0, ttl=6.0)
        local_lease.end()
        self.assertIsNone(local_lease.number(14.1))


class AcquireTest(unittest.TestCase):
    async def _acquire(self, store, name, known=0):
        role = await lease.read(store)
        return await lease.acquire(
            store,
            role,
            await store.grant(6.0),
            vm=ids.VmId(name),
            incarnation=ids.Incarnation(name),
            highest_known=ids.FencingNumber(known),
        )

    def test_fencing_numbers_strictly_increase(self):
        async def scenario():
            store = kv.MemoryKv()
            numbers = []
            for name in ("a", "b", "c"):
                holder = await self._acquire(store, name)
                numbers.append(holder.fencing_number)
                self.assertIsNone(await self._acquire(store, "other"))
                await asyncio.sleep(6.1)
            backup = store.dump()
            numbers.append((await self._acquire(store, "d")).fencing_number)
            store.restore(backup)
            holder = await self._acquire(store, "e", known=numbers[-1])
            numbers.append(holder.fencing_number)
            return numbers

        self.assertEqual(virtual_time.run(scenario()), [1, 2, 3, 4, 5])

    def test_concurrent_acquisition_has_one_winner(self):
        async def scenario():
            store = kv.MemoryKv()
            store.delay = 0.01
            return await asyncio.gather(
                *(self._acquire(store, f"{n}") for n in range(5))
            )

        found = virtual_time.run(scenario())
        self.assertEqual(sum(holder is not None for holder in found), 1)

    def test_holder_without_a_lease_after_a_restore_is_replaced(self):
        async def scenario():
            store = kv.MemoryKv()
            await self._acquire(store, "old")
            store.restore(store.dump())
            return await self._acquire(store, "new")

        self.assertEqual(virtual_time.run(scenario()).fencing_number, 2)


class ControllerTest(unittest.TestCase):
    """Tests the lease with complete routers."""

    def _run(self, scenario, routers=3):
        async def run():
            cluster = utils.Cluster()
            await cluster.start(runners=0, services=0, routers=routers)
            try:
                return await scenario(cluster)
            finally:
                await cluster.stop()

        return virtual_time.run(run())

    @staticmethod
    def _holders(cluster):
        return {
            vm: number
            for vm, process in cluster.router_by_vm.items()
            if (number := process.router.lease.held_fencing_number())
            is not None
        }

    @staticmethod
    def _leaders(cluster):
        return {
            process.router.board.read(blackboard_entries.LEADER)
            for process in cluster.router_by_vm.values()
        }

    def test_all_routers_agree_on_the_single_holder(self):
        async def scenario(cluster):
            await asyncio.sleep(20.0)
            return self._holders(cluster), self._leaders(cluster)

        holders, leaders = self._run(scenario)
        ((vm, number),) = holders.items()
        self.assertEqual(leaders, {blackboard_entries.Leader(vm, number)})
        self.assertEqual(number, 1)

    def test_paused_holder_resumes_without_the_lease(self):
        async def scenario(cluster):
            ((vm, _),) = self._holders(cluster).items()
            old = cluster.router_by_vm[vm]
            old.clock.pause()
            await asyncio.sleep(20.0)
            old.clock.resume()
            on_resume = old.router.lease.held_fencing_number()
            await asyncio.sleep(10.0)
            known = {
                p.router.lease.fencing_number
                for p in cluster.router_by_vm.values()
            }
            return vm, on_resume, self._holders(cluster), known

        vm, on_resume, holders, known = self._run(scenario)
        self.assertIsNone(on_resume)
        ((new, number),) = holders.items()
        self.assertNotEqual(new, vm)
        self.assertEqual(number, 2)
        self.assertEqual(known, {2})

    def test_never_two_holders(self):
        """Checks throughout pauses, lost connections and store outages."""

        async def scenario(cluster):
            names = list(cluster.router_by_vm)
            numbers = []
            for step in range(30):
                holders = [*self._holders(cluster), names[step % len(names)]]
                process = cluster.router_by_vm[holders[0]]
                store = process.router.lease._store
                match step % 4:
                    case 0:
                        process.clock.pause()
                    case 1:
                        store.disconnected = True
                    case 2:
                        cluster.store.set_down(True)
                for _ in range(40):
                    await asyncio.sleep(0.2)
                    running = {
                        vm: number
                        for vm, number in self._holders(cluster).items()
                        if cluster.router_by_vm[vm].clock._running.is_set()
                    }
                    self.assertLessEqual(len(running), 1, step)
                    numbers += running.values()
                process.clock.resume()
                store.disconnected = False
                cluster.store.set_down(False)
                await asyncio.sleep(3.0)
            return numbers

        numbers = self._run(scenario)
        self.assertEqual(numbers, sorted(numbers))
        self.assertGreater(numbers[-1], 3)

    def test_drained_holder_hands_over_at_once(self):
        async def scenario(cluster):
            ((vm, _),) = self._holders(cluster).items()
            await cluster.router_by_vm[vm].router.leave()
            await asyncio.sleep(0.5)
            return vm, self._holders(cluster)

        vm, holders = self._run(scenario)
        ((new, number),) = holders.items()
        self.assertNotEqual(new, vm)
        self.assertEqual(number, 2)

    def test_lost_response_to_acquisition_keeps_the_lease(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.apply(cluster.declared)
            router = cluster.add_router("entry-1").router
            original = cluster.store.txn

            async def txn(compares, writes, otherwise=None):
                if any(w.key == lease.ROLE_KEY for w in writes):
                    cluster.store.lose_answers = 1
                return await original(compares, writes, otherwise)

            cluster.store.txn = txn
            await asyncio.sleep(20.0)
            number = router.lease.held_fencing_number()
            found = await cluster.store.get(lease.ROLE_KEY)
            await cluster.stop()
            return number, lease.decode_holder(found.value).fencing_number

        number, stored = virtual_time.run(scenario())
        self.assertEqual(number, stored)

    def test_malformed_holder_raises_malformed_message_error(self):
        with self.assertRaises(errors.MalformedMessageError):
            lease.decode_holder(b"\xff")


if __name__ == "__main__":
    unittest.main()
