"""Sends a caller's request to backend servers."""

import asyncio

from nutmeglift_gateway import admission
from nutmeglift_gateway import attempt
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import directory
from nutmeglift_gateway import http_call
from nutmeglift_gateway import paths
from nutmeglift_gateway import retry_policy
from nutmeglift_gateway import suspect_servers


class Sender:
    """Sends one request to the servers that its attempts use."""

    def __init__(
        self,
        context: contexts.Context,
        request: caller_request.Request,
        progress: retry_policy.Progress,
    ) -> None:
        """Initializes a sender for one request.

        Args:
            context: the router's shared components.
            request: the caller's request.
            progress: attempts made so far for the request.
        """
        self._context = context
        self._request = request
        self._progress = progress

    async def connect(
        self, server: directory.Server
    ) -> http_call.Connection | attempt.Outcome:
        """Opens a connection; returns the outcome if that fails."""
        self._context.metrics.connections.labels("request").inc()
        try:
            upstream = await http_call.connect(server.address)
        except http_call.CallError as error:
            self._context.failure_recorder.record(
                server, suspect_servers.Reason.NOT_CONNECTED, str(error)
            )
            return attempt.Outcome(
                retry_policy.Failure.NOT_SENT, detail=str(error)
            )
        now = asyncio.get_running_loop().time()
        if not self._context.board.directory.is_current(now, server):
            upstream.abort()
            return attempt.Outcome(
                retry_policy.Failure.NOT_SENT,
                detail="the server is no longer listed",
            )
        if self._context.board.hold_offs.holds_off(server.lifetime):
            upstream.abort()
            return attempt.Outcome(
                retry_policy.Failure.NOT_SENT, detail="the server holds off"
            )
        return upstream

    def send(
        self,
        upstream: http_call.Connection,
        admitted: admission.Admitted,
        server: directory.Server,
        receiver: attempt.ResponseReceiver,
        *,
        remaining: float,
        path: paths.Path | None = None,
        last_event_id: int | None = None,
    ) -> None:
        """Writes the request and counts the attempt.

        Args:
            upstream: connection to the server.
            admitted: the request.
            server: the only server that may run it.
            receiver: receives the response.
            remaining: seconds until the request's deadline.
            path: the runners and layers that it passes through, if any.
            last_event_id: last event that was received; None to forward
                the caller's header.
        """
        self._progress.sent += 1
        self._progress.runs += 1
        names = self._context.names
        resume_after = self._request.get(names.last_event_id)
        if last_event_id is not None:
            resume_after = b"%d" % last_event_id
        headers = attempt.forwarded_headers(names, self._request)
        headers += attempt.router_headers(
            names,
            admitted,
            instance=server.id,
            remaining=remaining,
            path=self._context.runners.path_value(path) if path else None,
            last_event_id=resume_after,
        )
        upstream.send(
            http_call.format_head(
                self._request.method,
                self._request.target,
                headers,
                len(self._request.body),
            ),
            receiver,
            head_only=self._request.is_head,
            body=self._request.body,
        )
