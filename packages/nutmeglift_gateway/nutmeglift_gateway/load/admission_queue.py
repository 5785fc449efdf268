"""Decides which requests are sent, wait for room, or are refused.

Load: callers of several priorities ask for more than the runners can begin in
time. Without an order, the requests with the loosest objective are served best
and those of the most urgent callers are late. Requests that wait are ordered by
rank, then fairly among client accounts, then by the time left. While all
requests of a service have the same rank, each is sent immediately.
"""

import dataclasses
import random

from nutmeglift import fair_queue
from nutmeglift import ids
from nutmeglift_gateway.load import demand as demands
from nutmeglift_gateway.load import events
from nutmeglift_gateway.load import judgement
from nutmeglift_gateway.load import room as rooms


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A request that waits, and why."""

    arrived: events.Arrived
    wait: judgement.Wait


class AdmissionQueue:
    """The requests of one router that wait for room.

    A pass sends at most one request and asks to be called again immediately, so
    that the next offer counts what the first request has reserved.
    """

    def __init__(
        self,
        room: rooms.BaseRoom,
        demand: demands.BaseDemand,
        limits: judgement.Limits,
        rng: random.Random,
    ) -> None:
        """Initializes an empty queue.

        Args:
            room: what the services have room for.
            demand: recent demand by priority.
            limits: limits of the queue.
            rng: spreads the callers that return.
        """
        self._room = room
        self._limits = limits
        self._judge = judgement.Judge(room, demand, limits, rng)
        self._queue_by_service: dict[ids.ServiceId, fair_queue.FairQueue] = {}
        self._waiting_by_number: dict[int, _Waiting] = {}
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting_by_number)

    def has_waiting(self, service: ids.ServiceId) -> bool:
        """Returns whether requests for a service wait."""
        return service in self._queue_by_service

    def handle(
        self, now: float, event: events.Event
    ) -> tuple[events.Action, ...]:
        """Returns what follows from an event.

        Args:
            now: loop time in seconds.
            event: the event.
        """
        match event:
            case events.Arrived():
                return self._on_arrived(now, event)
            case events.Left():
                if event.number in self._waiting_by_number:
                    self._remove(event.number)
                return ()
            case events.RoomChanged():
                actions: list[events.Action] = []
                for service in list(self._queue_by_service):
                    self._pass(now, service, actions)
                self._append_wake(actions)
                return tuple(actions)

    def _on_arrived(
        self, now: float, arrived: events.Arrived
    ) -> tuple[events.Action, ...]:
        service = arrived.needs.service
        rank = arrived.needs.rank
        if not self.has_waiting(service) and self._judge.is_alone(now, arrived):
            return (events.Dispatch(arrived.number),)
        ahead = [
            each
            for each in self._waiting_by_number.values()
            if each.arrived.needs.service == service
            and each.arrived.needs.rank <= rank
        ]
        verdict = self._judge.judge(now, arrived, len(ahead))
        match verdict:
            case events.Dispatch() if not ahead:
                return (verdict,)
            case events.Refuse():
                return (verdict,)
            case events.Dispatch():
                until = self._judge.last_start(arrived)
                if until <= now:
                    return (verdict,)
                verdict = judgement.Wait(until, "others are ahead")
                actions: list[events.Action] = [events.WakeAt(now)]
            case judgement.Wait():
                actions = []
        actions += self._push(now, arrived, verdict)
        self._append_wake(actions)
        return tuple(actions)

    def _push(
        self, now: float, arrived: events.Arrived, wait: judgement.Wait
    ) -> list[events.Action]:
        """Queues a request; returns what follows for those beyond a limit."""
        needs = arrived.needs
        self._waiting_by_number[arrived.number] = _Waiting(arrived, wait)
        self._bytes += arrived.body_bytes
        queue = self._queue_by_service.setdefault(
            needs.service, fair_queue.FairQueue(self._limits.max_waiting)
        )
        displaced = queue.push(
            fair_queue.QueuedRequest(
                arrived.number,
                arrived.account,
                -needs.rank,
                1.0,
                max(1.0, needs.held_tokens),
                now,
                needs.urgency.received_at + needs.urgency.objective,
            )
        )
        actions: list[events.Action] = []
        if displaced is not None:
            actions.append(self._turn_out(now, queue, displaced.number))
        if (
            self._bytes > self._limits.max_bytes
            and arrived.number in self._waiting_by_number
        ):
            actions.append(self._turn_out(now, queue, arrived.number))
        return actions

    def _turn_out(
        self, now: float, queue: fair_queue.FairQueue, number: int
    ) -> events.Dispatch | events.Refuse:
        """Ends the wait of a request beyond a limit; sends it if it may be."""
        out = self._remove(number).arrived
        verdict = self._judge.judge(now, out, len(queue))
        if isinstance(verdict, judgement.Wait):
            if self._room.offer(now, out.needs) is not None:
                verdict = events.Dispatch(out.number, "nothing more may wait")
            else:
                expected = self._room.seconds_until_freed(now, out.needs)
                verdict = self._judge.refuse(
                    now,
                    out,
                    events.Reason.QUEUE_FULL,
                    (expected or 0.0) * (1 + len(queue)),
                    f"{len(self)} wait with {self._bytes} bytes",
                )
        return verdict

    def _pass(
        self, now: float, service: ids.ServiceId, actions: list[events.Action]
    ) -> None:
        """Sends at most one request, and refuses what can't be in time."""
        queue = self._queue_by_service[service]
        due = self._find_due(now, service)
        head = queue.peek()
        while head is not None:
            waiting = self._waiting_by_number[head.number]
            verdict = self._judge.judge(now, waiting.arrived, 0)
            if not isinstance(verdict, judgement.Wait):
                self._end_wait(queue, verdict, actions)
            if isinstance(verdict, events.Dispatch):
                actions.append(events.WakeAt(now))
                return
            if isinstance(verdict, judgement.Wait):
                waiting.wait = verdict
                if not verdict.has_room:
                    self._refuse_late(now, queue, waiting, actions)
                break
            head = queue.peek()
        for each in due:
            if each.arrived.number not in self._waiting_by_number:
                continue
            verdict = self._judge.judge(now, each.arrived, 0)
            if isinstance(verdict, judgement.Wait):
                each.wait = verdict
                continue
            self._end_wait(queue, verdict, actions)
            if isinstance(verdict, events.Dispatch):
                actions.append(events.WakeAt(now))
                return

    def _find_due(self, now: float, service: ids.ServiceId) -> list[_Waiting]:
        """Returns the requests whose wait is over, the most urgent first."""
        return sorted(
            (
                each
                for each in self._waiting_by_number.values()
                if each.wait.until <= now
                and each.arrived.needs.service == service
            ),
            key=lambda each: (
                each.arrived.needs.rank,
                each.wait.until,
            ),
        )

    def _refuse_late(
        self,
        now: float,
        queue: fair_queue.FairQueue,
        head: _Waiting,
        actions: list[events.Action],
    ) -> None:
        """Refuses those that wait for room and that won't get any in time."""
        freed_after = self._room.seconds_until_freed(now, head.arrived.needs)
        if freed_after is None:
            return
        ahead = 0
        waiting = [
            each
            for each in self._waiting_by_number.values()
            if each.arrived.number in queue
        ]
        for each in sorted(waiting, key=_order):
            expected = freed_after * (1 + ahead)
            if now + expected < self._judge.last_start(each.arrived):
                ahead += 1
                continue
            refusal = self._judge.refuse(
                now,
                each.arrived,
                events.Reason.NOT_IN_TIME,
                expected,
                f"{each.wait.detail}; now expected in {expected:.3f} s behind"
                f" {ahead}",
            )
            self._end_wait(queue, refusal, actions)

    def _end_wait(
        self,
        queue: fair_queue.FairQueue,
        verdict: events.Dispatch | events.Refuse,
        actions: list[events.Action],
    ) -> None:
        """Ends a wait; an account pays for what is sent in its turn."""
        waiting = self._waiting_by_number[verdict.number]
        if isinstance(verdict, events.Dispatch):
            head = queue.peek()
            if head is not None and head.number == verdict.number:
                queue.pop()
            verdict = events.Dispatch(verdict.number, waiting.wait.detail)
        self._remove(verdict.number)
        actions.append(verdict)

    def _remove(self, number: int) -> _Waiting:
        waiting = self._waiting_by_number.pop(number)
        self._bytes -= waiting.arrived.body_bytes
        service = waiting.arrived.needs.service
        queue = self._queue_by_service[service]
        queue.remove(number)
        if not len(queue):
            del self._queue_by_service[service]
        return waiting

    def _append_wake(self, actions: list[events.Action]) -> None:
        if self._waiting_by_number:
            actions.append(
                events.WakeAt(
                    min(
                        each.wait.until
                        for each in self._waiting_by_number.values()
                    )
                )
            )


def _order(waiting: _Waiting) -> tuple[int, float]:
    """Returns what orders requests: priority, then what is due first."""
    needs = waiting.arrived.needs
    return needs.rank, needs.urgency.received_at + needs.urgency.objective
