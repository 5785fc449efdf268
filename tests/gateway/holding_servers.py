"""Servers that turn requests away and want nothing more for a time."""

import asyncio

from tests.gateway import stand_ins


class HoldingServer:
    """Script of a server that holds off while `holds` is true.

    Attributes:
        holds: whether requests are turned away.
        arrivals: loop time of each request.
        early_arrivals: requests that arrived in a time for which the server had
            asked to get none, in order.
    """

    def __init__(self, seconds, *, fault="", value=None, serve=None):
        """Initializes a server that holds off.

        Args:
            seconds: time for which it wants nothing.
            fault: address that it names as the cause, if any.
            value: what it sends in place of `seconds`.
            serve: script of the responses while it doesn't hold off.
        """
        self.holds = True
        self.arrivals = []
        self.early_arrivals = []
        self._seconds = seconds
        self._fault = fault
        self._value = f"{seconds}" if value is None else value
        self._serve = serve or stand_ins.healthy
        self._until = float("-inf")

    async def __call__(self, request, writer, number):
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        if now < self._until:
            self.early_arrivals.append(request)
        if not self.holds:
            await self._serve(request, writer, number)
            return
        self._until = max(self._until, now + self._seconds)
        lines = [
            "HTTP/1.1 503 X",
            "x-not-executed: 1",
            f"x-attempt-id: {request.headers.get('x-attempt-id', '')}",
            "content-length: 0",
            f"retry-after: {self._value}",
        ]
        if self._fault:
            lines.append(f"at-server: {self._fault}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
