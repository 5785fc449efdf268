"""Random sequences of events of the attempts at one stream."""

import asyncio
import random
import unittest
from unittest import mock

from nutmeglift_gateway import directory
from nutmeglift_gateway import exchange
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from nutmeglift_gateway import responses
from nutmeglift_gateway import suspect_servers
from nutmeglift_platform import names
from tests import virtual_time
from tests.gateway import rig
from tests.gateway import stand_ins

EVENT_COUNT = 6
RUNNERS = ("w", "x", "y", "z")
SEED_COUNT = 1000


class FakeCaller:
    """A caller's connection that records the response."""

    def __init__(self):
        self.closed = False
        self.response_begun = False
        self.on_writable = None
        self.has_queued = False
        self.data = b""
        self.ends = []

    def write(self, data):
        assert not self.ends, "written after the end"
        self.data += data

    def finish(self, *, keep_alive):
        self.ends.append("finished")
        self.ended_at = asyncio.get_running_loop().time()

    def abort(self):
        self.ends.append("aborted")
        self.ended_at = asyncio.get_running_loop().time()


class FakeUpstream(http_call.Connection):
    """A connection to a runner that the test plays."""

    def __init__(self, model, address):
        super().__init__()
        self.model = model
        self.address = address
        self.call = None
        self.ended = False
        self.head_sent = False
        self.next_id = 1
        self.ran = False
        self.not_sent = False

    def send(self, request, receiver, *, head_only, **kwargs):
        self.call = receiver
        head = request.split(b"\r\n\r\n")[0].decode().lower()
        for line in head.split("\r\n"):
            if line.startswith("last-event-id:"):
                self.next_id = int(line.split(":")[1]) + 1
        self.ran = True
        self.model.sent.append(self)
        if self.model.rng.random() < 0.05:
            self.not_sent = True
            self.fail(http_call.CallFailure.CLOSED, sent=False)

    def abort(self):
        if self.is_live and self.model.last_delivered_by in (None, self):
            self.model.ended_early_at.append(asyncio.get_running_loop().time())
        self.ended = True

    def close(self):
        self.abort()

    def pause(self):
        pass

    def resume(self):
        pass

    @property
    def is_live(self):
        return not (self.call is None or self.ended or self.call.done.done())

    def head(self, status=200, **extra):
        headers = [
            (names.HEADERS.request_id, b"attempt-1"),
            (b"x-response-seal", b"seal"),
        ]
        if status == 200:
            headers.append((b"content-type", b"text/event-stream"))
        for name, value in extra.items():
            headers.append((name.replace("_", "-").encode(), value))
        self.head_sent = True
        return self.call.on_head(http_call.Head(status, headers))

    def events(self, count, skip=0):
        if not self.head_sent:
            self.head()
        first = self.next_id + skip
        last = min(EVENT_COUNT, first + count - 1)
        self.next_id = max(self.next_id, last + 1)
        for event_id in range(first, last + 1):
            if not self.ended:
                self.model.last_delivered_by = self
                self.call.on_body(b"id: %d\ndata: t\n\n" % event_id)

    def complete(self):
        self.events(EVENT_COUNT)
        if not self.ended:
            self.ended = True
            self.call.on_complete(b"")

    def reject(self):
        self.ran = False
        self.head(503, x_not_executed=b"1")
        self.ended = True

    def server_error(self):
        self.head(500)
        self.ended = True
        self.call.on_complete(b"error")

    def fail(self, failure=http_call.CallFailure.RESET, sent=True):
        self.ended = True
        self.call.on_failure(http_call.CallError(failure, sent, "test"))


class Model:
    """One stream and the runners that it may use."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.rig = stand_ins.GatewayRig()
        self.sent = []
        self.history = []
        self.most_live = 0
        self.connecting = 0
        self.writable = True
        self.suspected = False
        self.cancelled = False
        self.last_delivered_by = None
        self.ended_early_at = []

    async def connect(self, address, timeout=0.25):
        self.connecting += 1
        try:
            return await self._connect(address)
        finally:
            self.connecting -= 1

    async def _connect(self, address):
        kind = self.rng.choice(["now", "now", "slow", "fail", "slow fail"])
        if "slow" in kind:
            await asyncio.sleep(self.rng.choice([0.05, 0.2]))
        if "fail" in kind and self.rng.random() < 0.6:
            raise http_call.CallError(
                http_call.CallFailure.NOT_CONNECTED, False, "test"
            )
        return FakeUpstream(self, address)

    def live(self):
        return [each for each in self.sent if each.is_live]

    def step(self):
        """Plays one random event."""
        live = self.live()
        self.most_live = max(self.most_live, len(live))
        weight_by_action = {
            self.wait_for_nothing: 1,
            self.start_successors: 4,
            self.toggle_backpressure: 1,
            self.suspect_runner: 1,
        }
        if live:
            weight_by_action |= {self.play_runner: 10}
        (action,) = self.rng.choices(
            list(weight_by_action), list(weight_by_action.values())
        )
        self.history.append(action.__name__)
        action()

    def wait_for_nothing(self):
        pass

    def start_successors(self):
        now = asyncio.get_running_loop().time()
        for stream in list(self.rig.monitor._streams):
            if stream.is_busy or stream.paired:
                continue
            stream.receiver.last_byte_at = now - 5.0
            self.rig.monitor.resumer.start_successor(stream, now, "test")

    def toggle_backpressure(self):
        if self.caller.on_writable:
            self.writable = not self.writable
            self.caller.on_writable(self.writable)

    def suspect_runner(self):
        self.suspected = True
        self.rig.failure_recorder.record_by_address(
            f"10.0.0.{ord(self.rng.choice(RUNNERS))}:80",
            self.rng.choice(sorted(suspect_servers.DOWN_REASONS)),
            "test",
        )

    def play_runner(self):
        """Lets a runner send events or end its response."""
        upstream = self.rng.choice(self.live())
        action = self.rng.choice(
            ["events"] * 5
            + ["complete", "reset", "reject", "server_error", "skip"]
        )
        self.history.append((action, upstream.address))
        match action:
            case "events":
                upstream.events(self.rng.randint(1, 2))
            case "skip" if 1 < upstream.next_id < EVENT_COUNT:
                upstream.events(1, skip=1)
            case "complete":
                upstream.complete()
            case "reject" if not upstream.head_sent:
                upstream.reject()
            case "server_error" if not upstream.head_sent:
                upstream.server_error()
            case _:
                upstream.fail()

    async def run(self):
        """Plays one stream; returns whether its exchange has ended."""
        self.register_runners()
        self.caller = FakeCaller()
        request = rig.make_request(
            "/draft/1",
            x_deadline_ms=self.rng.choice([b"20000", b"20000", b"700"]),
        )
        loop = asyncio.get_running_loop()
        request.received_at = loop.time()
        self.work = exchange.Exchange(self.rig.context, self.caller, request)
        with mock.patch.object(http_call, "connect", self.connect):
            task = loop.create_task(self.work.run())
            await self.play(task)
            done = task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        if done and not self.cancelled:
            task.result()
        return done

    def register_runners(self):
        board = self.rig.board
        rig.confirm(board, freshness.boot_clock())
        self.max_attempts = self.rng.choice([1, 2, 3])
        resumable = self.rng.random() < 0.8
        route = rig.make_route(
            "draft",
            rig.STREAM.idempotency,
            rig.MODEL,
            max_attempts=self.max_attempts,
            resumable=resumable,
        )
        self.resumable = resumable
        board.catalog = rig.make_catalog(
            routes=(route, rig.SAFE, rig.UNSAFE, rig.OPEN)
        )
        for name in RUNNERS:
            self.rig.register(
                name,
                f"10.0.0.{ord(name)}:80",
                rig.MODEL,
                kind="whole",
                layers=directory.LayerRange(0, 80),
            )

    async def play(self, task):
        """Plays random events, and then completes what is still running."""
        for _ in range(self.rng.randint(3, 25)):
            if self.rng.random() < 0.6:
                await asyncio.sleep(self.rng.choice([0, 0, 0, 0.1, 0.3]))
            if self.rng.random() < 0.2:
                await self.settle()
                self.check_pairing()
            if task.done():
                return
            for _ in range(self.rng.choice([1, 1, 1, 2, 3])):
                self.step()
            if self.rng.random() < 0.01:
                self.cancelled = True
                self.caller.closed = True
                task.cancel()
                return
        for _ in range(40):
            if task.done():
                return
            for each in self.live():
                each.complete()
            await asyncio.sleep(0.3)

    async def settle(self):
        """Waits until no connection is being opened."""
        await asyncio.sleep(0)
        while self.connecting:  # noqa: ASYNC110 - virtual time.
            await asyncio.sleep(0.01)
        for _ in range(8):
            await asyncio.sleep(0)

    def check_pairing(self):
        """Checks that a successor is possible unless one is running."""
        streams = self.rig.monitor._streams
        if self.connecting:
            return
        for stream in streams:
            assert stream.paired == (len(streams) > 1), self.history
            assert not stream.paired or stream._resume_reserved == ()

    def check(self, test, done):
        test.assertTrue(done or self.cancelled, "the exchange has not ended")
        test.assertEqual(self.rig.board.load_tracker.own(), {})
        for load in self.rig.board.load_tracker._own_by_address.values():
            test.assertEqual(load.requests, 0)
            test.assertAlmostEqual(load.token_layers, 0.0)
        test.assertEqual(self.rig.monitor._streams, set())
        test.assertEqual(self.live(), [])
        test.assertLessEqual(self.most_live, 2)
        progress = self.work._reply.progress
        runs = [each for each in self.sent if each.ran and not each.not_sent]
        test.assertEqual(progress.runs, len(runs))
        if not self.suspected:
            test.assertLessEqual(len(runs), self.max_attempts)
        if not self.resumable:
            test.assertLessEqual(len(runs), 1)
        if self.cancelled:
            return
        test.assertEqual(len(self.caller.ends), 1, self.caller.ends)
        head, _, body = self.caller.data.partition(b"\r\n\r\n")
        ids = stand_ins.event_ids(body)
        test.assertEqual(ids, list(range(1, len(ids) + 1)))
        deadline = self.work._admitted.deadline
        if self.caller.ended_at < deadline:
            # No attempt that may succeed is ended before the response is.
            succeeded = self.caller.ends == ["finished"] and (
                progress.started or b" 200 " in head[:16]
            )
            test.assertTrue(succeeded or not self.ended_early_at, self.history)
            for ended_at in self.ended_early_at:
                test.assertEqual(ended_at, self.caller.ended_at)
        if not progress.started:
            if b" 503 " in head[:16] or b" 429 " in head[:16]:
                test.assertEqual(runs, [])
            test.assertEqual(self.caller.ends, ["finished"])
            return
        if self.caller.ends == ["finished"]:
            test.assertTrue(body.endswith(responses.LAST_CHUNK))
            test.assertEqual(len(ids), EVENT_COUNT)
        else:
            test.assertFalse(body.endswith(responses.LAST_CHUNK))


class StreamAttemptsModelTest(unittest.TestCase):
    def test_random_events_of_the_attempts(self):
        for seed in range(SEED_COUNT):

            async def play(seed=seed):
                model = Model(seed)
                return model, await model.run()

            with self.subTest(seed=seed):
                model, done = virtual_time.run(play())
                model.check(self, done)
