"""End-to-end tests of requests through real router and agent code."""

import asyncio
import unittest

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import messages
from nutmeglift import states
from tests import utils
from tests import virtual_time


class WholePathTest(unittest.TestCase):
    def test_answer_equals_that_of_the_unsplit_model(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start()
            text = await cluster.read(cluster.start_chat(24))
            faults = cluster.find_layer_order_violations()
            await cluster.stop()
            return text, faults

        text, faults = virtual_time.run(scenario())
        self.assertEqual(text, utils.reference_text(utils.PROMPT, 24))
        self.assertEqual(faults, [])

    def test_concurrent_answers_are_not_mixed_up(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start(runners=8, routers=2)
            prompts = [utils.chat_prompt(f"lot {n}") for n in range(40)]
            routers = [p.router for p in cluster.router_by_vm.values()]
            texts = await asyncio.gather(
                *(
                    cluster.read(
                        cluster.start_chat(
                            16, prompt=prompt, router=routers[index % 2]
                        ),
                        routers[index % 2],
                    )
                    for index, prompt in enumerate(prompts)
                )
            )
            await cluster.stop()
            return prompts, texts

        prompts, texts = virtual_time.run(scenario())
        for prompt, text in zip(prompts, texts, strict=True):
            with self.subTest(prompt=bytes(prompt)):
                self.assertEqual(text, utils.reference_text(prompt, 16))

    def test_release_runs_once_for_one_key(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start()
            first = await cluster.release("key-1")
            second = await cluster.release("key-1")
            with self.assertRaises(errors.RefusedError) as reused:
                await cluster.release("key-1", body=b"other")
            executions = cluster.executions()
            await cluster.stop()
            return first, second, executions, reused.exception

        first, second, executions, reused = virtual_time.run(scenario())
        self.assertEqual(executions, 1)
        self.assertEqual(first, second)
        self.assertEqual(first.ran, states.Ran.RAN)
        self.assertEqual(reused.kind, errors.ErrorKind.IDEMPOTENCY_KEY_REUSED)

    def test_killed_stage_does_not_change_the_answer(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start()
            stream = cluster.start_chat(32)
            reading = asyncio.ensure_future(cluster.read(stream))
            await asyncio.sleep(0.05)
            self.assertGreater(len(stream.gate.tokens), 0)
            self.assertLess(len(stream.gate.tokens), 32)
            await cluster.kill(stream.pipeline.stages[1].vm)
            text = await reading
            attempt = stream.gate.attempt
            await cluster.stop()
            return text, attempt

        text, attempt = virtual_time.run(scenario())
        self.assertEqual(text, utils.reference_text(utils.PROMPT, 32))
        self.assertGreater(attempt, 1)


class MalformedFrameTest(unittest.TestCase):
    FRAMES = {
        "not CBOR": b"\xff\xff",
        "no map": codec.encode(messages.Leaving())[:-1] + b"\x00\x01",
        "unknown tag": b"\xa1atcxyz",
        "not a Hello": codec.encode(messages.Leaving()),
    }

    def test_malformed_frame_closes_only_its_connection(self):
        for name, frame in self.FRAMES.items():
            with self.subTest(name):
                text, closed = virtual_time.run(self._send(frame))
                self.assertTrue(closed)
                self.assertEqual(text, utils.reference_text(utils.PROMPT, 24))

    async def _send(self, frame: bytes):
        cluster = utils.Cluster()
        await cluster.start()
        reading = asyncio.ensure_future(cluster.read(cluster.start_chat(24)))
        target = next(iter(cluster.agent_by_vm.values()))
        link = await cluster.network.connect(
            "10.8.0.1:1", target.address, target.clock
        )
        await link.send_frame(frame)
        try:
            await link.receive()
            closed = False
        except errors.LinkClosedError:
            closed = True
        text = await reading
        await cluster.stop()
        return text, closed


if __name__ == "__main__":
    unittest.main()
