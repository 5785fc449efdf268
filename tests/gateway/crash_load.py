"""Plays callers whose prompts end the runners that begin to answer them."""

import asyncio
import dataclasses
import itertools
import json
import random

from nutmeglift import kv
from nutmeglift_gateway import control_client
from nutmeglift_gateway import gateway
from nutmeglift_gateway import http_call
from nutmeglift_gateway import settings
from nutmeglift_platform import names
from nutmeglift_platform import runners
from nutmeglift_platform import schema
from nutmeglift_platform import store
from tests.gateway import rig
from tests.gateway import stand_ins
from tests.gateway import store_stand_in
from tests.gateway import test_platform_schema
from tests.gateway import test_whole_gateway
from tests.soak import routers

CONTACT_SECONDS = 3.0
"""Time after the fifth crash from which poison requests are counted."""
COUNTED_CRASHES = 5
RESTART_SECONDS = 2.0
PROMPT_SECONDS = 0.08
EVENT_SECONDS = 0.05
EVENT_COUNT = 6
POPULAR = ("0a", "0b", "0c")
"""First segments of the prompts of sound requests."""
DEADLINE_SECONDS = 5.0
START_SECONDS = 30.0
"""Longest time until every router serves."""


@dataclasses.dataclass
class Sent:
    """A request and its outcome.

    Attributes:
        at: loop time at which it was sent.
        poison: the segment that ends its runner; empty if it is sound.
        status: status of the response; 0 without a complete one.
    """

    at: float
    poison: str
    status: int = 0


@dataclasses.dataclass(frozen=True)
class Crowd:
    """The callers' requests.

    Attributes:
        per_second: requests a second.
        share: part of the requests that are poison, once `starts_at`.
        segments: the segments that end runners, used in turn.
        first: whether the segment is the first of the prompt, and not the
            second.
        last: whether it takes the place of the last one, as in requests that
            are repeated.
        starts_at: seconds from the start of the load to the first of them.
    """

    per_second: float = 20.0
    share: float = 0.125
    segments: tuple[str, ...] = ("bad0",)
    first: bool = False
    last: bool = False
    starts_at: float = 4.0


class Runner(test_whole_gateway.Runner):
    """A runner that ends as soon as it answers a poison request."""

    def __init__(self, load, name):
        super().__init__(load.store.memory, name, "big")
        self._load = load

    async def _respond(self, request, writer, number):
        if b'"repath"' in request.body:
            await self._send_json(writer, 404, {})
            return
        if not request.head.startswith("POST /p/"):
            await super()._respond(request, writer, number)
            return
        await self._load.answer(self, request, writer)


class CrashLoad:
    """Routers, runners and callers.

    Attributes:
        store: the stand-in of the platform's store.
        sent: the requests so far.
        crashes: loop times of the crashes, by the segment that caused them.
        arrivals: loop times at which poison requests reached a runner, by
            segment.
        logs: the routers' logs.
        gateways: the routers.
    """

    def __init__(self, router_count, runner_count, crowd):
        self.store = store_stand_in.StoreStandIn()
        self.sent = []
        self.crashes = {segment: [] for segment in crowd.segments}
        self.arrivals = {segment: [] for segment in crowd.segments}
        self.logs = []
        self.gateways = []
        self.crowd = crowd
        self._router_count = router_count
        self._runner_count = runner_count
        self._settings = []
        self._running = []
        self._reserved = []
        self._names = itertools.count()
        self._rng = random.Random(7)
        self._numbers = itertools.count(1)
        self._background = set()

    async def start(self):
        await self.store.start()
        config = json.loads(json.dumps(test_platform_schema.CONFIG))
        config["routes"][0] |= {"backends": [], "service": "s"}
        engine = config["services"][0]["engine"]
        engine["kinds"][0]["mb"] = 300000.0
        engine["models"][0]["load_s"] = 1.0
        raw = json.dumps(config).encode()
        await self.store.memory.txn([], [kv.Put("op/config", raw)])
        for _ in range(self._runner_count):
            await self._start_runner()
        for number in range(self._router_count):
            await self._start_router(f"vm-{number}")
        await self._wait_until_served()

    async def stop(self):
        tasks = list(self._background) + self._running
        for each in self.gateways:
            tasks += each._tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.store.server.close()
        for sock in self._reserved:
            sock.close()

    async def run(self, seconds):
        """Sends the crowd's requests for that long; awaits the outcomes."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        due = start
        while loop.time() < start + seconds:
            poison = ""
            if (
                loop.time() >= start + self.crowd.starts_at
                and self._rng.random() < self.crowd.share
            ):
                poison = self._rng.choice(self.crowd.segments)
            self._spawn(self._call(poison))
            due += 1.0 / self.crowd.per_second
            await asyncio.sleep(max(0.0, due - loop.time()))
        await asyncio.sleep(DEADLINE_SECONDS)

    def arrivals_after_bound(self, segment):
        """Returns the arrivals later than the bound after the fifth crash."""
        crashes = self.crashes[segment]
        if len(crashes) < COUNTED_CRASHES:
            return []
        bound = crashes[COUNTED_CRASHES - 1] + CONTACT_SECONDS
        return [at for at in self.arrivals[segment] if at > bound]

    def served_ratio(self, start, end):
        """Returns the part of the sound requests that was served."""
        chosen = [
            each
            for each in self.sent
            if not each.poison and start <= each.at < end
        ]
        return sum(each.status == 200 for each in chosen) / len(chosen)

    async def answer(self, runner, request, writer):
        """Answers a request as a runner, or ends the runner."""
        raw = request.headers.get("x-prompt-prefix", "")
        ids = [each.partition(":")[0] for each in raw.split(",")]
        poison = next((s for s in self.crashes if s in ids), None)
        now = asyncio.get_running_loop().time
        if poison is not None:
            self.arrivals[poison].append(now())
        await asyncio.sleep(PROMPT_SECONDS)
        if poison is not None:
            self.crashes[poison].append(now())
            self._spawn(self._restart(runner))
            return
        writer.write(stand_ins.stream_head(request))
        for number in range(1, EVENT_COUNT + 1):
            writer.write(stand_ins.sse_chunk(number, number))
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(test_whole_gateway.LAST_CHUNK)

    async def _restart(self, runner):
        runner.server.abort()
        await asyncio.sleep(RESTART_SECONDS)
        key = f"servers/{runner.name}"
        await self.store.memory.txn([], [kv.Delete(key)])
        await self._start_runner()

    async def _start_runner(self):
        await Runner(self, f"r-{next(self._names)}").start()

    async def _start_router(self, vm):
        # Connections of this process would take the ports of closed sockets.
        reserved = routers.reserve_ports(4)
        self._reserved += reserved
        addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in reserved]
        config = settings.Settings(
            vm=vm,
            failure_domain="a",
            listen=settings.Listen(*addresses),
            store=settings.Store(self.store.server.address),
        )
        rng = random.Random(vm)
        log = rig.MemoryLog()
        router = gateway.Gateway(
            config,
            store=store.PlatformKv(self.store.server.address, 1.0),
            schema=schema.PlatformSchema(),
            runners=runners.PlatformRunners(),
            names=names.HEADERS,
            readiness_path=names.READINESS_PATH,
            log=log,
            rng=rng,
            source=rig.MemorySettings(config),
        )
        self.logs.append(log)
        self.gateways.append(router)
        self._settings.append(config)
        self._running.append(asyncio.ensure_future(router.run()))

    async def _wait_until_served(self):
        async with asyncio.timeout(START_SECONDS):
            for number in range(self._router_count):
                served = False
                while not served:
                    await asyncio.sleep(0.1)
                    served = await self._call("", router=number) == 200
        self.sent.clear()

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _call(self, poison, router=None):
        number = next(self._numbers)
        if router is None:
            router = self._rng.randrange(self._router_count)
        segments = [self._rng.choice(POPULAR), f"{number:04x}"]
        if poison and self.crowd.last:
            segments[-1] = poison
        elif poison:
            segments.insert(0 if self.crowd.first else 1, poison)
        headers = [
            (b"host", b"h"),
            (names.HEADERS.request_id, b"%d" % number),
            (names.HEADERS.key, b"k1"),
            (names.HEADERS.tokens, b"100,40"),
            (
                b"x-prompt-prefix",
                ",".join(f"{s}:40" for s in segments).encode(),
            ),
        ]
        raw = http_call.format_request("POST", "/p/1", headers, b"{}")
        sent = Sent(asyncio.get_running_loop().time(), poison)
        self.sent.append(sent)
        try:
            connection = await http_call.connect(
                self._settings[router].listen.callers
            )
        except http_call.CallError:
            return 0
        try:
            response = await control_client.exchange(
                connection, "POST", raw, DEADLINE_SECONDS
            )
            sent.status = response.status
        except (http_call.CallError, TimeoutError):
            sent.status = 0
        finally:
            connection.close()
        return sent.status
