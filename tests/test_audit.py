"""Tests of the audit trail of applied configurations."""

import unittest
from unittest import mock

from nutmeglift import audit
from nutmeglift import auth
from nutmeglift import configuration
from nutmeglift import configuration_apply
from nutmeglift import ids
from nutmeglift import kv
from tests import test_configuration
from tests import utils
from tests import virtual_time


class AuditTest(unittest.TestCase):
    def test_entries_hold_author_time_changes_and_previous_generation(self):
        async def scenario():
            store = kv.MemoryKv()
            await test_configuration.apply(
                store, test_configuration.make_accounts(1), "ana", time=1000.0
            )
            await test_configuration.apply(
                store, test_configuration.make_accounts(2), "ben", time=2000.0
            )
            applier = configuration_apply.Applier(store, mock.AsyncMock())
            await applier.roll_back(
                ids.Generation(1), test_configuration.make_apply_request("eve")
            )
            return await audit.read(store, 10)

        back, second, first = virtual_time.run(scenario())
        self.assertEqual(
            second,
            audit.AuditEntry(
                ids.Generation(2),
                ids.Generation(1),
                "ben",
                2000.0,
                ids.ApplyId("apply-of-ben"),
                ("+ client_accounts account-00001",),
            ),
        )
        self.assertEqual((first.generation, first.previous), (1, 0))
        self.assertIn("+ operators ana", first.changes)
        self.assertEqual((back.generation, back.author), (3, "eve"))
        self.assertEqual(back.changes, ("- client_accounts account-00001",))
        self.assertGreater(back.time, second.time)

    def test_trail_is_bounded_and_holds_no_secrets(self):
        async def scenario():
            store = kv.MemoryKv()
            for n in range(30):
                await test_configuration.apply(
                    store, test_configuration.make_accounts(1 + n % 3), f"{n}"
                )
            with mock.patch.object(
                configuration, "RETAINED_AUDIT_ENTRY_COUNT", 5
            ):
                await configuration.sweep(store)
            return store.dump(), await audit.read(store, 100)

        dump, trail = virtual_time.run(scenario())
        self.assertEqual([e.generation for e in trail], [30, 29, 28, 27, 26])
        secrets = [auth.hash_token(t) for t in (utils.TOKEN, "token-0")]
        for key, value in dump.items():
            if key.startswith(audit.PREFIX):
                for secret in secrets:
                    self.assertNotIn(secret.encode(), value)


if __name__ == "__main__":
    unittest.main()
