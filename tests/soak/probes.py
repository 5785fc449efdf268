"""Requests on routes and with keys that come and go, to every router."""

import asyncio
import dataclasses
import itertools

from nutmeglift_gateway import http_call
from tests.soak import callers
from tests.soak import connection as connections
from tests.soak import in_force
from tests.soak import route_changes

MAX_PAUSE_SECONDS = 0.2
DEADLINE_SECONDS = 2.0
MAX_WAIT_SECONDS = 2.5
NO_KEY = "key-never"
RECENT_COUNT = 4


def lifetime_of(router, sent_at, ended_at):
    """Returns the number of a router's process; None if there were two."""
    counts = {
        sum(started_at <= at for started_at in router.started_at)
        for at in (sent_at, ended_at)
    }
    return counts.pop() if len(counts) == 1 else None


class Probes:
    """Sends the probes and keeps their outcomes.

    Attributes:
        answers: outcomes without runs.
    """

    def __init__(self, routers, rng, all_callers, extra):
        self.answers = []
        self._routers = routers
        self._rng = rng
        self._callers = all_callers
        self._extra = extra
        self._numbers = itertools.count(1)
        self._stopping = False

    def stop(self):
        """Lets all probes end after their current requests."""
        self._stopping = True

    async def run(self):
        await asyncio.gather(*(self._probe(each) for each in self._routers))

    async def _probe(self, router):
        connection = None
        while not self._stopping:
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_SECONDS))
            if connection is not None and not connection.is_reusable:
                connection.close()
                connection = None
            if connection is None:
                connection = await self._connect(router)
            if connection is not None:
                await self._call(router, connection)
        if connection is not None:
            connection.close()

    async def _connect(self, router):
        connection = connections.Connection(0, router.vm, slow=False)
        try:
            await connection.open(router.address)
        except (OSError, TimeoutError):
            return None
        return connection

    async def _call(self, router, connection):
        loop = asyncio.get_running_loop()
        (host, prefix), key = self._draw_route(), self._draw_key()
        number, path, sent_at = next(self._numbers), prefix + "p", loop.time()
        headers = [
            (b"host", host.encode()),
            (b"x-attempt-id", b"probe-%d" % number),
            (b"x-api-key", key.encode()),
            (b"x-deadline-ms", b"%d" % (DEADLINE_SECONDS * 1000)),
        ]
        raw = http_call.format_request("GET", path, headers, b"")
        connection.write(raw, half_close=False)
        status = 0
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                status = (await connection.read_response()).status
        except (
            connections.IncompleteResponseError,
            TimeoutError,
            KeyError,
            ValueError,
        ):
            connection.close()
        self.answers.append(
            in_force.Answer(
                f"probe-{number}",
                router.vm,
                lifetime_of(router, sent_at, loop.time()),
                sent_at,
                loop.time(),
                host,
                path,
                key,
                status,
            )
        )

    def _draw_route(self):
        choice = self._rng.random()
        changed = self._extra.changed
        if choice < 0.1 or not changed:
            return route_changes.HOST, "/never/"
        if choice < 0.4:
            # The newest route tells the newest version.
            return list(self._extra.service_by_route)[-1]
        if choice < 0.7:
            return self._rng.choice(changed[-RECENT_COUNT:])
        return self._rng.choice(changed[-10 * RECENT_COUNT :])

    def _draw_key(self):
        choice = self._rng.random()
        keys = self._callers.keys + self._extra.keys[-1:]
        if choice < 0.15:
            removed = self._callers.revoked_keys + self._extra.removed_keys
            return self._rng.choice([NO_KEY, *removed[-RECENT_COUNT:]])
        if choice < 0.35:
            return keys[-1]
        return self._rng.choice(keys)


def collect_answers(probes, sent_requests, router_by_vm, runs_by_id):
    """Returns the outcomes of all probes and callers, with their runs."""
    answers = list(probes.answers)
    for sent in sent_requests:
        ended_at = sent.ended_at or sent.sent_at + callers.DEADLINE_SECONDS
        router = router_by_vm[sent.vm]
        answers.append(
            in_force.Answer(
                sent.id,
                sent.vm,
                lifetime_of(router, sent.sent_at, ended_at),
                sent.sent_at,
                ended_at,
                route_changes.HOST,
                f"/{sent.kind}/{sent.size}",
                sent.key,
                sent.status,
            )
        )
    return [
        dataclasses.replace(
            answer,
            runs=tuple(
                (run.server.rpartition("-")[0], run.started_at)
                for run in runs_by_id.get(answer.id, [])
            ),
        )
        for answer in answers
    ]
