"""Carries out the decisions of the admission queue for a router's requests."""

import asyncio
from collections.abc import Iterable
import dataclasses
import itertools
import random

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway import admission
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import paths
from nutmeglift_gateway import retry_delay
from nutmeglift_gateway import settings
from nutmeglift_gateway.load import admission_queue
from nutmeglift_gateway.load import demand_tracker
from nutmeglift_gateway.load import events
from nutmeglift_gateway.load import judgement
from nutmeglift_gateway.load import path_room

MIN_PASS_INTERVAL_SECONDS = 0.02
"""Shortest time between two passes that nothing was sent in; each searches a
path."""
NO_ACCOUNT = ids.AccountId("")


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """Send a request now.

    Attributes:
        path: the path for its first attempt, if one was found just now.
        waited: whether it waited.
    """

    path: paths.Path | None = None
    waited: bool = False


Verdict = Sent | events.Refuse


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A request that waits.

    Attributes:
        admitted: the request.
        since: loop time at which it began to wait.
        verdict: what became of it.
        queued: whether it had to wait.
    """

    admitted: admission.Admitted
    since: float
    verdict: "asyncio.Future[Verdict]"
    queued: bool = False


class WaitingRoom:
    """Requests that wait for room."""

    def __init__(
        self,
        board: boards.Board,
        limits: settings.Room,
        metrics: metric_sets.Metrics,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Initializes an empty waiting room.

        Args:
            board: the router's shared state.
            limits: settings of the queue.
            metrics: counters.
            log: log of decisions.
            rng: spreads the callers that return.
        """
        self._board = board
        self._catalog: catalog.Catalog | None = None
        self._ranked: frozenset[ids.ServiceId] = frozenset()
        self._enabled = limits.by_priority
        self._metrics = metrics
        self._log = log
        self._demand = demand_tracker.DemandTracker()
        board.demand.own = self._demand.by_service
        self._room = path_room.PathRoom(board, self._demand)
        self._queue = admission_queue.AdmissionQueue(
            self._room,
            board.demand,
            judgement.Limits(
                limits.urgent_ratio,
                limits.max_wait_seconds,
                limits.max_waiting,
                limits.max_waiting_mb * 1e6,
            ),
            rng,
        )
        self._numbers = itertools.count(1)
        self._waiting_by_number: dict[int, _Waiting] = {}
        self._draining = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._last_pass_at = float("-inf")
        board.load_tracker.on_freed = self._on_freed

    async def enter(
        self, admitted: admission.Admitted, body_bytes: int
    ) -> Verdict:
        """Returns whether to send a request, perhaps after a wait.

        Args:
            admitted: a request that streams and has not been sent.
            body_bytes: size of its body.
        """
        now = asyncio.get_running_loop().time()
        service = admitted.service.id
        self._metrics.admitted.labels(service, str(admitted.rank)).inc()
        if not self._enabled or service not in self._ranked_services():
            return Sent()
        needs = admitted.needs
        self._demand.record(now, needs)
        if self._draining:
            return Sent()
        number = next(self._numbers)
        waiting = _Waiting(
            admitted, now, asyncio.get_running_loop().create_future()
        )
        self._waiting_by_number[number] = waiting
        account = admitted.account.id if admitted.account else NO_ACCOUNT
        arrived = events.Arrived(
            number, account, needs, admitted.deadline, body_bytes
        )
        self._room.last_path = None
        try:
            self._carry_out(self._queue.handle(now, arrived))
            if waiting.verdict.done():
                verdict = waiting.verdict.result()
                if isinstance(verdict, Sent):
                    return Sent(self._room.last_path)
                return verdict
            waiting.queued = True
            self._metrics.waiting.set(len(self._waiting_by_number))
            return await waiting.verdict
        finally:
            if self._waiting_by_number.pop(number, None) is not None:
                self._queue.handle(now, events.Left(number))
            self._metrics.waiting.set(len(self._waiting_by_number))

    def _ranked_services(self) -> frozenset[ids.ServiceId]:
        """Returns the services whose streaming routes differ in priority."""
        found = self._board.catalog
        if found is not self._catalog:
            self._catalog = found
            self._ranked = _find_ranked(found.routes if found else ())
        return self._ranked

    def record_end(self, admitted: admission.Admitted) -> None:
        """Records that a request ended, which frees its room."""
        if self._enabled and admitted.service.id in self._ranked:
            now = asyncio.get_running_loop().time()
            self._demand.record_end(now, admitted.service.id)

    def is_urgent_waiting(self, service: ids.ServiceId, rank: int) -> bool:
        """Returns whether a request that is more urgent than one waits.

        Args:
            service: the service of both.
            rank: the rank of the less urgent one.
        """
        return any(
            each.admitted.service.id == service and each.admitted.rank < rank
            for each in self._waiting_by_number.values()
        )

    def update_metrics(self) -> None:
        """Updates the metrics of room, for services with an order."""
        for service in self._ranked_services():
            held, free = self._room.held_and_free(service)
            self._metrics.room.labels(service, "held").set(round(held))
            self._metrics.room.labels(service, "free").set(round(free))

    def drain(self) -> None:
        """Refuses what waits; from now on nothing waits."""
        self._draining = True
        now = asyncio.get_running_loop().time()
        for number in list(self._waiting_by_number):
            self._queue.handle(now, events.Left(number))
            self._refuse(
                events.Refuse(
                    number,
                    errors.ErrorKind.DRAINING,
                    events.Reason.DRAINING,
                    retry_delay.DRAIN_RETRY_SECONDS,
                    "the router leaves",
                )
            )

    def _on_freed(self) -> None:
        if self._waiting_by_number:
            self._wake_at(asyncio.get_running_loop().time())

    def _wake_at(self, at: float) -> None:
        """Plans a pass, unless an earlier one is planned."""
        at = max(at, self._last_pass_at + MIN_PASS_INTERVAL_SECONDS)
        if self._timer is not None:
            if self._timer_at <= at:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = asyncio.get_running_loop().call_at(at, self._pass)

    def _pass(self) -> None:
        self._timer = None
        if not self._waiting_by_number:
            return
        now = asyncio.get_running_loop().time()
        self._last_pass_at = now
        try:
            actions = self._queue.handle(now, events.RoomChanged())
        except Exception as error:
            # Send all waiting requests, as without a queue.
            self._log.write("internal error", detail=repr(error))
            actions = tuple(map(events.Dispatch, self._waiting_by_number))
            for number in self._waiting_by_number:
                self._queue.handle(now, events.Left(number))
        self._carry_out(actions)

    def _carry_out(self, actions: tuple[events.Action, ...]) -> None:
        for action in actions:
            match action:
                case events.Dispatch():
                    self._send(action)
                    # The next request waits only until this one has reserved.
                    self._last_pass_at = float("-inf")
                case events.Refuse():
                    self._refuse(action)
                case events.WakeAt():
                    self._wake_at(action.at)

    def _send(self, action: events.Dispatch) -> None:
        waiting = self._waiting_by_number.pop(action.number)
        waited = 0.0
        if waiting.queued:
            waited = asyncio.get_running_loop().time() - waiting.since
            self._log.write(
                "sent after a wait",
                request=waiting.admitted.request_id.decode("latin-1"),
                rank=waiting.admitted.rank,
                waited=round(waited, 3),
                detail=action.detail,
            )
        self._metrics.queue_wait.labels(*_labels(waiting.admitted)).observe(
            waited
        )
        if not waiting.verdict.done():
            waiting.verdict.set_result(Sent(waited=waiting.queued))

    def _refuse(self, refusal: events.Refuse) -> None:
        waiting = self._waiting_by_number.pop(refusal.number)
        now = asyncio.get_running_loop().time()
        self._metrics.queue_refusals.labels(
            *_labels(waiting.admitted), refusal.reason.value
        ).inc()
        if waiting.verdict.done():
            return
        detail = (
            f"{refusal.detail}; rank {waiting.admitted.rank}, waited"
            f" {now - waiting.since:.3f} s, loads up to"
            f" {self._room.age(now):.3f} s old"
        )
        waiting.verdict.set_result(dataclasses.replace(refusal, detail=detail))


def _labels(admitted: admission.Admitted) -> tuple[str, str]:
    return admitted.service.id, str(admitted.rank)


def _find_ranked(
    routes: Iterable[catalog.Route],
) -> frozenset[ids.ServiceId]:
    priority_by_service: dict[ids.ServiceId, int] = {}
    ranked = set()
    for route in routes:
        if not route.streaming:
            continue
        for each in route.services:
            known = priority_by_service.setdefault(each.service, route.priority)
            if known != route.priority:
                ranked.add(each.service)
    return frozenset(ranked)
