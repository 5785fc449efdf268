"""Servers that renew their entries, which raises the store's revision."""

import asyncio

INTERVAL_SECONDS = 1.0
"""Each server renews its entry this often."""
BURST_SECONDS = 0.25
"""Servers renew in bursts, so that watches return less often."""


async def run(servers):
    """Renews the entries of all servers that have one, until cancelled."""
    burst_count = round(INTERVAL_SECONDS / BURST_SECONDS)
    number = 0
    while True:
        for server in servers[number % burst_count :: burst_count]:
            await server.renew()
        number += 1
        await asyncio.sleep(BURST_SECONDS)
