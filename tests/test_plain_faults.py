"""Tests of router and agent failures during non-idempotent calls."""

import asyncio
import unittest

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states
from tests import test_plain_controller


class RouterFailureTest(unittest.TestCase):
    @test_plain_controller.run_in_world(routers=2, services=2)
    async def test_between_claim_and_dispatch(self, cluster):
        """The claim was written but the call was never sent."""
        agent = next(iter(cluster.agent_by_vm.values()))
        cluster.network.degrade(
            cluster.router_by_vm["entry-1"].address, agent.address, 1.0
        )
        for other in cluster.agent_by_vm.values():
            cluster.network.degrade(
                cluster.router_by_vm["entry-1"].address, other.address, 1.0
            )
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.1)
        self.assertEqual(len(test_plain_controller.read_claims(cluster)), 1)
        await cluster.kill("entry-1")
        await asyncio.wait([calling])
        before_grace = await test_plain_controller.call(cluster, "key")
        self.assertEqual(before_grace.kind, errors.ErrorKind.IN_PROGRESS)
        await asyncio.sleep(ledger.DISPATCH_GRACE_SECONDS)
        self.assertEqual(
            (await test_plain_controller.call(cluster, "key")).ran,
            states.Ran.RAN,
        )
        await asyncio.sleep(5.0)
        self.assertEqual(cluster.executions(), 1)

    @test_plain_controller.run_in_world(routers=2, services=2)
    async def test_between_dispatch_and_outcome(self, cluster):
        for service in cluster.services:
            service.delay = 8.0
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.5)
        await cluster.kill("entry-1")
        await asyncio.wait([calling])
        await asyncio.sleep(ledger.DISPATCH_GRACE_SECONDS)
        self.assertEqual(
            (await test_plain_controller.call(cluster, "key")).kind,
            errors.ErrorKind.IN_PROGRESS,
        )
        await asyncio.sleep(10.0)
        # The second router followed the attempt and recorded its outcome.
        self.assertEqual(
            test_plain_controller.read_claims(cluster)[0].state,
            states.ClaimState.DONE,
        )
        self.assertEqual(
            (await test_plain_controller.call(cluster, "key")).ran,
            states.Ran.RAN,
        )
        self.assertEqual(cluster.executions(), 1)

    @test_plain_controller.run_in_world(routers=2)
    async def test_after_the_outcome_before_it_is_recorded(self, cluster):
        cluster.services[0].delay = 1.0
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.5)
        cluster.store.set_down(True)
        first = await calling
        await cluster.kill("entry-1")
        cluster.store.set_down(False)
        await asyncio.sleep(ledger.DISPATCH_GRACE_SECONDS)
        repeat = await test_plain_controller.call(cluster, "key")
        self.assertEqual(repeat.outcome, first.outcome)
        self.assertEqual(cluster.executions(), 1)


class AgentFaultTest(unittest.TestCase):
    @test_plain_controller.run_in_world(routers=2)
    async def test_restarted_agent_leaves_the_outcome_unknown(self, cluster):
        cluster.services[0].drop_after_execution = 0
        cluster.services[0].delay = 2.0
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.5)
        await cluster.kill("core-1")
        cluster.restart_agent("core-1")
        first = await calling
        self.assertEqual(first.kind, errors.ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(first.ran, states.Ran.UNKNOWN)
        await asyncio.sleep(5.0)
        for index in (0, 1):
            again = await test_plain_controller.call(
                cluster, "key", index=index
            )
            self.assertEqual(again.ran, states.Ran.UNKNOWN)
        self.assertEqual(cluster.executions(), 0)

    @test_plain_controller.run_in_world(routers=1, services=1)
    async def test_permanently_lost_agent_means_unknown(self, cluster):
        cluster.services[0].delay = 2.0
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.5)
        cluster.vms.remove(ids.VmId("core-1"))
        await cluster.kill("core-1")
        first = await calling
        self.assertEqual(first.kind, errors.ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(cluster.router._agent_links._acquired_by_vm, {})

    @test_plain_controller.run_in_world(routers=2)
    async def test_agent_removed_from_the_list_is_still_queried(self, cluster):
        cluster.services[0].delay = 6.0
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.5)
        cluster.vms.remove(ids.VmId("core-1"))
        router = cluster.router_by_vm["entry-1"]
        agent = cluster.agent_by_vm["core-1"]
        await asyncio.sleep(2.0)
        cluster.network.silence(router.address, agent.address)
        await cluster.kill("entry-2")
        self.assertEqual((await calling).ran, states.Ran.RAN)

    @test_plain_controller.run_in_world(routers=1)
    async def test_leaving_agent_delivers_every_outcome(self, cluster):
        cluster.services[0].delay = 2.0
        calls = [
            asyncio.ensure_future(
                test_plain_controller.call(cluster, f"key-{n}")
            )
            for n in range(20)
        ]
        await asyncio.sleep(0.5)
        await cluster.agent_by_vm["core-1"].agent.leave()
        await cluster.kill("core-1")
        results = await asyncio.gather(*calls)
        self.assertEqual({r.ran for r in results}, {states.Ran.RAN})

    @test_plain_controller.run_in_world(routers=1)
    async def test_leaving_agent_waits_for_a_silent_router(self, cluster):
        cluster.services[0].delay = 2.0
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(1.9)
        agent = cluster.agent_by_vm["core-1"]
        router = cluster.router_by_vm["entry-1"]
        cluster.network.silence(router.address, agent.address)
        await agent.agent.leave()
        await cluster.kill("core-1")
        self.assertEqual((await calling).ran, states.Ran.RAN)

    @test_plain_controller.run_in_world(routers=2)
    async def test_leaving_router_records_every_outcome(self, cluster):
        cluster.services[0].delay = 2.0
        calls = [
            asyncio.ensure_future(
                test_plain_controller.call(cluster, f"key-{n}")
            )
            for n in range(20)
        ]
        await asyncio.sleep(0.5)
        await cluster.router.leave()
        await cluster.kill("entry-1")
        results = await asyncio.gather(*calls)
        self.assertEqual({r.ran for r in results}, {states.Ran.RAN})
        states_found = {
            claim.state for claim in test_plain_controller.read_claims(cluster)
        }
        self.assertEqual(states_found, {states.ClaimState.DONE})

    @test_plain_controller.run_in_world(routers=2)
    async def test_outcome_lost_on_a_silent_connection_is_resolved_on_a_new_one(
        self, cluster
    ):
        """The response is lost on a connection that became silent."""
        cluster.services[0].delay = 1.0
        router = cluster.router_by_vm["entry-1"]
        agent = cluster.agent_by_vm["core-1"]
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.5)
        cluster.network.silence(router.address, agent.address)
        first = await calling
        self.assertEqual(first.ran, states.Ran.RAN)
        self.assertEqual(cluster.executions(), 1)

    @test_plain_controller.run_in_world(routers=2, services=2)
    async def test_undelivered_call_is_fenced_then_replaced(self, cluster):
        router = cluster.router_by_vm["entry-1"]
        for agent in cluster.agent_by_vm.values():
            cluster.network.silence(router.address, agent.address)
        first = await test_plain_controller.call(cluster, "key")
        self.assertEqual(first.ran, states.Ran.RAN)
        self.assertEqual(cluster.executions(), 1)
        self.assertEqual(first.outcome.attempt, 2)

    @test_plain_controller.run_in_world(services=3)
    async def test_refused_connection_moves_the_call_to_another_server(
        self, cluster
    ):
        for service in cluster.services[:2]:
            service.refuse = True
        results = [
            await test_plain_controller.call(cluster, f"key-{n}")
            for n in range(12)
        ]
        self.assertEqual({r.ran for r in results}, {states.Ran.RAN})
        self.assertEqual(cluster.executions(), 12)

    @test_plain_controller.run_in_world(services=2, routers=2)
    async def test_refusal_by_all_servers_means_not_run_and_can_be_repeated(
        self, cluster
    ):
        for service in cluster.services:
            service.refuse = True
        refused = await test_plain_controller.call(cluster, "key")
        self.assertEqual(
            (refused.kind, refused.ran),
            (errors.ErrorKind.NO_BACKEND, states.Ran.NOT_RUN),
        )
        await asyncio.sleep(1.0)
        self.assertEqual(
            test_plain_controller.read_claims(cluster)[0].state,
            states.ClaimState.VOID,
        )
        for service in cluster.services:
            service.refuse = False
        self.assertEqual(
            (await test_plain_controller.call(cluster, "key", index=1)).ran,
            states.Ran.RAN,
        )
        self.assertEqual(cluster.executions(), 1)

    @test_plain_controller.run_in_world(routers=2)
    async def test_dropped_backend_connection_means_unknown(self, cluster):
        cluster.services[0].drop_after_execution = 1
        for index in (0, 1, 0):
            result = await test_plain_controller.call(
                cluster, "key", index=index
            )
            self.assertEqual(
                (result.kind, result.ran),
                (errors.ErrorKind.OUTCOME_UNKNOWN, states.Ran.UNKNOWN),
            )
            await asyncio.sleep(1.0)
        self.assertEqual(cluster.executions(), 1)

    @test_plain_controller.run_in_world(routers=2)
    async def test_oversized_response_does_not_affect_other_calls(
        self, cluster
    ):
        """Covers responses too large for a frame or the key-value service."""
        # Size in bytes; whether the first call and a repeat receive it.
        cases = (
            (500_000, True, True),
            (1_000_000, True, False),
            (5_000_000, False, False),
        )
        for size, first_receives, repeat_receives in cases:
            cluster.services[0].padding = b"x" * size
            for index, receives in ((0, first_receives), (1, repeat_receives)):
                result = await test_plain_controller.call(
                    cluster, f"key-{size}", index=index
                )
                self.assertEqual(result.ran, states.Ran.RAN)
                self.assertEqual(result.outcome is not None, receives)
                await asyncio.sleep(1.0)
        self.assertEqual(cluster.executions(), len(cases))
        lost = cluster.router_by_vm["entry-1"].metrics.total_by_name
        self.assertEqual(lost["agent_link.lost"], 0)

    @test_plain_controller.run_in_world(services=2, routers=2)
    async def test_call_refused_by_a_draining_agent_runs_on_another(
        self, cluster
    ):
        # The agent is draining but has not notified this router yet.
        draining = cluster.agent_by_vm["core-1"].agent
        draining.drain.begin(0.0)
        results = [
            await test_plain_controller.call(cluster, f"key-{n}")
            for n in range(6)
        ]
        self.assertEqual({r.ran for r in results}, {states.Ran.RAN})
        self.assertEqual(len(cluster.services[0].executions), 0)

    @test_plain_controller.run_in_world(services=1, routers=1)
    async def test_fenced_attempt_from_a_slow_router_is_not_run(self, cluster):
        """The call arrives after another router had the attempt fenced."""
        slow = cluster.router_by_vm["entry-1"]
        agent = cluster.agent_by_vm["core-1"]
        cluster.network.degrade(slow.address, agent.address, 1.2)
        calling = asyncio.ensure_future(
            test_plain_controller.call(cluster, "key")
        )
        await asyncio.sleep(0.2)
        (claim,) = test_plain_controller.read_claims(cluster)
        status = agent.agent._plain_calls.query(
            ids.VmId("entry-2"),
            plain_messages.AttemptQuery(
                claim.request, claim.attempt, claim.incarnation
            ),
        )
        self.assertEqual(status.state, states.AttemptState.FENCED)
        result = await calling
        self.assertEqual(result.ran, states.Ran.RAN)
        self.assertEqual(result.outcome.attempt, 2)
        self.assertEqual(cluster.executions(), 1)


if __name__ == "__main__":
    unittest.main()
