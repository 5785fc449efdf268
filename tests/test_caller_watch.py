"""Tests of callers that disconnect during an answer over HTTP."""

import asyncio
import json
import unittest

from nutmeglift_router import http_app
from tests import utils
from tests import virtual_time


class Caller:
    """Calls the router's ASGI application and disconnects after a delay."""

    def __init__(self, app, *, stream, max_tokens, leave_after):
        self._app = app
        self._leave_after = leave_after
        self._body = json.dumps(
            {
                "model": utils.ROUTE,
                "messages": [{"role": "user", "content": "check"}],
                "max_tokens": max_tokens,
                "stream": stream,
            }
        ).encode()
        self.status = None
        self.received = b""

    async def run(self):
        scope = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": "POST",
            "path": "/v1/chat/completions",
            "raw_path": b"/v1/chat/completions",
            "query_string": b"",
            "headers": [
                (b"authorization", f"Bearer {utils.TOKEN}".encode()),
                (b"content-type", b"application/json"),
            ],
        }
        await self._app(scope, self._receive, self._send)

    async def _receive(self):
        if self._body:
            body, self._body = self._body, b""
            return {"type": "http.request", "body": body}
        await asyncio.sleep(self._leave_after)
        return {"type": "http.disconnect"}

    async def _send(self, message):
        if message["type"] == "http.response.start":
            self.status = message["status"]
        else:
            self.received += message.get("body", b"")


class CallerDisconnectTest(unittest.TestCase):
    TABLE = (
        # stream, seconds until the caller leaves, answer is complete
        (False, 0.1, False),
        (True, 0.1, False),
        (False, 60.0, True),
        (True, 60.0, True),
    )

    def test_disconnect_ends_the_work_of_all_processes(self):
        for stream, leave_after, whole in self.TABLE:
            with self.subTest(stream=stream, leave_after=leave_after):
                caller, counters, left = virtual_time.run(
                    self._call(stream, leave_after)
                )
                prompt = utils.chat_prompt("check")
                last = utils.reference_text(prompt, 400).split()[-1]
                self.assertEqual(last.encode() in caller.received[-400:], whole)
                self.assertEqual(counters["chat.caller_left"], int(not whole))
                self.assertEqual(counters["chat.finished"], int(whole))
                self.assertEqual(left, [])

    async def _call(self, stream, leave_after):
        cluster = utils.Cluster()
        await cluster.start()
        app = http_app.HttpApp(cluster.router).app
        caller = Caller(
            app, stream=stream, max_tokens=400, leave_after=leave_after
        )
        await caller.run()
        await asyncio.sleep(0.1)
        left = [
            vm for vm, a in cluster.agent_by_vm.items() if a.agent.in_flight
        ]
        if cluster.router.chat.in_flight or cluster.router.drain.in_flight:
            left.append("router")
        counters = cluster.counters_of("entry-1")
        await cluster.stop()
        return caller, counters, left


if __name__ == "__main__":
    unittest.main()
