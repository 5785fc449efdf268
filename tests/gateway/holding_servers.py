"""Servers that turn requests away and want nothing more for a time."""

import asyncio
import collections

from tests.gateway import stand_ins


class HoldingServer:
    """Script of a server that holds off while `holds` is true.

    Attributes:
        holds: whether requests are turned away.
        arrivals: loop time of each request.
        early_arrivals: requests that arrived in a time for which the server had
            asked to get none, in order.
        early_count_by_time: their number by router and begin of the time.
    """

    def __init__(
        self,
        seconds,
        *,
        fault="",
        value=None,
        serve=None,
        grace_seconds=0.0,
        by_router=False,
    ):
        """Initializes a server that holds off.

        Args:
            seconds: time for which it wants nothing.
            fault: address that it names as the cause, if any.
            value: what it sends in place of `seconds`.
            serve: script of the responses while it doesn't hold off.
            grace_seconds: time after a rejection in which no request counts
                as early.
            by_router: whether each router has a time of its own; requests' ids
                begin with the router's name and "-".
        """
        self.holds = True
        self.arrivals = []
        self.early_arrivals = []
        self.early_count_by_time = collections.Counter()
        self._seconds = seconds
        self._fault = fault
        self._value = f"{seconds}" if value is None else value
        self._serve = serve or stand_ins.healthy
        self._grace_seconds = grace_seconds
        self._by_router = by_router
        self._times_by_router = {}

    async def __call__(self, request, writer, number):
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        request_id = request.headers.get("x-attempt-id", "")
        router = request_id.partition("-")[0] if self._by_router else ""
        times = self._times_by_router.setdefault(router, [])
        early = [begin for begin, end in times if begin <= now < end]
        self.early_count_by_time.update((router, begin) for begin in early)
        if early:
            self.early_arrivals.append(request)
        if not self.holds:
            await self._serve(request, writer, number)
            return
        times.append((now + self._grace_seconds, now + self._seconds))
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
