"""The first placement of layers, in virtual time."""

import asyncio
import unittest

from nutmeglift import ids
from nutmeglift_gateway import catalog
from tests.gateway import rig
from tests.gateway import test_controllers as controllers


class FirstPlacementTest(unittest.TestCase):
    def test_services_with_different_numbers_of_runners_are_placed(self):
        async def scenario(deployment):
            second = ids.ServiceId("second")
            services = rig.make_catalog().service_by_id
            services[second] = catalog.Service(second, "/health", rig.ENGINE)
            deployment.schema.by_value[b"config"] = rig.make_catalog(
                service_by_id=services
            )
            await deployment.put(controllers.CATALOG_KEY, b"config")
            for name, service in (
                ("a", rig.MODEL),
                ("b", rig.MODEL),
                ("c", second),
            ):
                await deployment.put_server(
                    name, service=service, kind="whole", address=f"{name}:1"
                )
            controllers.Router(deployment, "one")
            await asyncio.sleep(3.0)
            placed = {server.id for server, _, _ in deployment.runners.placed}
            self.assertIn("c", placed)
            self.assertTrue(placed & {"a", "b"})

        controllers.run_scenario(scenario)
