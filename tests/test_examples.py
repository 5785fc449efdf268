"""Checks that every example in the source tree is valid."""

import pathlib
import unittest

from nutmeglift import declaration
from nutmeglift import settings
from nutmeglift_fakes import platform

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
# directory: (accounts, plain services, backend classes of model runners)
DECLARATIONS = {
    "demo": (1, 1, 2),
    "consortium": (10, 1, 5),
    "addressing": (10, 1, 3),
    "booking": (10, 1, 3),
}
SETTINGS = {
    "router.yaml": settings.RouterSettings,
    "agent.yaml": settings.AgentSettings,
}


class ExamplesTest(unittest.TestCase):
    def test_declarations(self):
        for name, expected in DECLARATIONS.items():
            with self.subTest(name):
                found = declaration.load(EXAMPLES / name)
                runners = [
                    c for c in found.backend_classes if c.service is None
                ]
                counts = (
                    len(found.client_accounts),
                    len(found.services),
                    len(runners),
                )
                self.assertEqual(counts, expected)
                body = found.canonical_bytes()
                again = declaration.from_canonical_bytes(body)
                self.assertEqual(again, found)

    def test_settings(self):
        for name, kind in SETTINGS.items():
            with self.subTest(name):
                loaded = settings.load(EXAMPLES / "settings" / name, kind)
                self.assertNotIn("replace", repr(loaded))

    def test_two_routers(self):
        directory = EXAMPLES / "two-routers"
        found = platform.load(directory / "stand-ins.yaml")
        for vm in found.vms:
            kind = settings.RouterSettings
            if vm.backend_class is not None:
                kind = settings.AgentSettings
            with self.subTest(vm.name):
                own = settings.load(directory / f"{vm.name}.yaml", kind)
                self.assertEqual(
                    (own.vm, own.listen, own.failure_domain),
                    (vm.name, vm.address, vm.failure_domain),
                )
                self.assertEqual(own.platform.key_value, found.key_value)
                if vm.backend_class is not None:
                    self.assertEqual(own.backend, vm.backend)


if __name__ == "__main__":
    unittest.main()
