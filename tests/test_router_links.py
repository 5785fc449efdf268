"""Tests of the connections between routers."""

import asyncio
import collections
import random
import unittest

import networkx

from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import neighbours
from nutmeglift import plan
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_fakes import deployment
from nutmeglift_router import blackboard_entries
from nutmeglift_router import router as routers
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import metrics
from nutmeglift_wire import vm_list
from nutmeglift_wire import websocket_link
from tests import test_configuration
from tests import utils
from tests import virtual_time


def make_entries(count, domains=18):
    """Returns `count` routers spread over `domains` failure domains."""
    return [
        plan.VmEntry(
            ids.VmId(f"entry-{n}"),
            f"10.1.{n // 250}.{n % 250}:7000",
            ids.FailureDomain(f"domain-{n % domains}"),
            None,
        )
        for n in range(count)
    ]


class NeighboursTest(unittest.TestCase):
    def test_choice_spreads_over_failure_domains(self):
        entries = make_entries(510)
        for entry in entries[:20]:
            chosen = neighbours.choose(entry.vm, entries)
            self.assertEqual(len(chosen), neighbours.MAX_NEIGHBOUR_COUNT)
            domains = {other.failure_domain for other in chosen}
            self.assertEqual(len(domains), len(chosen))
            self.assertNotIn(entry, chosen)

    def test_graph_has_small_diameter_and_survives_losing_a_domain(self):
        entries = make_entries(510)
        graph = networkx.Graph()
        for entry in entries:
            for other in neighbours.choose(entry.vm, entries):
                graph.add_edge(entry.vm, other.vm)
        self.assertLessEqual(networkx.diameter(graph), 7)
        self.assertLess(max(degree for _, degree in graph.degree), 24)
        for lost in ("domain-0", "domain-7"):
            rest = [e.vm for e in entries if e.failure_domain != lost]
            self.assertTrue(networkx.is_connected(graph.subgraph(rest)))

    def test_added_vm_changes_few_choices(self):
        before, after = make_entries(100), make_entries(101)
        changed = sum(
            {e.vm for e in neighbours.choose(entry.vm, before)}
            != {e.vm for e in neighbours.choose(entry.vm, after)}
            for entry in before
        )
        self.assertLess(changed, 15)


class RouterLinksTest(unittest.TestCase):
    def _run(self, scenario, routers):
        async def run():
            cluster = utils.Cluster()
            await cluster.start(runners=1, services=0, routers=routers)
            try:
                return await scenario(cluster)
            finally:
                await cluster.stop()

        return virtual_time.run(run())

    def test_small_fleet_is_fully_connected_in_both_directions(self):
        async def scenario(cluster):
            received = collections.Counter()
            routers = [p.router for p in cluster.router_by_vm.values()]
            for router in routers:
                router.routers._on_message = (
                    lambda vm, message, own=router.own.vm: received.update(
                        [(vm, own)] * isinstance(message, messages.Leaving)
                    )
                )
            sent = [
                router.routers.post(other.own.vm, messages.Leaving())
                for router in routers
                for other in routers
                if other is not router
            ]
            await asyncio.sleep(0.1)
            missing = routers[0].routers.post(
                ids.VmId("nobody"), messages.Leaving()
            )
            return sent, received, missing

        sent, received, missing = self._run(scenario, 4)
        self.assertEqual(sent, [True] * 12)
        self.assertEqual(set(received.values()), {1})
        self.assertEqual(len(received), 12)
        self.assertFalse(missing)

    def test_lost_routers_and_silent_connections_are_replaced(self):
        async def scenario(cluster):
            one, two, three = cluster.router_by_vm.values()
            cluster.network.silence(one.address, two.address)
            await asyncio.sleep(5.0)
            reopened = one.router.routers.connected
            await cluster.kill("entry-3")
            await asyncio.sleep(5.0)
            lost = one.router.routers.connected
            cluster.add_router("entry-3", 2)
            await asyncio.sleep(8.0)
            return reopened, lost, one.router.routers.connected

        reopened, lost, back = self._run(scenario, 3)
        self.assertEqual(reopened, ["entry-2", "entry-3"])
        self.assertEqual(lost, ["entry-2"])
        self.assertEqual(back, ["entry-2", "entry-3"])

    def test_leader_is_always_connected(self):
        async def scenario(cluster):
            await asyncio.sleep(8.0)
            ((leader, _),) = [
                (vm, p)
                for vm, p in cluster.router_by_vm.items()
                if p.router.lease.held_fencing_number() is not None
            ]
            return [
                leader in p.router.routers.connected
                for vm, p in cluster.router_by_vm.items()
                if vm != leader
            ]

        self.assertEqual(set(self._run(scenario, 24)), {True})

    def test_unlisted_router_is_refused(self):
        async def scenario(cluster):
            (process,) = cluster.router_by_vm.values()
            link = await cluster.network.connect(
                "10.8.0.1:1", process.address, process.clock
            )
            await link.send(
                messages.Hello(
                    messages.PROTOCOL_VERSION,
                    states.ProcessRole.ROUTER,
                    ids.VmId("stranger"),
                    ids.Incarnation("x"),
                    ids.FailureDomain("x"),
                )
            )
            answer = await link.receive()
            await link.send(answer)
            await asyncio.sleep(3.0)
            return process.router.routers.connected, dict(
                process.router.counters.total_by_name
            )

        connected, counters = self._run(scenario, 1)
        self.assertEqual(connected, [])
        self.assertEqual(counters["router_link.refused"], 1)


class WebsocketTest(unittest.TestCase):
    """Tests two routers wired as in the binary, over real sockets."""

    def test_second_router_gets_the_configuration_during_an_outage(self):
        found = asyncio.run(asyncio.wait_for(self._run(), 20))
        self.assertEqual(found, [1, 1])

    async def _run(self):
        deployed = deployment.Deployment()
        platform = await deployed.start()
        started = []
        try:
            started.append(await self._start(deployed, platform, "entry-1"))
            await test_configuration.apply(
                deployed.store, utils.make_declaration()
            )
            await self._wait(started[0][0])
            deployed.store.set_down(True)
            started.append(await self._start(deployed, platform, "entry-2"))
            await self._wait(started[1][0])
            return [router.configuration.generation for router, _ in started]
        finally:
            for router, listener in started:
                await router.stop()
                await listener.stop()
            await deployed.stop()

    async def _start(self, deployed, platform, name):
        listener = websocket_link.WebsocketListener(
            lambda link: router.serve_link(link)  # noqa: PLW0108
        )
        address = await listener.start(deployment.ANY_PORT)
        vm, domain = ids.VmId(name), ids.FailureDomain("luzon-1")
        router = routers.Router(
            settings.RouterSettings(
                vm=vm,
                listen=address,
                http=deployment.ANY_PORT,
                failure_domain=domain,
                platform=platform,
                shared_key=deployment.SHARED_KEY,
            ),
            incarnation=ids.Incarnation(f"{name}-1"),
            clock=clocks.LoopClock(),
            rng=random.Random(1),
            store=etcd_kv.EtcdKv(platform.key_value, platform.timeout_seconds),
            vms=vm_list.HttpVmList(platform.vm_list, platform.timeout_seconds),
            dialer=websocket_link.WebsocketDialer(),
            metrics=metrics.NoMetrics(),
        )
        router.start()
        deployed.vms.put(plan.VmEntry(vm, address, domain, None))
        return router, listener

    async def _wait(self, router):
        in_force = asyncio.Event()
        router.board.watch(
            blackboard_entries.CONFIGURATION, lambda _: in_force.set()
        )
        if router.configuration.generation == 0:
            await in_force.wait()


if __name__ == "__main__":
    unittest.main()
