"""One server of the platform, as a process of its own.

Usage: server_3.py NAME KIND STORE_PORT UNFRAMED_ID

KIND is runner or plain. The answer to the request with the id UNFRAMED_ID has
no length and ends with its channel; all others are framed. Each answer consists
of PIECES pieces that are sent one after the other. The server writes its entry
to the store's stand-in, and to its standard output what it runs.
"""

import asyncio
import json
import sys
import time

import stand_ins_3

PIECES = 40
PIECE_SECONDS = 0.05


class Server:
    def __init__(self, name, kind, store_port, unframed_id):
        self._name = name
        self._is_runner = kind == "runner"
        self._store_port = store_port
        self._unframed_id = unframed_id
        self._born = int(time.time() * 1000)
        self._address = ""
        self._layers = None
        self._sequence = 0

    async def run(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self._address = f"127.0.0.1:{port}"
        await self._register()
        await asyncio.Event().wait()

    async def _register(self):
        entry = {
            "service": "model" if self._is_runner else "core",
            "address": self._address,
            "zone": "a",
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self._born,
        }
        if self._is_runner:
            entry |= {
                "stage": "prefill_decode",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "kind": "card",
                "layers": self._layers,
            }
        await stand_ins_3.call(
            self._store_port,
            "POST",
            f"/servers/{self._name}",
            {},
            json.dumps(entry).encode(),
        )

    async def _serve(self, reader, writer):
        try:
            while (head := await stand_ins_3.read_head(reader)) is not None:
                line, headers = head
                body = await stand_ins_3.read_body(reader, headers)
                if not await self._respond(line, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _respond(self, line, headers, body, writer):
        """Answers a request; returns whether the channel stays open."""
        if line.startswith("GET /v1/report"):
            self._send(
                writer,
                200,
                {
                    "stage": "prefill_decode",
                    "models": [],
                    "busy": False,
                    "sequence": self._sequence,
                    "pace": 1.0,
                    "stalled": [],
                    "layers": self._layers,
                    "kind": "card",
                    "born": self._born,
                },
            )
            return True
        if line.startswith("POST /v1/order"):
            await self._take_order(json.loads(body), writer)
            return True
        if headers.get("x-expect-instance", self._name) != self._name:
            self._send(writer, 421, {})
            return True
        return await self._run_request(headers, writer)

    async def _take_order(self, order, writer):
        if (
            order.get("operation") != "place"
            or order.get("expected", self._sequence) != self._sequence
        ):
            self._send(writer, 409, {})
            return
        self._sequence += 1
        self._layers = {
            "from": order["from"],
            "target": order["target"],
            "version": 1,
        }
        self._send(writer, 202, {})
        await self._register()

    async def _run_request(self, headers, writer):
        request_id = headers["x-attempt-id"]
        framed = request_id != self._unframed_id
        print("run", request_id, flush=True)
        kind = "text/event-stream" if self._is_runner else "text/plain"
        head = [
            "HTTP/1.1 200 OK",
            f"content-type: {kind}",
            f"x-attempt-id: {request_id}",
            f"x-response-seal: seal.{request_id}",
        ]
        if framed:
            head.append("transfer-encoding: chunked")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, PIECES + 1):
            await asyncio.sleep(PIECE_SECONDS)
            text = f"{request_id} piece {number} of {PIECES}"
            if self._is_runner:
                text = f"id: {number}\ndata: {text}\n"
            data = (text + "\n").encode()
            if framed:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            print("sent", request_id, number, flush=True)
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return framed

    @staticmethod
    def _send(writer, status, found):
        raw = json.dumps(found).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%b" % (status, len(raw), raw)
        )


if __name__ == "__main__":
    name, kind, store_port, unframed_id = sys.argv[1:]
    asyncio.run(Server(name, kind, int(store_port), unframed_id).run())
