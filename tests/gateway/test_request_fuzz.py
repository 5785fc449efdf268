"""Fuzzes the bytes of complete requests; each must get a complete response."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies as st

from nutmeglift_gateway import control_client
from nutmeglift_gateway import freshness
from nutmeglift_gateway import http_call
from nutmeglift_platform import names
from tests.gateway import rig
from tests.gateway import stand_ins

EXAMPLE_COUNT = 800
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLE_COUNT,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
LONG_DIGITS = b"9" * 5000
"""Python 3.11 converts at most 4,300 digits to an integer."""
NUMBERS = st.sampled_from(
    [
        b"0", b"1", b"40", b"-1", b"+5", b"1e3", b"0x10", b"", b" 7 ",
        b"9" * 10, b"9" * 11, b"9" * 19, b"9" * 400, LONG_DIGITS, b"\xb2",
        b"1_000", b"00000000000000000001",
    ]
)  # fmt: skip
COUNTS = st.one_of(
    st.sampled_from([b"100,40", b"100", b"100,40,1", b",", b"a,b"]),
    st.builds(lambda a, b: a + b"," + b, NUMBERS, NUMBERS),
)
HOSTS = st.sampled_from(
    [
        b"desk.example", b"desk.example:80", b"DESK.example", b"[::1]",
        b"[::1]:80", b"", b":", b"desk.example:", b"a:b:c", b"\xe9.example",
        b"[", b"desk.example.",
    ]
)  # fmt: skip
TARGETS = st.one_of(
    st.sampled_from(
        [
            b"/draft/1", b"/draft/", b"/draft", b"/status/1", b"/release/1",
            b"/open/1", b"/open/1?a=/b/", b"/", b"*", b"//", b"/%00/%ff",
            b"/open/\xe9\xff", b"http://desk.example/open/1",
            b"http://desk.example", b"/open/" + b"/" * 9000, b"/open/1#x",
            b"/open/%2e%2e/draft/1", b"desk.example:443",
        ]
    ),
    st.binary(max_size=20).map(
        lambda raw: b"/open/" + bytes(each for each in raw if each > ord(" "))
    ),
)  # fmt: skip
METHODS = st.sampled_from(
    [b"GET", b"POST", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"PATCH"]
)
EXTRA_HEADERS = st.lists(
    st.sampled_from(
        [
            b"Connection: close", b"Connection: keep-alive, x-a", b"X-A: 1",
            b"Expect: 100-continue", b"Accept: \xff\xfe", b"X-Empty:",
            b"Connection: ,,", b"TE: trailers", b"Cookie: " + b"c" * 3000,
            b"X-Api-Key: other", b"X-Tenant: other", b"Host: other",
            b"X-Attempt-Id: other", b"Last-Event-Id: 0",
            b"X-Hop-Count: 10.0.0.1:80=0-80", b"X-Deadline-Ms: 5",
            b"X-Token-Usage: 1,1", b"Keep-Alive: timeout=1",
        ]
    ),
    max_size=3,
)  # fmt: skip


def header(name, values):
    """Returns lists of header lines that hold no or one value of a header."""
    line = values.map(lambda value: [name + b": " + value])
    return st.one_of(st.just([]), line, line)


@st.composite
def raw_requests(draw):
    """Returns a method, and the bytes of a complete request."""
    method = draw(METHODS)
    version = draw(st.sampled_from([b"1.1", b"1.1", b"1.0"]))
    lines = [b"%b %b HTTP/%b" % (method, draw(TARGETS), version)]
    values_by_name = {
        b"Host": HOSTS,
        names.HEADERS.request_id: st.sampled_from([b"a-2", b"", b"a" * 900]),
        names.HEADERS.key: st.sampled_from([b"key-1", b"x", b"\xff"]),
        names.HEADERS.tokens: COUNTS,
        names.HEADERS.length_hint: NUMBERS,
        names.HEADERS.deadline: NUMBERS,
        names.HEADERS.last_event_id: NUMBERS,
    }
    usual_by_name = {
        b"Host": b"desk.example",
        names.HEADERS.request_id: b"a-1",
        names.HEADERS.key: b"key-1",
        names.HEADERS.tokens: b"100,40",
    }
    odd = draw(st.sets(st.sampled_from(sorted(values_by_name)), max_size=3))
    for name, values in values_by_name.items():
        if name in odd:
            lines += draw(header(name, values))
        elif name in usual_by_name:
            lines.append(name + b": " + usual_by_name[name])
    lines += draw(EXTRA_HEADERS)
    body = draw(st.sampled_from([b"", b"{}", b"x" * 300]))
    if version == b"1.1" and draw(st.booleans()):
        lines.append(b"Transfer-Encoding: chunked")
        chunk = b"%x;a=b\r\n%b\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\nX-Trailer: 1\r\n\r\n"
    elif body or draw(st.booleans()):
        lines.append(b"Content-Length: %d" % len(body))
    return method.decode(), b"\r\n".join(lines) + b"\r\n\r\n" + body


def draft(**headers):
    """Returns the method and the bytes of a request for a stream."""
    raw = stand_ins.GatewayRig.format_request("/draft/1", **headers)
    return "POST", raw


async def respond(request, writer, number):
    """Responds with a stream if the request has a path, or completely."""
    if "x-hop-count" not in request.headers:
        without_body = request.head.startswith("HEAD")
        body = b"" if without_body else b"done"
        writer.write(stand_ins.complete_response(request, body))
        return
    first = int(request.headers.get("last-event-id") or 0) + 1
    writer.write(stand_ins.stream_head(request))
    writer.write(stand_ins.sse_chunk(first, first + 2) + b"0\r\n\r\n")


class RequestFuzzTest(unittest.TestCase):
    def setUp(self):
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.loop.run_until_complete(self.start())
        self.addCleanup(lambda: self.loop.run_until_complete(self.rig.stop()))

    async def start(self):
        self.rig = stand_ins.GatewayRig()
        await self.rig.start()
        await self.rig.add_server(respond, "plain")
        await self.rig.add_runner(respond, "runner", 0, 80)

    async def send(self, method, raw):
        rig.confirm(self.rig.board, freshness.boot_clock())
        connection = await http_call.connect(self.rig.address)
        try:
            return await control_client.exchange(
                connection, method, raw, stand_ins.WAIT_SECONDS
            )
        finally:
            connection.close()

    def test_each_complete_request_gets_a_complete_response(self):
        statuses = set()

        @SETTINGS
        @hypothesis.given(raw_requests())
        @hypothesis.example(draft(x_token_usage=b"1," + LONG_DIGITS))
        @hypothesis.example(draft(x_length_hint=LONG_DIGITS))
        @hypothesis.example(draft(last_event_id=LONG_DIGITS))
        @hypothesis.example(draft(x_deadline_ms=LONG_DIGITS))
        @hypothesis.example(draft(x_api_key=b"unknown"))
        def check(case):
            method, raw = case
            response = self.loop.run_until_complete(self.send(method, raw))
            statuses.add(response.status)

        check()
        # The requests reach the servers as well as every kind of refusal.
        self.assertLessEqual({200, 400, 401, 404}, statuses)


if __name__ == "__main__":
    unittest.main()
