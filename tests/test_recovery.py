"""Tests of recovery decisions, and fuzz tests of streams in flight."""

import asyncio
import contextlib
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import recovery
from nutmeglift import states
from nutmeglift_agent import stage_executor
from nutmeglift_fakes import toy_engine
from nutmeglift_router import chat_dispatch
from tests import scenario
from tests import scenario_steps as steps
from tests import utils
from tests import virtual_time

VM = ids.VmId("runner-1")
RUNNERS = tuple(f"runner-{number}" for number in range(1, 7))
ROUTERS = ("entry-1", "entry-2")
SETTLE_SECONDS = 12.0
STEP_SECONDS = 0.02
PLACES = ("first", "2", "last")

DIED = recovery.Failure("died", VM)
REFUSED = recovery.Failure("leaving", VM, refused=True, not_run=True)
LATER_REFUSED = recovery.Failure("leaving", VM, refused=True)


class RequestRecoveryTest(unittest.TestCase):
    RAN = {
        "refused by the first stage": ([REFUSED], 0, states.Ran.NOT_RUN),
        "refused by a later stage": ([LATER_REFUSED], 0, states.Ran.UNKNOWN),
        "died": ([DIED], 0, states.Ran.UNKNOWN),
        "died and refused": ([DIED, REFUSED], 0, states.Ran.UNKNOWN),
        "tokens released": ([REFUSED], 1, states.Ran.RAN),
    }

    def test_error_states_whether_layers_ran(self):
        for name, (failures, released, ran) in self.RAN.items():
            with self.subTest(name):
                request = recovery.RequestRecovery()
                for failure in failures:
                    request.fail(failure, released)
                self.assertEqual(request.ran(released), ran)

    def test_failures_are_bounded_and_exclude_refusals(self):
        request = recovery.RequestRecovery()
        for number in range(recovery.MAX_FAILURE_COUNT - 1):
            action = request.fail(DIED, 5)
            attempt = ids.Attempt(2 * number + 2)
            self.assertEqual(action, recovery.Restart(attempt))
            self.assertIsInstance(request.fail(REFUSED, 5), recovery.Restart)
        last = request.fail(DIED, 5)
        self.assertIsInstance(last, recovery.Abort)
        self.assertEqual(last.error.kind, errors.ErrorKind.STAGE_FAILED)
        self.assertEqual(last.error.ran, states.Ran.RAN)
        self.assertEqual(request.failed, {VM})

    def test_refusals_are_bounded_and_not_run(self):
        request = recovery.RequestRecovery()
        actions = [
            request.fail(REFUSED, 0) for _ in range(recovery.MAX_REFUSAL_COUNT)
        ]
        self.assertIsInstance(actions[-2], recovery.Restart)
        self.assertEqual(actions[-1].error.ran, states.Ran.NOT_RUN)

    def test_wait_for_a_pipeline_is_bounded(self):
        request = recovery.RequestRecovery()
        error = errors.RefusedError("none", kind=errors.ErrorKind.NO_BACKEND)
        limit = recovery.MAX_PIPELINE_WAIT_SECONDS
        for now, kind in (
            (10.0, recovery.Wait),
            (10.0 + limit - 0.01, recovery.Wait),
            (10.0 + limit, recovery.Abort),
        ):
            action = request.handle_no_pipeline(now, error, 0)
            self.assertIsInstance(action, kind)
        request.record_dispatch()
        self.assertIsInstance(
            request.handle_no_pipeline(99.0, error, 0), recovery.Wait
        )


class ReconnectTrackerTest(unittest.TestCase):
    OLD = ids.Incarnation("a")
    NEW = ids.Incarnation("b")

    def setUp(self):
        self.reopenings = recovery.ReconnectTracker()
        self.assertFalse(self.reopenings.record_connected(VM, self.OLD))

    def test_agent_that_reconnects_in_time_is_not_lost(self):
        self.reopenings.record_disconnected(VM, 1.0)
        self.assertFalse(self.reopenings.lost(VM, 1.2))
        self.assertFalse(self.reopenings.record_connected(VM, self.OLD))
        self.assertFalse(self.reopenings.lost(VM, 9.0))

    def test_loss_is_reported_once(self):
        for name, lose in (
            ("late", lambda: self.reopenings.lost(VM, 1.25)),
            ("refused", lambda: self.reopenings.record_unreachable(VM)),
        ):
            with self.subTest(name):
                self.reopenings.record_disconnected(VM, 1.0)
                self.assertTrue(lose())
                self.assertFalse(lose())

    def test_another_incarnation_means_lost(self):
        self.reopenings.record_disconnected(VM, 1.0)
        self.assertTrue(self.reopenings.record_connected(VM, self.NEW))

    def test_compare_finds_missing_and_unknown_attempts(self):
        a, b, c, d = (
            messages.HeldAttempt(ids.RequestId(name), ids.Attempt(1))
            for name in "abcd"
        )
        found = recovery.compare([a, b], held=[b, c], current=[a, b, d])
        self.assertEqual(found, recovery.AttemptDifferences((a,), (c,)))
        # An attempt that ended meanwhile is neither missing nor kept.
        found = recovery.compare([a, b], held=[b], current=[])
        self.assertEqual(found, recovery.AttemptDifferences((), (b,)))


CALL_INDEXES = st.integers(0, 3)
PAUSES = st.sampled_from([0.0, 0.05, 0.3, 2.0, 0.1])
PAIRS = st.sampled_from(
    [
        ("last", "router"),
        ("first", "2"),
        ("last", "first"),
        ("2", "last"),
        ("first", "router"),
        ("2", "router"),
    ]
)
MAX_KILLED_COUNT = 3
MAKE_START = chat_dispatch.Dispatcher.make_start
TOKENS = 60


class StreamMachine(stateful.RuleBasedStateMachine):
    """Checks streams under faults against the reference answers."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop)
        self.runner = scenario.Runner(
            steps.Scenario(
                name="fuzz", deployment=steps.Deployment(routers=2), steps=()
            )
        )
        self.loop.run(self.runner.start())
        for engine in self.runner.cluster.engines:
            engine.step_overhead = STEP_SECONDS
        self.calls = 0
        self.killed = []

    def run_steps(self, *requested_steps):
        for step in requested_steps:
            # A step whose process or call no longer exists has no effect.
            with contextlib.suppress(steps.ScenarioError):
                self.loop.run(self.runner.execute(step))

    def find_live_call(self, call_index):
        """Returns the name of a call that has a pipeline, or "none"."""
        live = [
            caller.name
            for caller in self.runner.callers.by_name.values()
            if caller.stream is not None and caller.stream.pipeline is not None
        ]
        return live[call_index % len(live)] if live else "none"

    @stateful.initialize()
    def start_calls(self):
        for router in ROUTERS:
            self.call(router, TOKENS, 0.2)

    @stateful.rule(
        router=st.sampled_from(ROUTERS),
        tokens=st.integers(1, TOKENS),
        pause=PAUSES,
    )
    def call(self, router, tokens, pause):
        self.calls += 1
        call = steps.Call(
            name=f"call-{self.calls}",
            router=router,
            max_tokens=tokens,
            prompt=f"lot {self.calls}",
        )
        self.run_steps(call, steps.Wait(seconds=pause))

    @stateful.rule(
        call_index=CALL_INDEXES, place=st.sampled_from(PLACES), pause=PAUSES
    )
    def kill(self, call_index, place, pause):
        if len(self.killed) == MAX_KILLED_COUNT:
            return
        with contextlib.suppress(steps.ScenarioError):
            vm = self.runner.find_vm(
                f"{self.find_live_call(call_index)}/{place}"
            )
            self.killed.append(vm)
            self.run_steps(steps.Resume(vm=vm), steps.Kill(vm=vm))
        self.run_steps(steps.Wait(seconds=pause))

    @stateful.rule(
        call_index=CALL_INDEXES,
        place=st.sampled_from([*PLACES, "router"]),
        pause=PAUSES,
    )
    def freeze(self, call_index, place, pause):
        vm = f"{self.find_live_call(call_index)}/{place}"
        self.run_steps(steps.Pause(vm=vm), steps.Wait(seconds=pause))

    @stateful.rule(
        call_index=CALL_INDEXES,
        pair=PAIRS,
        kind=st.sampled_from(
            [steps.Silence, steps.Cut, steps.Partition, steps.Degrade]
        ),
        pause=PAUSES,
    )
    def disturb(self, call_index, pair, kind, pause):
        call = self.find_live_call(call_index)
        between = tuple(f"{call}/{end}" for end in pair)
        extra = {"delay": 0.1} if kind is steps.Degrade else {}
        step = kind(between=between, **extra)
        self.run_steps(step, steps.Wait(seconds=pause))

    @stateful.rule(
        call_index=CALL_INDEXES, place=st.sampled_from(PLACES), pause=PAUSES
    )
    def leave(self, call_index, place, pause):
        if len(self.killed) == MAX_KILLED_COUNT:
            return
        with contextlib.suppress(steps.ScenarioError):
            vm = self.runner.find_vm(
                f"{self.find_live_call(call_index)}/{place}"
            )
            if vm not in self.killed:
                self.killed.append(vm)
                self.run_steps(steps.Leave(vm=vm))
        self.run_steps(steps.Wait(seconds=pause))

    @stateful.rule(vm=st.sampled_from(RUNNERS + ROUTERS), pause=PAUSES)
    def repair(self, vm, pause):
        if vm in self.killed and vm not in self.runner.cluster.agent_by_vm:
            self.killed.remove(vm)
            self.run_steps(steps.Restart(vm=vm))
        self.run_steps(
            steps.Resume(vm=vm),
            *(steps.Join(between=(vm, other)) for other in RUNNERS),
            steps.Wait(seconds=pause),
        )

    @stateful.rule(call_index=CALL_INDEXES, pause=PAUSES)
    def abandon(self, call_index, pause):
        call = self.find_live_call(call_index)
        self.run_steps(steps.Abandon(call=call), steps.Wait(seconds=pause))

    def teardown(self):
        try:
            problems = self.loop.run(self.settle())
        finally:
            self.loop.run(self.runner.cluster.stop())
            self.loop.close()
        if problems:
            raise AssertionError("; ".join(problems))

    async def settle(self):
        for vm in RUNNERS + ROUTERS:
            for other in RUNNERS:
                with contextlib.suppress(steps.ScenarioError):
                    await self.runner.execute(steps.Join(between=(vm, other)))
            with contextlib.suppress(steps.ScenarioError):
                await self.runner.execute(steps.Resume(vm=vm))
        await self.runner.callers.finish(scenario.FINISH_TIMEOUT_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
        problems = self.runner.callers.find_violations()
        return problems + self.runner.find_leaks()


class DivergentEnginesTest(unittest.TestCase):
    """Tests engines that sample different tokens from one hidden state."""

    PLACES = ("first", "2", "last", "last", "2", "last")

    def test_every_token_is_consistent_with_its_prefix(self):
        for delay in (0.0, 0.004, 0.02):
            with self.subTest(delay=delay):
                tokens, attempts = virtual_time.run(self._run(delay))
                self.assertEqual(len(tokens), TOKENS)
                self.assertGreater(attempts, 2)
                self.assertEqual(self._find_inconsistent(tokens), [])

    async def _run(self, delay):
        runner = scenario.Runner(
            steps.Scenario(
                name="unlike",
                deployment=steps.Deployment(runners=9),
                steps=(),
            )
        )
        await runner.start()
        for salt, engine in enumerate(runner.cluster.engines):
            engine.sample_salt = salt
            engine.step_overhead = 0.004
        await runner.execute(
            steps.Call(name="call", max_tokens=TOKENS, prompt="lot 1")
        )
        for count, place in zip((9, 23, 40), self.PLACES[2:], strict=False):
            await runner.execute(steps.Wait(call="call", tokens=count))
            for pair in (("last", "router"), ("last", "first")):
                between = tuple(f"call/{end}" for end in pair)
                await runner.execute(
                    steps.Degrade(between=between, delay=delay)
                )
            await asyncio.sleep(0.01)
            await runner.execute(steps.Kill(vm=f"call/{place}"))
        await runner.callers.finish(scenario.FINISH_TIMEOUT_SECONDS)
        caller = runner.callers.by_name["call"]
        await runner.cluster.stop()
        return caller.stream.gate.tokens, caller.stream.gate.attempt

    def _find_inconsistent(self, tokens):
        prompt = utils.chat_prompt("lot 1")
        word_count = len(toy_engine.WORDS)
        inconsistent = []
        for index, token in enumerate(tokens):
            (reference,) = utils.reference_tokens(
                prompt + tuple(tokens[:index]), 1
            )
            if (token - reference) % word_count >= 9:
                inconsistent.append(index)
        return inconsistent


FUZZING = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=16,
    stateful_step_count=14,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def forget_released(dispatcher, stream, pipeline):
    """Faulty Dispatcher.make_start that omits the released tokens."""
    start = MAKE_START(dispatcher, stream, pipeline)
    return msgspec.structs.replace(start, tokens=stream.chat.prompt)


def kill_first_stage(machine):
    machine.kill(call_index=0, place="first", pause=0.3)


def lose_cancel_message(machine):
    machine.disturb(
        call_index=0, pair=("2", "router"), kind=steps.Silence, pause=0.0
    )
    machine.abandon(call_index=0, pause=0.3)


def leave(machine):
    machine.abandon(call_index=0, pause=0.3)


class StreamFuzzingTest(unittest.TestCase):
    SCHEDULES = {
        "released tokens forgotten": (
            kill_first_stage,
            chat_dispatch.Dispatcher,
            "make_start",
            forget_released,
        ),
        "no reconciliation": (
            lose_cancel_message,
            recovery,
            "compare",
            lambda *_: recovery.AttemptDifferences((), ()),
        ),
        "no cancelling": (
            leave,
            stage_executor.StageExecutor,
            "cancel",
            lambda *_: None,
        ),
    }

    def test_streams_complete_or_end_in_an_accurate_error(self):
        stateful.run_state_machine_as_test(StreamMachine, settings=FUZZING)

    def test_oracle_detects_faulty_variants(self):
        for name, (schedule, target, method, faulty) in self.SCHEDULES.items():
            with self.subTest(name):
                self._run(schedule)
                with (
                    mock.patch.object(target, method, faulty),
                    self.assertRaises(AssertionError),
                ):
                    self._run(schedule)

    def _run(self, schedule):
        machine = StreamMachine()
        machine.start_calls()
        schedule(machine)
        machine.teardown()


if __name__ == "__main__":
    unittest.main()
