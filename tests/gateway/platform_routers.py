"""Routers and a store whose entries have the platform's format."""

import json

from nutmeglift_platform import names
from nutmeglift_platform import schema
from tests.gateway import rig
from tests.gateway import store_routers

NEST_COUNT = 100_000
HUGE = 10**30
NESTED = b"[" * NEST_COUNT + b"]" * NEST_COUNT


RUNNER_FIELDS = {
    "stage": "prefill_decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": None,
}


def make_server(name, **changes):
    """Returns the fields of a server's entry; with a kind, of a runner's."""
    fields = {
        "service": rig.CORE,
        "address": f"10.0.0.{sum(name.encode()) % 250}:80",
        "zone": "a",
        "version": "v1",
        "state": "ready",
        "slots": 6,
        "cold_remaining_ms": 0,
        "born": 1_771_442_496_052,
        "sequence": 4,
    }
    if "kind" in changes:
        fields |= RUNNER_FIELDS
    return fields | changes


def make_configuration(version, keys=("key-1", "key-2"), **changes):
    """Returns the fields of a configuration."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{version}",
                "host": "desk.example",
                "prefix": "/status/",
                "kind": "safe",
                "timeout_ms": 1000,
                "backends": [{"service": rig.CORE, "weight": 1}],
            }
        ],
        "services": [{"name": rig.CORE}],
        "tenants": [{"name": "bank-1", "api_keys": list(keys)}],
    } | changes


def encode(fields):
    """Returns an entry's value; bytes are left as they are."""
    return fields if isinstance(fields, bytes) else json.dumps(fields).encode()


def with_extra_field(fields, raw):
    """Returns an entry's value with a further field that has a raw value."""
    return encode(fields)[:-1] + b', "extra": ' + raw + b"}"


class PlatformDeployment(store_routers.Deployment):
    """Routers, and backend servers with entries in the platform's format."""

    def __init__(self):
        super().__init__()
        self.schema = schema.PlatformSchema()

    async def put_configuration(self, version=7, **changes):
        fields = make_configuration(version, **changes)
        await self.put(names.CONFIG_KEY, encode(fields))

    async def put_server(self, name, **changes):
        await self.put(
            names.SERVER_PREFIX + name, encode(make_server(name, **changes))
        )

    async def remove_server(self, name):
        await self.remove(names.SERVER_PREFIX + name)
