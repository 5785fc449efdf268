"""Watches running streams and moves them off lost runners."""

import asyncio
import dataclasses

from nutmeglift_gateway import attempt
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import directory
from nutmeglift_gateway import dispatch
from nutmeglift_gateway import intake
from nutmeglift_gateway import loads
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import paths
from nutmeglift_gateway import ports
from nutmeglift_gateway import stalls
from nutmeglift_gateway import trust

TICK_SECONDS = 0.04
"""A sixth of the shortest pause that still counts as on time."""
DRAIN_SHARE = 0.6
"""Part of the time that a leaving runner goes on serving after which the
streams that still pass through it are moved; most have ended by then."""
MAX_MOVES = 5
"""Orders to move one stream: each is paid for, and the runners that answer
conflict differ by then."""
REPORT_INTERVAL_SECONDS = 0.12
"""Reports lag by 0.2 s: asking one runner more often shows nothing new."""


@dataclasses.dataclass(eq=False)
class Stream:
    """One attempt at a stream that is running.

    Attributes:
        admitted: the request.
        path: where it runs.
        answer: takes its events.
        sent_at: loop time at which the attempt began.
        tokens: what it is expected to hold.
        progress: what has been done for the request.
        moving: whether an order to move it is under way.
        moves: how often it was moved.
        refused_by: ids of runners that had no room to take it over.
    """

    admitted: intake.Admitted
    path: paths.Path
    answer: attempt.Answer
    sent_at: float
    tokens: float
    progress: dispatch.Progress
    moving: bool = False
    moved_at: float = 0.0
    moves: int = 0
    refused_by: set[str] = dataclasses.field(default_factory=set)
    _reserved: tuple[loads.Reservation, ...] = ()

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.admitted.request_id.decode("latin-1")

    def reserve(self, board: boards.Board) -> tuple[loads.Reservation, ...]:
        """Notes what it holds on its path's runners."""
        self.release(board)
        self._reserved = self.path.reservations(self.tokens)
        board.book.reserve(self._reserved)
        return self._reserved

    def release(self, board: boards.Board) -> None:
        """Frees what it held."""
        if self._reserved:
            board.book.release(self._reserved)
            self._reserved = ()

    def state(self, now: float) -> stalls.StreamState:
        """Returns what decides whether it stalls."""
        return stalls.StreamState(
            silent=now - self.answer.last_byte_at,
            settled=now - max(self.answer.last_byte_at, self.moved_at),
            begun=self.answer.events_seen,
            objective=self.admitted.route.objective,
            gap_objective=self.admitted.route.gap_objective,
            step_seconds=self.path.step_seconds,
            prompt_tokens=self.admitted.prompt_tokens,
        )


class StreamGuard:
    """Looks after all running streams of a router."""

    def __init__(
        self,
        board: boards.Board,
        runners: ports.BaseRunners,
        log: decision_log.DecisionLog,
        metrics: metric_sets.Metrics,
    ) -> None:
        self._board = board
        self._runners = runners
        self._log = log
        self._metrics = metrics
        self._streams: set[Stream] = set()
        self._asked_at_by_address: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, stream: Stream) -> None:
        """Watches a stream."""
        self._streams.add(stream)

    def remove(self, stream: Stream) -> None:
        """Ends the watch."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._tick(asyncio.get_running_loop().time())

    def _tick(self, now: float) -> None:
        to_ask: set[str] = set()
        leaving = self._leaving(now)
        for stream in list(self._streams):
            if stream.moving or stream.answer.done.done():
                continue
            if leaving and self._passes(stream, leaving):
                self._try_move(stream)
                if stream.moving or stream.answer.done.done():
                    continue
            match stalls.judge(stream.state(now)):
                case stalls.Action.WAIT:
                    pass
                case stalls.Action.ASK:
                    if not self._try_move(stream):
                        to_ask.add(stream.path.first.address)
                case stalls.Action.GIVE_UP:
                    self._give_up(stream, "it stayed silent")
        for address in to_ask:
            self._ask(address, now)

    def _leaving(self, now: float) -> set[str]:
        """Returns addresses that running streams have to get away from."""
        directory_ = self._board.directory
        found = self._board.trust.gone()
        limit = self._board.bounds.drain_seconds * DRAIN_SHARE
        for server_id, since in directory_.draining_since_by_id.items():
            if now - since >= limit:
                found.add(directory_.server_by_id[server_id].address)
        return found

    @staticmethod
    def _passes(stream: Stream, addresses: set[str]) -> bool:
        """Tells whether a later part of the path is at an address."""
        return any(
            part.server.address in addresses for part in stream.path.parts[1:]
        )

    def _ask(self, address: str, now: float) -> None:
        asked = self._asked_at_by_address.get(address, float("-inf"))
        if now - asked < REPORT_INTERVAL_SECONDS:
            return
        self._asked_at_by_address[address] = now
        self._start(self._read_report(address))

    async def _read_report(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            report = await self._runners.report(address)
        except ports.RunnerUnavailableError as error:
            self._suspect(address, "no report", str(error))
            for stream in self._at(address):
                self._give_up(stream, "its first runner is lost")
            return
        now = loop.time()
        self._board.pace_by_address[address] = boards.Pace(report.pace, now)
        for stalled in report.stalled:
            self._suspect(stalled.address, trust.STALLED, stalled.request_id)
        if report.stalled:
            for stream in self._at(address):
                self._try_move(stream)

    def _at(self, address: str) -> list[Stream]:
        now = asyncio.get_running_loop().time()
        return [
            stream
            for stream in self._streams
            if stream.path.first.address == address
            and not stream.moving
            and not stream.answer.done.done()
            and stalls.judge(stream.state(now)) is not stalls.Action.WAIT
        ]

    def _suspect(self, address: str, reason: str, detail: str) -> None:
        server = self._board.server_at(address)
        if server is None:
            return
        now = asyncio.get_running_loop().time()
        if self._board.suspect(now, server, reason):
            self._metrics.suspects.labels(reason).inc()
            self._log.write(
                "server suspect", address=address, reason=reason, detail=detail
            )

    def _try_move(self, stream: Stream) -> bool:
        """Starts to move a stream whose path has a lost runner."""
        engine = stream.admitted.service.engine
        if engine is None or stream.moving or stream.moves >= MAX_MOVES:
            return False
        usable = self._board.usable(stream.admitted.service.id)
        listed = {server.id for server in usable}
        if all(part.server.id in listed for part in stream.path.parts):
            return False
        if stream.path.first.id not in listed:
            return False
        now = asyncio.get_running_loop().time()
        finder = self._board.finder(engine, now)
        wanted = paths.Wanted(self._board.home, stream.tokens)
        path = finder.repair(
            stream.path,
            [s for s in usable if s.id not in stream.refused_by],
            wanted,
        )
        crossing = path is None or path.crossings > stream.path.crossings
        if crossing and self._can_resume(stream, finder, usable):
            self._give_up(stream, "its layers are elsewhere")
            return True
        if path is None:
            return False
        if crossing:
            self._board.pipes.spend(now, engine, path, stream.tokens)
        stream.moving = True
        self._start(self._move(stream, path))
        return True

    def _can_resume(
        self,
        stream: Stream,
        finder: paths.PathFinder,
        usable: list[directory.Server],
    ) -> bool:
        """Tells whether a whole pipeline can take the stream over.

        It reads the tokens so far at its own speed, while a move between
        failure domains sends the activations of all of them over a pipe.
        """
        route = stream.admitted.route
        if not route.repeatable:
            return False
        if stream.progress.runs >= route.max_attempts:
            return False
        wanted = paths.Wanted(self._board.home, stream.tokens, may_cross=False)
        return finder.find(usable, wanted) is not None

    async def _move(self, stream: Stream, path: paths.Path) -> None:
        try:
            result = await self._runners.redirect(stream.request_id, path)
        finally:
            stream.moving = False
        outcome = result.outcome
        stream.moves += 1
        self._metrics.repairs.labels("redirect", outcome.value).inc()
        self._log.write(
            "stream redirected",
            request=stream.request_id,
            outcome=outcome.value,
            fault=result.fault,
            parts=len(path.parts),
            step_ms=round(path.step_seconds * 1000, 2),
        )
        if outcome is ports.OrderOutcome.CONFLICT:
            self._note_conflict(stream, path, result.fault)
        accepted = (ports.OrderOutcome.BEGUN, ports.OrderOutcome.DONE)
        if outcome in accepted and stream in self._streams:
            stream.path = path
            stream.moved_at = asyncio.get_running_loop().time()
            stream.reserve(self._board)

    def _note_conflict(
        self, stream: Stream, path: paths.Path, fault: str
    ) -> None:
        """Leaves out the runner for which a move failed."""
        kept = {part.server.address for part in stream.path.parts}
        if fault in kept:
            # A part that the stream was to keep is gone as well.
            self._suspect(fault, trust.MOVED, stream.request_id)
            return
        stream.refused_by |= {
            part.server.id
            for part in path.parts
            if part.server.address == fault
            or (not fault and part.server.address not in kept)
        }

    def _give_up(self, stream: Stream, detail: str) -> None:
        """Breaks an attempt off, if another one is left for the request.

        Else silence is no reason to end the answer: the runner may go on, and
        the caller decides how long it waits.
        """
        route = stream.admitted.route
        if not route.repeatable or stream.progress.runs >= route.max_attempts:
            return
        self._metrics.repairs.labels("given up", "lost").inc()
        self._log.write(
            "stream given up", request=stream.request_id, detail=detail
        )
        stream.answer.give_up(dispatch.Failure.LOST, detail)

    def _start(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
