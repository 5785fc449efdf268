"""Entries that another writer leaves in the store."""

import json

from nutmeglift import kv
from nutmeglift_gateway import store_view
from nutmeglift_platform import names

MAX_COUNT = 12
NEST_COUNT = 50_000
NESTED = b"[" * NEST_COUNT + b"]" * NEST_COUNT
PREFIXES = (
    names.SERVER_PREFIX,
    names.SERVER_PREFIX,
    store_view.ROUTER_PREFIX,
    store_view.QUARANTINE_PREFIX,
    "",
)
LATER_START = 10**9
"""Later than the start of any server of a run."""


def _fields(server, **changes):
    fields = {
        "service": server.service,
        "address": server.address,
        "zone": "a",
        "version": "v1",
        "state": "ready",
        "slots": 96,
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": LATER_START,
    }
    if server.kind:
        fields |= {
            "stage": "prefill_decode",
            "models": [],
            "kind": server.kind,
            "layers": {"from": 0, "target": 80, "version": 1},
        }
    return fields | changes


def _draw_odd_field(rng, server):
    """Returns an entry with the address of a server and one odd field."""
    fields = _fields(server)
    if rng.random() < 0.5:
        fields["born"] = server.start_time
    key = rng.choice(sorted(fields))
    if rng.random() < 0.5:
        del fields[key]
    else:
        fields[key] = rng.choice([[1], {"odd": 1}, True])
    return json.dumps(fields).encode()


def _draw_value(rng, server):
    sound = json.dumps(_fields(server, address="127.0.0.1:9")).encode()
    return rng.choice(
        [
            _draw_odd_field(rng, server),
            _draw_odd_field(rng, server),
            NESTED,
            sound[:-1] + b', "extra": ' + NESTED + b"}",
            sound[:-1] + b', "extra": "' + b"x" * 2**20 + b'"}',
            b"\xff\xfe",
            b"",
            json.dumps(_fields(server, slots=-1)).encode(),
            json.dumps(_fields(server, born=10**30)).encode(),
            json.dumps(_fields(server, address="127.0.0.1:99999")).encode(),
            json.dumps(
                _fields(
                    server, layers={"from": 0, "target": 10**12, "version": 1}
                )
            ).encode(),
        ]
    )


async def put(rng, memory, servers):
    """Writes odd entries, some with a server's address; returns the keys."""
    puts = []
    for number in range(rng.randint(1, MAX_COUNT)):
        prefix = rng.choice(PREFIXES)
        server = rng.choice(servers)
        puts.append(kv.Put(f"{prefix}odd-{number}", _draw_value(rng, server)))
    if rng.random() < 0.5:
        forged = _fields(rng.choice(servers), born=LATER_START)
        puts.append(
            kv.Put(names.SERVER_PREFIX + "forged", json.dumps(forged).encode())
        )
    await memory.txn([], puts)
    return [each.key for each in puts]


async def remove(memory, keys):
    """Removes entries."""
    await memory.txn([], [kv.Delete(key) for key in keys])
