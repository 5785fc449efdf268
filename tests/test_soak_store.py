"""The soak's operator, servers and store keep to the platform's rules."""

import asyncio
import json
import random
import types
import unittest

from nutmeglift import kv
from tests.gateway import store_stand_in
from tests.gateway import virtual_time_case
from tests.soak import callers
from tests.soak import configs
from tests.soak import in_force
from tests.soak import probes
from tests.soak import route_changes
from tests.soak import routers
from tests.soak import store_faults
from tests.soak import store_writer

VERSION_COUNT = 200


def make_config_writer(memory):
    every_caller = callers.Callers([], random.Random(1), [])
    return configs.ConfigWriter(memory, random.Random(1), every_caller)


class StoreWriterTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.store = store_stand_in.StoreStandIn()
        self.writer = store_writer.StoreWriter(self.store)
        self.memory = self.store.memory

    async def write(self, key, value):
        write = kv.Put(key, value) if value else kv.Delete(key)
        await self.writer.txn([], [write])

    async def test_what_a_copy_lacks_is_written_again(self):
        await self.write("servers/kept", b"1")
        await self.write("servers/changed", b"1")
        await self.write("servers/removed", b"1")
        taken = self.memory.take_copy()
        await self.write("servers/changed", b"2")
        await self.write("servers/removed", None)
        await self.write("servers/new", b"1")
        self.memory.restore_copy(taken)
        lost = ["servers/changed", "servers/removed", "servers/new"]
        self.assertEqual(self.writer.lost_keys(), lost)
        for key in lost:
            await self.writer.write_again(key)
        self.assertEqual(
            self.memory.dump(),
            {
                "servers/kept": b"1",
                "servers/changed": b"2",
                "servers/new": b"1",
            },
        )

    async def test_what_was_written_since_is_not_written_over(self):
        taken = self.memory.take_copy()
        await self.write("servers/a", b"1")
        self.memory.restore_copy(taken)
        await self.write("servers/a", b"2")
        await self.writer.write_again("servers/a")
        self.assertEqual(self.memory.dump(), {"servers/a": b"2"})

    async def test_writes_wait_while_the_store_is_away(self):
        self.store.away = True
        writing = asyncio.ensure_future(self.write("servers/a", b"1"))
        await asyncio.sleep(1.0)
        self.assertEqual(self.memory.dump(), {})
        self.store.away = False
        await writing
        self.assertEqual(self.memory.dump(), {"servers/a": b"1"})


class ConfigWriterTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.store = store_stand_in.StoreStandIn()
        self.memory = self.store.memory
        self.writer = make_config_writer(store_writer.StoreWriter(self.store))

    async def test_base_routes_stay_valid_and_each_version_can_be_told(self):
        seen = set()
        for _ in range(VERSION_COUNT):
            self.writer.vary()
            await self.writer.write()
            version = self.writer.history.acknowledgements[-1].version
            for kind in configs.KINDS:
                services = version.services(
                    route_changes.HOST, f"/{kind}/small"
                )
                self.assertLessEqual(
                    services, set(configs.SERVICES_BY_KIND[kind])
                )
            self.assertGreaterEqual(version.keys, {"key-1", "key-2"})
            self.assertTrue(set(version.services_by_route) - seen)
            seen |= set(version.services_by_route)
            self.assertLessEqual(
                len(version.services_by_route),
                len(configs.KINDS) + route_changes.MAX_ROUTE_COUNT,
            )

    async def test_a_lost_version_is_written_again(self):
        await self.writer.write()
        taken = self.memory.take_copy()
        await asyncio.sleep(5.0)
        self.writer.vary()
        await self.writer.write()
        await asyncio.sleep(5.0)
        loop = asyncio.get_running_loop()
        self.memory.restore_copy(taken)
        raw = self.memory.dump()[configs.CONFIG_KEY]
        self.writer.lose(raw)
        await asyncio.sleep(5.0)
        first, second = self.writer.written
        history = self.writer.history
        self.assertEqual(history.floor(loop.time()), first.number)
        await self.writer.write_again()
        self.assertEqual(history.floor(loop.time()), first.number)
        await asyncio.sleep(in_force.APPLY_SECONDS + 0.1)
        self.assertEqual(history.floor(loop.time()), second.number)
        stored = json.loads(self.memory.dump()[configs.CONFIG_KEY])
        self.assertEqual(stored["version"], second.number)


# Name, ends of the store's disturbances for each of two routers, settling.
SETTLING: tuple[tuple[str, list[list[float]], bool], ...] = (
    ("never", [[], []], False),
    ("one router alone", [[9.0], []], False),
    ("both", [[9.0], [9.0]], True),
    ("both long ago", [[1.0], [1.0]], False),
    ("both, one again", [[1.0], [1.0, 9.0]], False),
    ("both, not ended", [[float("inf")], [float("inf")]], True),
)

# Name, starts of the router's processes, time of sending, time of the end,
# number of the process.
LIFETIMES = (
    ("first", [0.0, 5.0], 1.0, 2.0, 1),
    ("second", [0.0, 5.0], 6.0, 7.0, 2),
    ("either", [0.0, 5.0], 4.0, 6.0, None),
)


class RuleTest(unittest.TestCase):
    def test_when_the_store_is_left_alone(self):
        for name, ends_by_router, expected in SETTLING:
            with self.subTest(name):
                affected = [
                    types.SimpleNamespace(
                        store_disruptions=[
                            routers.Disruption(0.0, end) for end in ends
                        ]
                    )
                    for ends in ends_by_router
                ]
                self.assertEqual(
                    store_faults.is_settling(affected, 10.0), expected
                )

    def test_which_process_handles_a_request(self):
        for name, started_at, sent_at, ended_at, expected in LIFETIMES:
            with self.subTest(name):
                router = types.SimpleNamespace(started_at=started_at)
                self.assertEqual(
                    probes.lifetime_of(router, sent_at, ended_at), expected
                )


if __name__ == "__main__":
    unittest.main()
