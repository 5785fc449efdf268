"""Executes pipeline stages on the engine of this agent."""

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


class StageExecutor:
    """Runs stages in batches and forwards the results."""

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
        self._replay_buffer = stage_replay.ReplayBuffer(replay_bytes)
        self._early_messages = stage_replay.EarlyMessages()
        self._batch_queue = stage_batches.BatchQueue(
            engine,
            metrics,
            on_results=self._on_results,
            on_failure=lambda attempt, detail: self._fail(attempt, detail, vm),
        )

    @property
    def in_flight(self) -> int:
        """Number of attempts with a stage on this engine."""
        return len(self._attempt_by_request)

    def start(
        self, start: messages.StartAttempt, *, later_stages_open: bool = False
    ) -> None:
        """Starts an attempt as its first stage, or refuses it.

        Args:
            start: the attempt.
            later_stages_open: whether the later stages are open already.
        """
        if self._refuse(start, 0):
            return
        positions = len(start.tokens)
        attempt = self._open(start, 0, positions)
        if attempt is None:
            return
        if not later_stages_open:
            without_prompt = stage_attempt.strip_prompt(start)
            self._open_next_stage(without_prompt, 1, positions)
        self._accept_values(attempt, 0, start.tokens)
        self._deliver_early(start.request)

    def open_stage(self, opening: messages.OpenStage) -> None:
        """Starts an attempt as a later stage, or refuses it."""
        if self._refuse(opening.start, opening.stage):
            return
        if not self._open(opening.start, opening.stage, opening.positions):
            return
        if not opening.alone:
            self._open_next_stage(
                opening.start, opening.stage + 1, opening.positions
            )
        self._deliver_early(opening.start.request)

    def replace(self, replacement: messages.ReplaceStage) -> None:
        """Continues an attempt in which one stage is replaced."""
        start = replacement.start
        if replacement.receiver == replacement.stage:
            self.start(start, later_stages_open=True)
            return
        attempt = self._attempt_by_request.get(start.request)
        if attempt is None or attempt.start.attempt != replacement.replaced:
            self._report_failure(start, "no matching attempt to continue", None)
            return
        self._metrics.count("attempt.continued")
        if not attempt.apply_replacement(replacement):
            self._fail(attempt, "a token was run but not released", None)
            return
        if attempt.index == 0:
            self._accept_values(attempt, 0, start.tokens)
        if attempt.index + 1 == replacement.stage:
            self._replay_hops(attempt)
        if replacement.stage == 0 and attempt.last_token is not None:
            self._send_token(attempt, attempt.last_token)
        self._deliver_early(start.request)

    def receive_hop(self, hop: messages.Hop) -> None:
        """Queues hidden states from the previous stage."""
        attempt = self._find_attempt(hop, hop.position + len(hop.hidden))
        if attempt is None:
            return
        if hop.first_layer != attempt.stage.first_layer:
            self._metrics.count("hop.wrong_range")
            self._fail(attempt, "the hop is for another layer range", self._vm)
            return
        self._accept_values(attempt, hop.position, hop.hidden)

    def receive_token(self, token: messages.NextToken) -> None:
        """Queues a sampled token, as the first stage."""
        attempt = self._find_attempt(token, token.position + 1)
        if attempt is not None:
            self._accept_values(attempt, token.position, (token.token,))

    def cancel(self, request: ids.RequestId, attempt: ids.Attempt) -> None:
        """Ends an attempt and all earlier ones, even if not started yet."""
        self._ended.record(request, attempt)
        found = self._attempt_by_request.get(request)
        if found is not None and found.start.attempt <= attempt:
            self._end_attempt(found)

    def on_peer_lost(self, address: str, reason: errors.NutmegError) -> None:
        """Reports the attempts that send to an agent whose connection broke.

        They stay open, because the router may replace only that stage.
        """
        for attempt in list(self._attempt_by_request.values()):
            lost = attempt.find_receiving_stage(address)
            if lost is not None and lost.vm != self._vm:
                self._mark_broken(attempt, reason.detail, lost.vm)

    def end_router_attempts(self, router: ids.VmId) -> None:
        """Ends the attempts of a router that is lost."""
        for attempt in list(self._attempt_by_request.values()):
            if attempt.start.router == router:
                self._end_attempt(attempt)

    def end_orphaned_attempts(self, routers: set[ids.VmId]) -> None:
        """Ends the attempts of all routers except these."""
        for attempt in list(self._attempt_by_request.values()):
            if attempt.start.router not in routers:
                self._metrics.count("attempt.orphaned")
                self._end_attempt(attempt)

    def on_router_reconnected(
        self, router: ids.VmId
    ) -> tuple[messages.HeldAttempt, ...]:
        """Ends a reconnected router's broken attempts; returns the others.

        The report of a broken attempt, or the router's response to it, may have
        been lost.
        """
        found = self._attempt_by_request.values()
        router_attempts = [a for a in found if a.start.router == router]
        for attempt in router_attempts:
            if attempt.broken:
                self._end_attempt(attempt)
        return tuple(a.held_attempt for a in router_attempts if not a.stopped)

    def find_idle(self) -> dict[ids.VmId, list[messages.HeldAttempt]]:
        """Returns, by router, the attempts idle since the last call."""
        return stage_attempt.find_idle(self._attempt_by_request.values())

    async def run(self) -> None:
        """Runs batches until cancelled."""
        await self._batch_queue.run()

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
            self._end_attempt(old)
        attempt = stage_attempt.make_attempt(start, index, positions)
        self._attempt_by_request[start.request] = attempt
        return attempt

    def _open_next_stage(
        self, start: messages.StartAttempt, index: int, positions: int
    ) -> None:
        # Sent on the same connection as the hops, so it arrives before them.
        if index == len(start.pipeline.stages):
            return
        opening = messages.OpenStage(start, index, positions)
        self._post_to_agent(start.pipeline.stages[index].address, opening)

    def _replay_hops(self, attempt: stage_attempt.StageAttempt) -> None:
        hops = self._replay_buffer.hops(attempt)
        if hops is None:
            self._fail(attempt, "the hidden states were not kept", None)
            return
        self._metrics.count("attempt.replayed")
        opening = messages.OpenStage(
            stage_attempt.strip_prompt(attempt.start),
            attempt.index + 1,
            attempt.positions,
            alone=True,
        )
        address = attempt.start.pipeline.stages[attempt.index + 1].address
        self._post_to_agent(address, opening)
        for hop in hops:
            self._post_to_agent(address, messages.HopFrame((hop,)))

    def _deliver_early(self, request: ids.RequestId) -> None:
        for message in self._early_messages.take(request):
            match message:
                case messages.Hop():
                    self.receive_hop(message)
                case messages.NextToken():
                    self.receive_token(message)

    def _find_attempt(
        self, message: stage_replay.EarlyMessage, end: int
    ) -> stage_attempt.StageAttempt | None:
        found = self._attempt_by_request.get(message.request)
        newest = self._ended.last(message.request)
        if found is not None:
            newest = max(newest, found.start.attempt)
            if found.accepts(message.attempt, end):
                return found
        if message.attempt > newest:
            self._early_messages.add(message)
        else:
            self._metrics.count("hop.old_attempt")
        return None

    def _accept_values(
        self,
        attempt: stage_attempt.StageAttempt,
        position: int,
        values: tuple[int, ...],
    ) -> None:
        accepted = attempt.position_filter.accept(position, len(values))
        match accepted.status:
            case streams.SequenceStatus.NEXT:
                skip = accepted.skip
                work = stage_attempt.WorkItem(
                    attempt, position + skip, values[skip:]
                )
                self._batch_queue.add(work)
            case streams.SequenceStatus.GAP:
                self._metrics.count("hop.gap")
                self._fail(attempt, f"gap before position {position}", self._vm)
            case _:
                self._metrics.count("hop.duplicate")

    def _on_results(
        self,
        batch: list[stage_attempt.WorkItem],
        results: tuple[engines.StepResult, ...],
    ) -> None:
        output = stage_attempt.StepOutput()
        for work, result in zip(batch, results, strict=True):
            self._on_result(work, result, output)
        self._send_output(output)

    def _on_result(
        self,
        work: stage_attempt.WorkItem,
        result: engines.StepResult,
        output: stage_attempt.StepOutput,
    ) -> None:
        attempt = work.attempt
        if attempt.stopped:
            return
        if result.error:
            self._fail(attempt, result.error, self._vm)
            return
        if attempt.is_last:
            self._on_tokens(work, result, output)
            return
        request = attempt.start.request
        self._replay_buffer.add(request, work.position, result.hidden)
        if attempt.broken:
            return
        after = attempt.start.pipeline.stages[attempt.index + 1]
        hop = stage_attempt.make_hop(attempt, work.position, result.hidden)
        output.hops_by_address.setdefault(after.address, []).append(hop)

    def _on_tokens(
        self,
        work: stage_attempt.WorkItem,
        result: engines.StepResult,
        output: stage_attempt.StepOutput,
    ) -> None:
        if not result.tokens:
            return
        attempt = work.attempt
        start = attempt.start
        item = stage_attempt.make_token_item(work, result)
        output.items_by_router.setdefault(start.router, []).append(item)
        if item.finish is not None:
            return
        next_token = stage_attempt.make_next_token(work, result)
        attempt.last_token = next_token
        address = start.pipeline.stages[0].address
        if not attempt.broken:
            output.tokens_by_address.setdefault(address, []).append(next_token)

    def _send_output(self, output: stage_attempt.StepOutput) -> None:
        for router, items in output.items_by_router.items():
            if not self._post_tokens(router, items):
                self.end_router_attempts(router)
        for address, next_tokens in output.tokens_by_address.items():
            frame = messages.NextTokenFrame(tuple(next_tokens))
            self._post_to_agent(address, frame)
        for address, hops in output.hops_by_address.items():
            self._post_to_agent(address, messages.HopFrame(tuple(hops)))

    def _send_token(
        self,
        attempt: stage_attempt.StageAttempt,
        token: messages.NextToken,
    ) -> None:
        resent = msgspec.structs.replace(token, attempt=attempt.start.attempt)
        address = attempt.start.pipeline.stages[0].address
        self._post_to_agent(address, messages.NextTokenFrame((resent,)))

    def _mark_broken(
        self, attempt: stage_attempt.StageAttempt, detail: str, vm: ids.VmId
    ) -> None:
        if attempt.broken:
            return
        attempt.broken = True
        self._metrics.count("attempt.broken")
        self._report_failure(attempt.start, detail, vm)

    def _fail(
        self,
        attempt: stage_attempt.StageAttempt,
        detail: str,
        vm: ids.VmId | None,
    ) -> None:
        if attempt.stopped:
            return
        self._metrics.count("attempt.failed")
        self._end_attempt(attempt)
        self._report_failure(attempt.start, detail, vm)

    def _report_failure(
        self, start: messages.StartAttempt, detail: str, vm: ids.VmId | None
    ) -> None:
        failure = stage_attempt.make_failure(
            start, detail, vm, errors.ErrorKind.STAGE_FAILED
        )
        self._post_to_router(start.router, failure)

    def _end_attempt(self, attempt: stage_attempt.StageAttempt) -> None:
        attempt.stopped = True
        self._ended.record(attempt.start.request, attempt.start.attempt)
        self._attempt_by_request.pop(attempt.start.request, None)
        self._replay_buffer.forget(attempt.start.request)
        self._batch_queue.release(attempt.sequence)
