"""Assembles a router from its listeners and controllers, and runs it."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import gc
import random
import signal
from typing import Any

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import crash_detector
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import early_listeners
from nutmeglift_gateway import exchange
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import graceful_shutdown
from nutmeglift_gateway import http_listener
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import peer_links
from nutmeglift_gateway import planner_controller
from nutmeglift_gateway import platform_checks
from nutmeglift_gateway import ports
from nutmeglift_gateway import prober
from nutmeglift_gateway import quarantine_controller
from nutmeglift_gateway import registration
from nutmeglift_gateway import request_memory
from nutmeglift_gateway import settings
from nutmeglift_gateway import settings_reload
from nutmeglift_gateway import settings_source
from nutmeglift_gateway import stop_signal
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import stream_monitor
from nutmeglift_gateway import supervision
from nutmeglift_gateway import unsent_responses
from nutmeglift_gateway import unserved_requests
from nutmeglift_gateway.load import waiting_room


class Gateway:
    """A router process."""

    def __init__(
        self,
        config: settings.Settings,
        *,
        store: kv.BaseKv,
        schema: ports.BaseSchema,
        runners: ports.BaseRunners,
        names: ports.HeaderNames,
        readiness_path: str,
        log: decision_log.DecisionLog,
        rng: random.Random,
        source: settings_source.BaseSettingsSource,
        listeners: early_listeners.Listeners | None = None,
        stop: stop_signal.BaseStopSignal | None = None,
    ) -> None:
        """Assembles a router.

        Args:
            config: settings.
            store: client of the key-value service.
            schema: format of the platform's entries in the store.
            runners: control calls to the runners.
            names: names of the HTTP headers.
            readiness_path: path of the platform's readiness check.
            log: log of decisions.
            rng: random number generator.
            source: the settings; read again on SIGHUP and when they change.
            listeners: sockets that are already listening, by address.
            stop: the platform's signal to end; default is SIGTERM, from the
                start of `run` on.
        """
        self._config = config
        self._rng = rng
        self._listeners = listeners or {}
        self._stop = stop or stop_signal.StopSignal()
        self._log = log
        self.metrics = metric_sets.Metrics()
        self.board = boards.Board(
            config.bounds, ids.FailureDomain(config.failure_domain)
        )
        self._reader = store_reader.StoreReader(
            store, schema, self.board, log, rng, config.vm
        )
        self._registration = registration.Registration(
            store,
            config.vm,
            config.listen.peers,
            self._reader.outage,
            log,
            rng,
            self._reader.readers,
        )
        failure_recorder = recorders.FailureRecorder(
            self.board, log, self.metrics
        )
        self._monitor = stream_monitor.StreamMonitor(
            self.board, runners, log, self.metrics, failure_recorder, rng
        )
        self._prober = prober.Prober(self.board, runners, log)
        self._crash_detector = crash_detector.CrashDetector(
            self.board, failure_recorder, config.vm, self.metrics, log
        )
        self._planner = planner_controller.PlannerController(
            store,
            self._reader,
            self._registration,
            self.board,
            runners,
            config.vm,
            log,
            self.metrics,
            failure_recorder,
            rng,
        )
        self._quarantines = quarantine_controller.QuarantineController(
            store,
            self._reader,
            self.board,
            failure_recorder,
            config.vm,
            log,
            self.metrics,
        )
        self._peers = peer_links.PeerLinks(
            self.board, self._reader, config.vm, log, rng
        )
        self._context = contexts.Context(
            self.board,
            names,
            runners,
            self._monitor,
            failure_recorder,
            log,
            self.metrics,
            rng,
            waiting_room.WaitingRoom(
                self.board, config.room, self.metrics, log, rng
            ),
        )
        self._checks = platform_checks.PlatformChecks(
            readiness_path,
            self.board,
            self._reader,
            self._context.waiting,
            self.metrics,
        )
        self._callers: set[http_listener.CallerConnection] = set()
        self._checkers: set[http_listener.CallerConnection] = set()
        self._memory = request_memory.for_process(config.memory_mb)
        self._unsent = unsent_responses.for_process(config.memory_mb)
        self._unserved = unserved_requests.UnservedRequests(
            names, self._memory, self.metrics, log
        )
        self._exchanges: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._reloader = settings_reload.SettingsReloader(
            source, self._apply_settings, log
        )

    async def run(self) -> None:
        """Serves until SIGTERM, then drains."""
        loop = asyncio.get_running_loop()
        self.board.budgets.begin(loop.time(), first=self._config.first_start)
        shutdown: asyncio.Future[graceful_shutdown.GracefulShutdown] = (
            loop.create_future()
        )

        def on_stop() -> None:
            loop.call_soon_threadsafe(self._begin_shutdown, shutdown)

        self._stop.watch(on_stop)
        # A signal that came while the program was loaded takes effect before
        # the first caller is served.
        await asyncio.sleep(0)
        loop.add_signal_handler(signal.SIGHUP, self._reloader.start)
        listen = self._config.listen
        callers = await self._listen(
            listen.callers, self._on_request, self._callers, self._memory
        )
        # Checks don't depend on the memory that callers use.
        check_memory = request_memory.Budget(request_memory.CHECKS_BYTES)
        checkers = [
            await self._listen(
                address, self._checks.respond, self._checkers, check_memory
            )
            for address in sorted({listen.readiness, listen.metrics})
        ]
        for name, run in self._controllers():
            self._start(
                supervision.supervise(
                    name,
                    run,
                    self._log,
                    self._rng,
                    lambda name: self.metrics.controller_failures.labels(
                        name
                    ).inc(),
                )
            )
        gc.collect()
        gc.freeze()
        self._log.write(
            "started",
            failure_domain=self._config.failure_domain,
            callers=listen.callers,
            first_start=self._config.first_start,
        )
        await (await shutdown).run(callers.close)
        for each in checkers:
            each.close()
        for task in self._tasks:
            task.cancel()

    def _begin_shutdown(
        self, shutdown: "asyncio.Future[graceful_shutdown.GracefulShutdown]"
    ) -> None:
        """Refuses what can't be completed, from now on.

        Args:
            shutdown: gets the shutdown that has begun.
        """
        begun = graceful_shutdown.GracefulShutdown(
            self.board,
            self._callers,
            self._exchanges,
            self._log,
            self._config.bounds.shutdown_seconds,
            self._stop.age(),
        )
        self._context.waiting.drain()
        self._start(self._registration.end())
        if not shutdown.done():
            shutdown.set_result(begun)

    def _controllers(
        self,
    ) -> list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]]:
        """Returns the controllers by name; each runs until it is cancelled."""
        return [
            ("store watch", self._reader.watch),
            ("configuration", self._reader.confirm),
            ("registration", self._registration.run),
            ("stream monitor", self._monitor.run),
            ("prober", self._prober.run),
            ("crash detector", self._crash_detector.run),
            ("planner", self._planner.run),
            ("quarantines", self._quarantines.run),
            (
                "peer server",
                functools.partial(self._peers.serve, self._config.listen.peers),
            ),
            ("peer links", self._peers.dial),
            ("settings", self._reloader.run),
        ]

    def _apply_settings(self, found: settings.Settings) -> bool:
        """Applies changed bounds; changed addresses need a restart."""
        changed = found.bounds != self._config.bounds
        self._config = found
        self.board.set_bounds(found.bounds)
        return changed

    async def _listen(
        self,
        address: str,
        handler: http_listener.Handler,
        connections: set[http_listener.CallerConnection],
        memory: request_memory.Budget,
    ) -> asyncio.Server:
        def make_connection() -> http_listener.CallerConnection:
            return http_listener.CallerConnection(
                handler,
                self.board.limits,
                self._unserved.refuse,
                connections,
                self._unserved.record_unanswered,
                memory,
                self._unsent,
            )

        listener = self._listeners.get(address)
        return await asyncio.get_running_loop().create_server(
            make_connection,
            sock=listener or early_listeners.open_listener(address),
            backlog=early_listeners.LISTEN_BACKLOG,
        )

    def _on_request(
        self,
        connection: http_listener.CallerConnection,
        request: caller_request.Request,
    ) -> None:
        work = exchange.Exchange(self._context, connection, request)
        task = asyncio.get_running_loop().create_task(
            self._run_exchange(connection, request, work)
        )
        self._exchanges.add(task)
        connection.on_close = functools.partial(_cancel, task)
        task.add_done_callback(self._exchanges.discard)

    async def _run_exchange(
        self,
        connection: http_listener.CallerConnection,
        request: caller_request.Request,
        work: exchange.Exchange,
    ) -> None:
        self.metrics.in_flight.inc()
        cause = metric_sets.UnansweredCause.INTERNAL_ERROR
        try:
            await work.run()
        except asyncio.CancelledError:
            cause = metric_sets.UnansweredCause.DRAIN_ENDED
            if _may_respond(connection, request):
                work.interrupt(errors.ErrorKind.DRAINING, "the drain ended")
        except Exception as error:
            self._log.write("internal error", detail=repr(error))
            self.metrics.refusals.labels("internal").inc()
            if _may_respond(connection, request):
                work.interrupt(errors.ErrorKind.OUTCOME_UNKNOWN, repr(error))
        finally:
            if not connection.closed and connection.current is request:
                # The connection is aborted, so that the caller can't take a
                # partial response for a complete one.
                self._unserved.record_unanswered(request, cause)
                connection.abort()
            self.metrics.in_flight.dec()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled():
            return
        if (error := task.exception()) is not None:
            self._log.write("internal error", detail=repr(error))


def _cancel(task: "asyncio.Task[None]") -> None:
    task.cancel()


def _may_respond(
    connection: http_listener.CallerConnection, request: caller_request.Request
) -> bool:
    """Returns whether no part of a response to a request has been written."""
    return (
        not connection.closed
        and connection.current is request
        and not connection.response_begun
    )


RunGateway = Callable[
    [settings.Settings, settings_source.BaseSettingsSource],
    Coroutine[Any, Any, None],
]
"""Runs a router with the platform's adapters, by its settings and where to read
them again."""
