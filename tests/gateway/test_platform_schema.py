import json
import unittest

from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import ports
from nutmeglift_platform import schema
from tests.gateway import rig

ENGINE = {
    "slots": 96, "kv_capacity": 50000, "kv_token_bytes": 1180000,
    "link_mbps": 400000.0, "stride": 4,
    "models": [{"name": "m", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
    "step_ms": 1.02, "per_seq_ms": 0.00918, "context_per_k": 0.0123,
    "read_per_s": 164000.0, "pairs_per_m": 0.199, "chunk": 512,
    "report_lag_ms": 200.0, "loads_at_once": 6,
    "delays": [{"from": "a", "target": "b", "delay_ms": 0.5}],
    "layers": 80, "layer_mb": 1750.0, "act_bytes": 59000,
    "pipe_mbps": 13000.0,
    "kinds": [{"name": "big", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
}  # fmt: skip
ROUTE = {
    "name": "r", "host": "h", "prefix": "/p/", "kind": "streaming",
    "timeout_ms": 20000, "target_latency_ms": 500, "priority": 1,
    "backends": [{"service": "s", "weight": 90},
                 {"service": "t", "weight": 10}],
    "max_attempts": 2, "allow_anonymous": False, "sticky": True,
    "resumable": True, "gap_aim_ms": 250,
}  # fmt: skip
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "s", "health_path": "/health", "engine": ENGINE},
        {"name": "t", "health_path": "/health", "max_conns": 110},
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "bank", "api_keys": ["k1", "k2"], "priority": 1}],
    "a field of the future": {},
}  # fmt: skip
HEARTBEAT = {
    "service": "s", "address": "10.0.0.9:80", "zone": "a", "version": "v1",
    "slots": 96, "state": "ready", "cold_remaining_ms": 0, "sequence": 4,
    "born": 1771442496052, "stage": "prefill_decode", "kind": "big",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": {"from": 3, "target": 9, "version": 1},
}  # fmt: skip
LAYERS = HEARTBEAT["layers"]
RUNNER_FIELDS = ("stage", "models", "kind", "layers")
PLAIN_HEARTBEAT = {
    key: value for key, value in HEARTBEAT.items() if key not in RUNNER_FIELDS
}
SCHEMA = schema.PlatformSchema()


def without(fields, key):
    """Returns fields but one."""
    return {k: v for k, v in fields.items() if k != key}


def entry(value, key="servers/i-1"):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return rig.make_entry(key, raw, 42)


class CatalogTest(unittest.TestCase):
    def test_a_configuration(self):
        configuration = SCHEMA.decode_catalog(entry(CONFIG, "op/config"))
        (route,) = configuration.routes
        self.assertEqual(configuration.generation, 7)
        self.assertEqual(route.idempotency, catalog.Idempotency.STREAM)
        self.assertEqual((route.timeout, route.gap_objective), (20.0, 0.25))
        self.assertEqual([s.service for s in route.services], ["s", "t"])
        self.assertEqual(configuration.account_by_key["k2"].id, "bank")
        self.assertTrue(configuration.accounts_required)
        engine = configuration.service_by_id["s"].engine
        self.assertEqual((engine.layers, engine.load_seconds), (80, 14.0))
        self.assertAlmostEqual(engine.context_seconds, 0.0123e-6 * 1e0, 9)
        self.assertIsNone(configuration.service_by_id["t"].engine)
        self.assertEqual(configuration.limits.idle_timeout, 15.0)

    def test_without_accounts_no_key_is_needed(self):
        config = {k: v for k, v in CONFIG.items() if k != "tenants"}
        configuration = SCHEMA.decode_catalog(entry(config))
        self.assertFalse(configuration.accounts_required)

    def test_invalid_configurations(self):
        cases = [
            b"\xff\xfe",
            b"[]",
            {},
            CONFIG | {"version": "7"},
            CONFIG | {"routes": [ROUTE | {"kind": "new kind"}]},
            CONFIG | {"routes": [{}]},
            CONFIG | {"services": [{"name": "s", "engine": {}}]},
        ]
        for value in cases:
            with (
                self.subTest(str(value)[:60]),
                self.assertRaises(ports.UndecodableEntryError),
            ):
                SCHEMA.decode_catalog(entry(value))


class ServerTest(unittest.TestCase):
    def test_server_entries(self):
        cases = [
            (HEARTBEAT, directory.LayerRange(3, 9)),
            (HEARTBEAT | {"layers": None}, directory.NO_LAYERS),
            (
                HEARTBEAT | {"layers": {"from": 0, "target": 0, "version": 1}},
                directory.NO_LAYERS,
            ),
        ]
        for heartbeat, layers in cases:
            with self.subTest(heartbeat["layers"]):
                server = SCHEMA.decode_server(entry(heartbeat))
                self.assertEqual(server.id, "i-1")
                self.assertEqual(server.layers, layers)
                self.assertEqual(server.revision, 42)
                # The entry's sequence number counts heartbeats, not orders.
                self.assertEqual(server.orders, 0)

    def test_undecodable_server_entries(self):
        cases = [
            b"\x00",
            [],
            HEARTBEAT | {"state": "resting"},
            HEARTBEAT | {"address": 5},
            HEARTBEAT | {"address": "10.0.0.9"},
            HEARTBEAT | {"address": ":80"},
            HEARTBEAT | {"address": "10.0.0.9:0"},
            HEARTBEAT | {"address": "10.0.0.9:65536"},
            HEARTBEAT | {"address": "10.0.0.9:-1"},
            HEARTBEAT | {"address": "10.0.0.9:+80"},
            HEARTBEAT | {"address": "10.0.0.9 :80"},
            HEARTBEAT | {"address": "10.0.0.9\r\nx: y:80"},
            HEARTBEAT | {"born": "yesterday"},
            HEARTBEAT | {"layers": LAYERS | {"from": -5}},
            HEARTBEAT | {"layers": [1, 2]},
            HEARTBEAT | {"models": {}},
            HEARTBEAT | {"models": [{"name": "m", "version": 1}]},
            HEARTBEAT | {"layers": without(LAYERS, "version")},
        ]
        for value in cases:
            with (
                self.subTest(str(value)[:60]),
                self.assertRaises(ports.UndecodableEntryError),
            ):
                SCHEMA.decode_server(entry(value))

    def test_an_entry_with_an_odd_field_names_no_server(self):
        # Fields that were missing had defaults, and the entry named a server.
        SCHEMA.decode_server(entry(PLAIN_HEARTBEAT))
        for sound in (HEARTBEAT, PLAIN_HEARTBEAT):
            for key, value in sound.items():
                odd = [
                    without(sound, key),
                    sound | {key: [value]},
                    sound | {key: 5 if isinstance(value, str) else "5"},
                ]
                if key != "layers":
                    odd.append(sound | {key: None})
                for changed in odd:
                    with (
                        self.subTest(key=key, value=changed.get(key)),
                        self.assertRaises(ports.UndecodableEntryError),
                    ):
                        SCHEMA.decode_server(entry(changed))
        for key in RUNNER_FIELDS:
            with (
                self.subTest(key=key),
                self.assertRaises(ports.UndecodableEntryError),
            ):
                changed = PLAIN_HEARTBEAT | {key: HEARTBEAT[key]}
                SCHEMA.decode_server(entry(changed))

    def test_an_id_that_cannot_be_sent_in_a_header(self):
        for server_id in ("", "i-1\r\nx: y", "i-\u00e9"):
            with (
                self.subTest(server_id),
                self.assertRaises(ports.UndecodableEntryError),
            ):
                SCHEMA.decode_server(entry(HEARTBEAT, f"servers/{server_id}"))


if __name__ == "__main__":
    unittest.main()
