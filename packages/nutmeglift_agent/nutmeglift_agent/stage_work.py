"""Stages of requests' pipelines that run on the engine beside this agent."""

from collections.abc import Callable

import msgspec

from nutmeglift import codec
from nutmeglift import engine as engines
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift import streams
from nutmeglift_agent import stage_attempt
from nutmeglift_agent import stage_batches
from nutmeglift_agent import stage_replay
from nutmeglift_wire import metrics as metric

PostToAgent = Callable[[str, codec.AnyMessage], None]
PostTokens = Callable[[ids.VmId, list[messages.TokenItem]], bool]
PostToRouter = Callable[[ids.VmId, codec.AnyMessage], None]


class StageWork:
    """Runs the stages' positions in batches and passes the results on."""

    def __init__(
        self,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        engine: engines.BaseEngine,
        metrics: metric.BaseMetrics,
        *,
        post_to_agent: PostToAgent,
        post_to_router: PostToRouter,
        post_tokens: PostTokens,
        accepts_work: Callable[[], bool],
        replay_bytes: int = 0,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._accepts_work = accepts_work
        self._metrics = metrics
        self._post_to_agent = post_to_agent
        self._post_to_router = post_to_router
        self._post_tokens = post_tokens
        self._attempt_by_request: dict[
            ids.RequestId, stage_attempt.StageAttempt
        ] = {}
        self._ended = stage_attempt.EndedAttempts()
        self._kept = stage_replay.KeptStates(replay_bytes)
        self._early = stage_replay.EarlyMessages()
        self._batches = stage_batches.Batches(
            engine,
            metrics,
            take=self._take_results,
            fail=lambda attempt, why: self._fail(attempt, why, vm),
        )

    @property
    def in_flight(self) -> int:
        """Number of attempts with a stage here."""
        return len(self._attempt_by_request)

    def start(
        self, start: messages.StartAttempt, *, alone: bool = False
    ) -> None:
        """Starts an attempt as its first stage, or refuses it.

        Args:
            start: the attempt.
            alone: whether the stages after it are open already.
        """
        if self._refuse(start, 0):
            return
        positions = len(start.tokens)
        attempt = self._open(start, 0, positions)
        if attempt is None:
            return
        if not alone:
            bare = stage_attempt.strip_tokens(start)
            self._open_following(bare, 1, positions)
        self._arrive(attempt, 0, start.tokens)
        self._take_early(start.request)

    def open_stage(self, opening: messages.OpenStage) -> None:
        """Starts an attempt as a later stage, or refuses it."""
        if self._refuse(opening.start, opening.stage):
            return
        if not self._open(opening.start, opening.stage, opening.positions):
            return
        if not opening.alone:
            self._open_following(
                opening.start, opening.stage + 1, opening.positions
            )
        self._take_early(opening.start.request)

    def replace(self, replacement: messages.ReplaceStage) -> None:
        """Goes on with an attempt of which one stage is replaced."""
        start = replacement.start
        if replacement.receiver == replacement.stage:
            self.start(start, alone=True)
            return
        attempt = self._attempt_by_request.get(start.request)
        if attempt is None or attempt.start.attempt != replacement.replaced:
            self._report(start, "nothing to go on with", None)
            return
        self._metrics.count("attempt.continued")
        if not attempt.go_on(replacement):
            self._fail(attempt, "a token was run but not released", None)
            return
        if attempt.index == 0:
            self._arrive(attempt, 0, start.tokens)
        if attempt.index + 1 == replacement.stage:
            self._replay(attempt)
        if replacement.stage == 0 and attempt.last_token is not None:
            self._send_token(attempt, attempt.last_token)
        self._take_early(start.request)

    def take_hop(self, hop: messages.Hop) -> None:
        """Takes hidden states from the stage before."""
        attempt = self._find(hop, hop.position + len(hop.hidden))
        if attempt is None:
            return
        if hop.first_layer != attempt.stage.first_layer:
            self._metrics.count("hop.wrong_range")
            self._fail(attempt, "a hop for other layers", self._vm)
            return
        self._arrive(attempt, hop.position, hop.hidden)

    def take_token(self, token: messages.NextToken) -> None:
        """Takes a sampled token, as the first stage."""
        attempt = self._find(token, token.position + 1)
        if attempt is not None:
            self._arrive(attempt, token.position, (token.token,))

    def cancel(self, request: ids.RequestId, attempt: ids.Attempt) -> None:
        """Ends a request's attempt and all earlier ones, arrived or not."""
        self._ended.note(request, attempt)
        found = self._attempt_by_request.get(request)
        if found is not None and found.start.attempt <= attempt:
            self._close(found)

    def lose_peer(self, address: str, reason: errors.NutmegError) -> None:
        """Reports the attempts that run through a lost agent.

        They are kept, because the router may replace that stage only.
        """
        for attempt in list(self._attempt_by_request.values()):
            lost = attempt.stage_sent_to(address)
            if lost is not None and lost.vm != self._vm:
                self._break(attempt, reason.detail, lost.vm)

    def lose_router(self, router: ids.VmId) -> None:
        """Ends the attempts of a router that is gone."""
        for attempt in list(self._attempt_by_request.values()):
            if attempt.start.router == router:
                self._close(attempt)

    def lose_orphans(self, routers: set[ids.VmId]) -> None:
        """Ends the attempts of all routers but these."""
        for attempt in list(self._attempt_by_request.values()):
            if attempt.start.router not in routers:
                self._metrics.count("attempt.orphaned")
                self._close(attempt)

    def resume_router(
        self, router: ids.VmId
    ) -> tuple[messages.HeldAttempt, ...]:
        """Ends a reconnected router's broken attempts; returns the others.

        Word of the broken ones, or the answer to it, may have been lost.
        """
        found = self._attempt_by_request.values()
        mine = [a for a in found if a.start.router == router]
        for attempt in mine:
            if attempt.broken:
                self._close(attempt)
        return tuple(a.held for a in mine if not a.stopped)

    def find_idle(self) -> dict[ids.VmId, list[messages.HeldAttempt]]:
        """Returns by router the attempts that ran nothing since last time."""
        return stage_attempt.find_idle(self._attempt_by_request.values())

    async def run(self) -> None:
        """Runs batches for ever."""
        await self._batches.run()

    def _refuse(self, start: messages.StartAttempt, index: int) -> bool:
        kind = None
        if start.pipeline.stages[index].incarnation != self._incarnation:
            kind = errors.ErrorKind.NO_BACKEND
        elif not self._accepts_work():
            kind = errors.ErrorKind.DRAINING
        if kind is None:
            return False
        self._metrics.count("attempt.refused")
        refusal = stage_attempt.make_failure(
            start,
            f"refused by stage {index}",
            self._vm,
            kind,
            states.Ran.NOT_RUN,
        )
        self._post_to_router(start.router, refusal)
        return True

    def _open(
        self, start: messages.StartAttempt, index: int, positions: int
    ) -> stage_attempt.StageAttempt | None:
        old = self._attempt_by_request.get(start.request)
        ended = self._ended.last(start.request)
        newest = max(ended, old.start.attempt if old is not None else ended)
        if start.attempt <= newest:
            self._metrics.count("attempt.old")
            return None
        if old is not None:
            self._close(old)
        attempt = stage_attempt.make_attempt(start, index, positions)
        self._attempt_by_request[start.request] = attempt
        return attempt

    def _open_following(
        self, start: messages.StartAttempt, index: int, positions: int
    ) -> None:
        # On the same connection as the hops, so that it comes before them.
        if index == len(start.pipeline.stages):
            return
        opening = messages.OpenStage(start, index, positions)
        self._post_to_agent(start.pipeline.stages[index].address, opening)

    def _replay(self, attempt: stage_attempt.StageAttempt) -> None:
        hops = self._kept.hops(attempt)
        if hops is None:
            self._fail(attempt, "the hidden states were not kept", None)
            return
        self._metrics.count("attempt.replayed")
        opening = messages.OpenStage(
            stage_attempt.strip_tokens(attempt.start),
            attempt.index + 1,
            attempt.positions,
            alone=True,
        )
        address = attempt.start.pipeline.stages[attempt.index + 1].address
        self._post_to_agent(address, opening)
        for hop in hops:
            self._post_to_agent(address, messages.HopFrame((hop,)))

    def _take_early(self, request: ids.RequestId) -> None:
        for message in self._early.take(request):
            match message:
                case messages.Hop():
                    self.take_hop(message)
                case messages.NextToken():
                    self.take_token(message)

    def _find(
        self, message: stage_replay.Early, end: int
    ) -> stage_attempt.StageAttempt | None:
        found = self._attempt_by_request.get(message.request)
        newest = self._ended.last(message.request)
        if found is not None:
            newest = max(newest, found.start.attempt)
            if found.accepts(message.attempt, end):
                return found
        if message.attempt > newest:
            self._early.add(message)
        else:
            self._metrics.count("hop.old_attempt")
        return None

    def _arrive(
        self,
        attempt: stage_attempt.StageAttempt,
        position: int,
        values: tuple[int, ...],
    ) -> None:
        accepted = attempt.gate.accept(position, len(values))
        match accepted.status:
            case streams.SequenceStatus.NEXT:
                skip = accepted.skip
                work = stage_attempt.Work(
                    attempt, position + skip, values[skip:]
                )
                self._batches.add(work)
            case streams.SequenceStatus.GAP:
                self._metrics.count("hop.gap")
                self._fail(attempt, f"position {position} is early", self._vm)
            case _:
                self._metrics.count("hop.duplicate")

    def _take_results(
        self,
        batch: list[stage_attempt.Work],
        results: tuple[engines.StepResult, ...],
    ) -> None:
        output = stage_attempt.Output()
        for work, result in zip(batch, results, strict=True):
            self._take_result(work, result, output)
        self._send(output)

    def _take_result(
        self,
        work: stage_attempt.Work,
        result: engines.StepResult,
        output: stage_attempt.Output,
    ) -> None:
        attempt = work.attempt
        if attempt.stopped:
            return
        if result.error:
            self._fail(attempt, result.error, self._vm)
            return
        if attempt.is_last:
            self._take_tokens(work, result, output)
            return
        request = attempt.start.request
        self._kept.add(request, work.position, result.hidden)
        if attempt.broken:
            return
        after = attempt.start.pipeline.stages[attempt.index + 1]
        hop = stage_attempt.make_hop(attempt, work.position, result.hidden)
        output.hops_by_address.setdefault(after.address, []).append(hop)

    def _take_tokens(
        self,
        work: stage_attempt.Work,
        result: engines.StepResult,
        output: stage_attempt.Output,
    ) -> None:
        if not result.tokens:
            return
        attempt = work.attempt
        start = attempt.start
        item = stage_attempt.make_token_item(work, result)
        output.items_by_router.setdefault(start.router, []).append(item)
        if item.finish is not None:
            return
        following = stage_attempt.make_next_token(work, result)
        attempt.last_token = following
        address = start.pipeline.stages[0].address
        if not attempt.broken:
            output.next_by_address.setdefault(address, []).append(following)

    def _send(self, output: stage_attempt.Output) -> None:
        for router, items in output.items_by_router.items():
            if not self._post_tokens(router, items):
                self.lose_router(router)
        for address, following in output.next_by_address.items():
            frame = messages.NextTokenFrame(tuple(following))
            self._post_to_agent(address, frame)
        for address, hops in output.hops_by_address.items():
            self._post_to_agent(address, messages.HopFrame(tuple(hops)))

    def _send_token(
        self,
        attempt: stage_attempt.StageAttempt,
        token: messages.NextToken,
    ) -> None:
        renewed = msgspec.structs.replace(token, attempt=attempt.start.attempt)
        address = attempt.start.pipeline.stages[0].address
        self._post_to_agent(address, messages.NextTokenFrame((renewed,)))

    def _break(
        self, attempt: stage_attempt.StageAttempt, detail: str, vm: ids.VmId
    ) -> None:
        if attempt.broken:
            return
        attempt.broken = True
        self._metrics.count("attempt.broken")
        self._report(attempt.start, detail, vm)

    def _fail(
        self,
        attempt: stage_attempt.StageAttempt,
        detail: str,
        vm: ids.VmId | None,
    ) -> None:
        if attempt.stopped:
            return
        self._metrics.count("attempt.failed")
        self._close(attempt)
        self._report(attempt.start, detail, vm)

    def _report(
        self, start: messages.StartAttempt, detail: str, vm: ids.VmId | None
    ) -> None:
        failure = stage_attempt.make_failure(
            start, detail, vm, errors.ErrorKind.STAGE_FAILED
        )
        self._post_to_router(start.router, failure)

    def _close(self, attempt: stage_attempt.StageAttempt) -> None:
        attempt.stopped = True
        self._ended.note(attempt.start.request, attempt.start.attempt)
        self._attempt_by_request.pop(attempt.start.request, None)
        self._kept.forget(attempt.start.request)
        self._batches.release(attempt.sequence)
