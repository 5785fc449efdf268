"""Requests that wait for room, over real sockets."""

import asyncio
import unittest

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import quarantine
from nutmeglift_gateway.load import demand
from nutmeglift_platform import names
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import test_exchange_stream

BATCH = rig.make_route(
    "batch",
    catalog.Idempotency.STREAM,
    rig.MODEL,
    priority=2,
    objective=1.2,
)
URGENT = rig.make_route(
    "draft", catalog.Idempotency.STREAM, rig.MODEL, priority=0
)
ROUTES = (BATCH, URGENT)


class WaitingRoomTest(stand_ins.GatewayTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.set_catalog(8, routes=ROUTES)
        self.runner = await self.rig.add_runner(
            test_exchange_stream.resumable, "x", 0, 80
        )
        self.load = (
            loads.Reservation(self.runner.address, False, 8e4, 80 * 3e4),
        )
        self.tracker = self.rig.board.load_tracker

    def set_catalog(self, generation, **changes):
        self.rig.board.set_catalog(
            ids.Revision(generation), rig.make_catalog(generation, **changes)
        )
        rig.confirm(self.rig.board, asyncio.get_running_loop().time())

    def begin_load(self):
        """Has prompts wait at the runner for about half a second."""
        self.tracker.reserve(self.load)
        self.tracker.begin_prompts(self.load)

    def end_load(self):
        self.tracker.end_prompts(self.load)
        self.tracker.release(self.load)

    async def hold_back(self):
        """Returns a call that waits, as an urgent one has just come."""
        response = await self.rig.call("/draft/1")
        self.assertEqual(response.status, 200)
        self.begin_load()
        call = asyncio.create_task(self.rig.call("/batch/1"))
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.runner.requests), 1)
        return call

    def logged(self, event):
        return [f for name, f in self.rig.log.lines if name == event]

    async def test_a_request_is_sent_once_the_load_has_fallen(self):
        call = await self.hold_back()
        self.end_load()
        response = await call
        self.assertEqual(stand_ins.event_ids(response.body), list(range(1, 10)))
        (line,) = self.logged("sent after a wait")
        self.assertGreaterEqual(line["waited"], 0.1)
        self.assertLess(line["waited"], 0.2)
        text = self.rig.metrics.text().decode()
        self.assertIn(
            'queue_wait_seconds_count{priority="2",service="model"} 1.0', text
        )
        self.assertEqual(self.tracker.own(), {})
        self.rig.context.waiting.update_metrics()
        text = self.rig.metrics.text().decode()
        self.assertIn('room_tokens{service="model",state="held"} 0.0', text)

    async def test_a_request_is_sent_in_time_although_the_load_lasts(self):
        call = await self.hold_back()
        response = await call
        self.assertEqual(response.status, 200)
        (line,) = self.logged("sent after a wait")
        self.assertLess(line["waited"], 0.9)

    async def test_a_request_waits_for_urgent_ones_at_other_routers(self):
        self.begin_load()
        now = asyncio.get_running_loop().time()
        urgent = demand.Demand(5.0, 0.5, prompt_tokens=800.0)
        self.rig.board.demand.record_report(
            now, "router-2", {(rig.MODEL, 0): urgent}
        )
        response = await self.rig.call("/batch/1")
        self.assertEqual(response.status, 200)
        (line,) = self.logged("sent after a wait")
        self.assertGreater(line["waited"], 0.2)
        self.assertIn("rank 0", line["detail"])

    async def test_second_attempts_leave_room_to_urgent_ones_that_wait(self):
        call = await self.hold_back()
        is_waiting = self.rig.context.second_attempts.is_urgent_waiting
        for service, rank, expected in (
            (rig.MODEL, 3, True),
            (rig.MODEL, 2, False),
            (rig.CORE, 3, False),
        ):
            with self.subTest(service=service, rank=rank):
                self.assertIs(is_waiting(service, rank), expected)
        self.end_load()
        await call
        self.assertFalse(is_waiting(rig.MODEL, 3))

    async def test_the_drain_refuses_what_waits(self):
        call = await self.hold_back()
        self.rig.context.waiting.drain()
        response = await call
        self.assertEqual(response.status, 503)
        (line,) = self.logged("refused")
        self.assertEqual(line["kind"], "draining")
        self.assertIn("rank 2, waited 0.", line["detail"])
        self.assertEqual(len(self.runner.requests), 1)
        response = await self.rig.call("/batch/2")
        self.assertEqual(response.status, 200)

    async def test_a_request_is_gone_once_its_caller_has_left(self):
        await self.rig.call("/draft/1")
        self.begin_load()
        call = asyncio.create_task(self.rig.call("/batch/1"))
        await asyncio.sleep(0.1)
        call.cancel()
        await asyncio.sleep(0.1)
        self.end_load()
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.runner.requests), 1)
        self.assertEqual(len(self.logged("caller left")), 1)
        self.assertIn(
            "nutmeglift_gateway_waiting 0.0", self.rig.metrics.text().decode()
        )

    async def test_a_key_that_is_revoked_meanwhile_is_refused(self):
        call = await self.hold_back()
        self.set_catalog(9, routes=ROUTES, account_by_key={})
        self.end_load()
        self.assertEqual((await call).status, 401)
        self.assertEqual(len(self.runner.requests), 1)

    async def test_a_request_that_is_quarantined_meanwhile_is_refused(self):
        await self.rig.call("/draft/1")
        self.begin_load()
        segments = names.HEADERS.prompt_segments.decode().replace("-", "_")
        call = asyncio.create_task(
            self.rig.call("/batch/1", **{segments: b"bad:40"})
        )
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        self.rig.board.guard.merge_entry(
            now, quarantine.Entry(("bad",)), "test"
        )
        self.end_load()
        response = await call
        self.assertEqual(response.status, 503)
        self.assertIn(b'"quarantined"', response.body)
        self.assertEqual(self.logged("internal error"), [])
        self.assertEqual(len(self.runner.requests), 1)

    async def test_a_stream_that_has_begun_does_not_wait(self):
        async def broken(request, writer, number):
            self.rig.register(
                "x",
                self.runner.address,
                rig.MODEL,
                born=2,
                kind="whole",
                layers=directory.LayerRange(0, 80),
            )
            self.begin_load()
            await test_exchange_stream.stream(1, 3, None)(
                request, writer, number
            )

        await self.rig.call("/draft/1")
        self.rig.board.directory.remove(0.0, "x")
        other = await self.rig.add_runner(broken, "y", 0, 80)
        response = await self.rig.call("/batch/1")
        self.assertEqual(stand_ins.event_ids(response.body), list(range(1, 10)))
        self.assertEqual(len(other.requests), 1)
        self.assertEqual(self.logged("sent after a wait"), [])

    async def test_routes_of_one_priority_are_not_ordered(self):
        plain = rig.make_route(
            "plain", catalog.Idempotency.SAFE, rig.MODEL, priority=0
        )
        accounts = {
            "key-1": catalog.Account(ids.AccountId("bank-1"), 0),
            "key-2": catalog.Account(ids.AccountId("bank-2"), 1),
        }
        self.set_catalog(9, routes=(rig.STREAM, plain), account_by_key=accounts)
        await self.rig.call("/draft/1")
        self.begin_load()
        response = await self.rig.call("/draft/1", x_api_key=b"key-2")
        self.assertEqual(response.status, 200)
        self.assertEqual(self.logged("sent after a wait"), [])


if __name__ == "__main__":
    unittest.main()
