"""Tests of sessions: handshake, silent and slow peers, handler errors."""

import asyncio
import unittest

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import settings
from nutmeglift import states
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import link as links
from nutmeglift_wire import session as sessions
from tests import virtual_time

NEAR = "10.0.0.1:1"
FAR = "10.0.0.2:1"
KEY = b"a key of the tests only"
BOUNDS = settings.Bounds(heartbeat_seconds=0.5, silence_seconds=1.5)


def make_hello(vm):
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        states.ProcessRole.AGENT,
        ids.VmId(vm),
        ids.Incarnation("1"),
        ids.FailureDomain("luzon-1"),
    )


class Pair:
    """Both ends of one connection."""

    def __init__(self):
        self.network = links.MemoryNetwork()
        self.clock = clocks.PausableClock()
        self.far_clock = clocks.PausableClock()
        self.far_link = None
        self.network.listen(FAR, self._accept, self.far_clock)

    async def _accept(self, link):
        self.far_link = link

    async def open(self, handler=lambda session, message: None):
        link = await self.network.connect(NEAR, FAR, self.clock)
        await asyncio.sleep(0)
        near = self._make(link, self.clock, "far", handler)
        far = self._make(
            self.far_link, self.far_clock, "near", lambda session, message: None
        )
        return near, far

    def _make(self, link, clock, peer, handler):
        return sessions.Session(
            link,
            make_hello(peer),
            clock=clock,
            bounds=BOUNDS,
            handler=handler,
            make_heartbeat=lambda n: messages.Heartbeat(n, ids.Generation(0)),
        )


def now():
    return asyncio.get_running_loop().time()


class SilenceTest(unittest.TestCase):
    def test_silent_connection_ends_within_three_seconds(self):
        async def work(offset):
            pair = Pair()
            near, far = await pair.open()
            runs = [asyncio.ensure_future(s.run()) for s in (near, far)]
            await asyncio.sleep(10.0 + offset)
            self.assertFalse(any(run.done() for run in runs))
            began = now()
            pair.network.silence(NEAR, FAR)
            reasons = await asyncio.gather(*runs)
            return now() - began, reasons

        for offset in (0.0, 0.1, 0.26, 0.49):
            with self.subTest(offset=offset):
                seconds, reasons = virtual_time.run(work(offset))
                self.assertLessEqual(seconds, 3.0)
                self.assertIn("no byte from far", reasons[0].detail)

    def test_resumed_process_reads_before_it_detects_silence(self):
        async def work():
            pair = Pair()
            near, far = await pair.open()
            run = asyncio.ensure_future(near.run())
            other = asyncio.ensure_future(far.run())
            await asyncio.sleep(5.0)
            pair.clock.pause()
            await asyncio.sleep(1.4)
            pair.clock.resume()
            await asyncio.sleep(5.0)
            done = run.done()
            run.cancel()
            other.cancel()
            await asyncio.gather(run, other, return_exceptions=True)
            return done

        self.assertFalse(virtual_time.run(work()))


class EndTest(unittest.TestCase):
    def test_peer_that_does_not_read_ends_the_session(self):
        async def work():
            pair = Pair()
            near, _ = await pair.open()

            async def block_forever(message):
                await asyncio.Event().wait()

            near._link.send = block_forever
            run = asyncio.ensure_future(near.run())
            await asyncio.sleep(0)
            posted = [
                near.post(messages.Leaving())
                for _ in range(sessions.MAX_QUEUED_MESSAGES + 2)
            ]
            reason = await run
            return posted, near.post(messages.Leaving()), reason

        posted, after, reason = virtual_time.run(work())
        self.assertTrue(posted[0])
        self.assertFalse(posted[-1])
        self.assertFalse(after)
        self.assertIn("too slowly", reason.detail)

    def test_handler_error_ends_only_its_session(self):
        for raised, kind in (
            (errors.LinkClosedError("gap"), errors.ErrorKind.STREAM_BROKEN),
            (ValueError("bug"), errors.ErrorKind.INTERNAL),
        ):
            with self.subTest(kind=kind):

                async def work(raised=raised):
                    pair = Pair()

                    def handle(session, message):
                        raise raised

                    near, far = await pair.open(handle)
                    far.post(messages.Leaving())
                    other = asyncio.ensure_future(far.run())
                    reason = await near.run()
                    await other
                    return reason

                self.assertIs(virtual_time.run(work()).kind, kind)


class HandshakeTest(unittest.TestCase):
    CASES = {
        "other key": (b"another key altogether", make_hello("near")),
        "no Hello": (KEY, messages.Leaving()),
        "other protocol": (
            KEY,
            messages.Hello(
                messages.PROTOCOL_VERSION + 1,
                states.ProcessRole.AGENT,
                ids.VmId("near"),
                ids.Incarnation("1"),
                ids.FailureDomain("luzon-1"),
            ),
        ),
    }

    def test_invalid_handshake_is_refused(self):
        for name, (key, first) in self.CASES.items():
            with self.subTest(name), self.assertRaises(errors.NutmegError):
                virtual_time.run(self._shake_hands(key, first))

    def test_both_ends_prove_the_key(self):
        peer = virtual_time.run(self._shake_hands(KEY, make_hello("near")))
        self.assertEqual(peer.vm, "near")

    async def _shake_hands(self, key, first):
        pair = Pair()
        link = await pair.network.connect(NEAR, FAR, pair.clock)
        await asyncio.sleep(0)
        listening = asyncio.ensure_future(
            sessions.shake_hands_as_listener(
                pair.far_link, KEY, lambda peer: make_hello("far")
            )
        )
        if isinstance(first, messages.Hello):
            task = asyncio.ensure_future(self._dial(link, key, first))
        else:
            await link.send_frame(codec.encode(first))
            task = asyncio.ensure_future(asyncio.sleep(0))
        try:
            return await listening
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _dial(self, link, key, hello):
        try:
            await sessions.shake_hands_as_dialer(link, key, hello)
        except errors.NutmegError:
            await link.close()


if __name__ == "__main__":
    unittest.main()
