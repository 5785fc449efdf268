"""Process with servers that send without end, until its input is closed.

Its arguments are pairs of a case's name and the bytes after which the servers
go on slowly; 0 for full speed. It prints the addresses for each pair in JSON.
"""

import asyncio
import json
import sys

from tests.gateway import endless
from tests.gateway import test_platform_schema

SERVER_COUNT = 3
LAYERS = {"from": 0, "target": 80}
_REPORT = json.dumps(
    {
        "sequence": 4,
        "layers": LAYERS,
        "born": test_platform_schema.HEARTBEAT["born"],
    }
).encode()


class FaultyRunner(endless.EndlessServer):
    """Responds properly to control calls only."""

    async def respond(self, head, writer):
        if head.startswith(b"GET /v1/report"):
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
                % (len(_REPORT), _REPORT)
            )
            return True
        if head.startswith(b"POST /v1/order"):
            writer.write(b"HTTP/1.1 409 X\r\ncontent-length: 0\r\n\r\n")
            return True
        return False


async def main(pairs):
    """Serves until the input is closed."""
    addresses = []
    for name, held in pairs:
        servers = [
            await FaultyRunner(
                *endless.ALL_CASES[name], held_bytes=int(held) or None
            ).start()
            for _ in range(SERVER_COUNT)
        ]
        addresses.append([server.address for server in servers])
    print(json.dumps(addresses), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main(zip(sys.argv[1::2], sys.argv[2::2], strict=True)))
