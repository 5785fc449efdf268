"""A caller's HTTP connection that shows how each response ended."""

import asyncio
import dataclasses
import socket

HEAD_END = b"\r\n\r\n"
SLOW_RECEIVE_BUFFER_BYTES = 4096
SLOW_READ_BYTES = 65536
SLOW_READ_INTERVAL_SECONDS = 0.01


@dataclasses.dataclass
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: header values by name in lower case.
        body: the complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class IncompleteResponseError(Exception):
    """The connection ended before the end of a response."""


class Connection:
    """A connection to a router, on which responses are read one by one.

    Attributes:
        number: number of the connection, unique within a run.
        vm: the router's VM.
        answered_count: number of complete responses so far.
        has_begun: whether a byte of the next response was received.
    """

    def __init__(self, number, vm, *, slow):
        self.number = number
        self.vm = vm
        self.answered_count = 0
        self._slow = slow
        self._keep_alive = True
        self._received = b""
        self.has_begun = False
        self._reader = None
        self._writer = None

    async def open(self, address):
        """Connects.

        Raises:
            OSError: the connection could not be opened.
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if self._slow:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
            )
        try:
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().sock_connect(
                    sock, (host, int(port))
                )
            self._reader, self._writer = await asyncio.open_connection(
                sock=sock, limit=SLOW_READ_BYTES
            )
        except (OSError, TimeoutError):
            sock.close()
            raise

    @property
    def is_reusable(self):
        return (
            self._keep_alive
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def write(self, data, *, half_close):
        self._writer.write(data)
        if half_close:
            self._keep_alive = False
            try:
                self._writer.write_eof()
            except OSError:
                # The router has reset the connection, as the reader will see.
                return

    def close(self):
        self._keep_alive = False
        self._writer.transport.abort()

    async def read_response(self):
        """Reads the next response.

        Raises:
            IncompleteResponseError: the connection ended first.
        """
        try:
            head = await self._read_until(HEAD_END)
            first, *lines = head.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines if line)
            headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
            if headers.get("connection") == "close":
                self._keep_alive = False
            if "transfer-encoding" in headers:
                body = await self._read_chunks()
            else:
                body = await self._read_exactly(int(headers["content-length"]))
        except (EOFError, ConnectionError) as error:
            raise IncompleteResponseError(repr(error)) from error
        self.has_begun = bool(self._received)
        self.answered_count += 1
        return Response(int(first.split(" ")[1]), headers, body)

    async def _read_chunks(self):
        parts = []
        while size := int(await self._read_until(b"\r\n"), 16):
            parts.append(await self._read_exactly(size))
            await self._read_exactly(2)
        await self._read_exactly(2)
        return b"".join(parts)

    async def _read_until(self, separator):
        while (at := self._received.find(separator)) < 0:
            await self._receive()
        return await self._read_exactly(at + len(separator))

    async def _read_exactly(self, size):
        parts = [self._received]
        length = len(self._received)
        while length < size:
            self._received = b""
            await self._receive()
            parts.append(self._received)
            length += len(self._received)
        data = b"".join(parts)
        self._received = data[size:]
        return data[:size]

    async def _receive(self):
        if self._slow:
            await asyncio.sleep(SLOW_READ_INTERVAL_SECONDS)
        data = await self._reader.read(SLOW_READ_BYTES)
        if not data:
            raise EOFError
        self.has_begun = True
        self._received += data
