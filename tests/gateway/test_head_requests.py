"""Responses to HEAD requests have no body (RFC 9110, section 9.3.2).

A body is read where the response to the next request is due.
"""

import asyncio
import unittest

from tests.gateway import router_case
from tests.gateway import stand_ins
from tests.gateway import test_listener

END = b"\r\n\r\n"


async def full(request, writer, number):
    writer.write(
        stand_ins.complete_response(request, status=503, x_not_executed="1")
    )


async def reset(request, writer, number):
    stand_ins.reset_connection(writer)


async def failed(request, writer, number):
    """Answers as a server answers HEAD: the length is that of GET."""
    raw = stand_ins.complete_response(request, status=500)
    writer.write(raw.partition(END)[0] + END)


CASES = [
    # name, how the server answers, path, headers, status
    ("no server", None, "/release/1", {}, b"503"),
    ("turned away", full, "/release/1", {}, b"503"),
    ("lost", reset, "/release/1", {}, b"502"),
    ("failed at the server", failed, "/release/1", {}, b"500"),
    ("unknown route", None, "/nothing", {}, b"404"),
    ("unknown key", None, "/release/1", {"x_api_key": b"other"}, b"401"),
    ("a stream", None, "/draft/1", {}, b"503"),
]


class HeadTest(stand_ins.GatewayTestCase):
    async def test_the_next_response_follows_the_head(self):
        for name, script, path, headers, status in CASES:
            with self.subTest(name):
                self.rig.board.directory.replace_all(0.0, [])
                if script is not None:
                    await self.rig.add_server(script, "a")
                host, _, port = self.rig.address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    self.rig.format_request(path, "HEAD", b"", **headers)
                    + self.rig.format_request("/nothing", "GET", b"")
                )
                async with asyncio.timeout(stand_ins.WAIT_SECONDS):
                    head = await reader.readuntil(END)
                    following = await reader.readuntil(END)
                writer.close()
                self.assertEqual(head.split(b" ")[1], status)
                self.assertTrue(following.startswith(b"HTTP/1.1 404"))
                if script is not failed:
                    self.assertIn(b"content-length: ", head)


class UnreadableHeadTest(test_listener.ListenerTestCase):
    async def test_one_that_cannot_be_read(self):
        cases = {
            "large header": b"x: " + b"y" * 500 + END,
            "odd header": b"x\r\n: y" + END,
            "large body": b"content-length: 51" + END,
            "unfinished": b"x: y\r\n",
        }
        for name, rest in cases.items():
            with self.subTest(name):
                head = b"HEAD /a HTTP/1.1\r\nhost: h\r\n"
                response = await self.send(head + rest)
                self.assertTrue(response.startswith(b"HTTP/1.1 4"))
                self.assertTrue(response.endswith(END), response)

    async def test_another_method_after_head(self):
        first = b"HEAD /a HTTP/1.1\r\nhost: h\r\n\r\n"
        response = await self.send(first + b"\x00 / HTTP/1.1" + END)
        self.assertFalse(response.endswith(END), response)


class HeadCheckTest(router_case.RouterTestCase):
    async def test_the_platforms_checks(self):
        for address, path in (
            (self.loaded.listen.metrics, "/metrics"),
            (self.loaded.listen.readiness, "/v1/readiness"),
        ):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            request = f"HEAD {path} HTTP/1.1\r\nhost: r\r\n"
            writer.write(f"{request}connection: close\r\n\r\n".encode())
            response = await self.read_to_end(reader)
            writer.close()
            self.assertTrue(response.startswith(b"HTTP/1.1 200"))
            self.assertTrue(response.endswith(END))


if __name__ == "__main__":
    unittest.main()
