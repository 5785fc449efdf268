"""Fuzz tests of at-most-once calls against a simple oracle."""

import asyncio
import collections
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from nutmeglift import attempt_resolution
from nutmeglift import attempts
from nutmeglift import ids
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states
from tests import plain_rig
from tests import virtual_time

SEEDS = range(60)
MUTANT_SEEDS = range(60)
STEPS = 25
REQUIRED_METRICS = (
    "attempt_query.fenced",
    "attempt_query.running",
    "attempt_query.done",
    "attempt_query.unknown",
    "ledger.answer_lost",
    "ledger.attempt_not_run",
    "ledger.batch_conflict",
    "ledger.replayed",
    "ledger.settle",
    "ledger.unknown",
    "plain_call.running",
    "plain_call.settled",
)


async def run_seed(seed: int, make_table=attempts.AttemptTable):
    """Runs one random history and returns its rig."""
    rig = plain_rig.Rig(seed, make_table)
    rig.start()
    rng = random.Random(seed + 2)
    for _ in range(STEPS):
        await take_step(rig, rng)
        await asyncio.sleep(rng.choice((0.0, 0.01, 0.5, 2.0, 5.0)))
    await rig.clear_faults()
    for key in plain_rig.KEYS:
        rig.call(rng.randrange(plain_rig.ROUTER_COUNT), key)
    await asyncio.sleep(60.0)
    await rig.stop()
    return rig


async def take_step(rig: plain_rig.Rig, rng: random.Random) -> None:
    """Injects one random fault or makes one call."""
    router = rng.randrange(plain_rig.ROUTER_COUNT)
    agent = rng.randrange(plain_rig.AGENT_COUNT)
    names = ids.VmId(f"entry-{router}"), ids.VmId(f"core-{agent}")
    rig.store.set_down(False)
    match rng.randrange(14):
        case 0 | 1:
            rig.store.fault_ratio = rng.choice((0.0, 0.0, 0.3, 0.8))
        case 2:
            rig.store.set_down(True)
        case 3 | 4:
            rig.frame_fault_ratio = rng.choice((0.0, 0.3, 0.6))
        case 5:
            rig.backend_fault_ratio = rng.choice((0.0, 0.0, 0.3))
        case 6:
            await rig.restart_router(router)
        case 7 if rng.random() < 0.3:
            rig.restart_agent(agent)
        case 8:
            rig.disconnect(*names)
        case _:
            rig.call(router, rng.choice(plain_rig.KEYS))


class SeededFuzzTest(unittest.TestCase):
    def test_no_guarantee_is_violated(self):
        answers: collections.Counter[states.Ran] = collections.Counter()
        counted: collections.Counter[str] = collections.Counter()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rig = virtual_time.run(run_seed(seed))
                self.assertEqual(rig.find_violations(), [])
                answers.update(c.ran for c in rig.calls)
                counted += rig.metrics.total_by_name
                for call in rig.calls[-len(plain_rig.KEYS) :]:
                    if rig.restarted or call.key in rig.dropped:
                        self.assertIsNotNone(call.ran)
                        continue
                    self.assertEqual(call.ran, states.Ran.RAN, call)
        # Together the histories cover every outcome and every mechanism.
        for ran in states.Ran:
            self.assertGreater(answers[ran], len(SEEDS), ran)
        for name in REQUIRED_METRICS:
            self.assertGreater(counted[name], 0, name)


class NoFenceTable(attempts.AttemptTable):
    """Reports an unseen attempt as fenced but still allows it to run."""

    def _fence(self, key):
        return attempts._Attempt(states.AttemptState.FENCED)


class NoMemoryTable(attempts.AttemptTable):
    """Runs duplicates of settled attempts."""

    def begin(self, call: plain_messages.PlainCall) -> attempts.StartDecision:
        admission = super().begin(call)
        if admission is attempts.StartDecision.SETTLED:
            return attempts.StartDecision.RUN
        return admission


class OracleTest(unittest.TestCase):
    """Checks that the oracle detects deliberate faults."""

    def _finds_fault(self, make_table=attempts.AttemptTable) -> bool:
        for seed in MUTANT_SEEDS:
            rig = virtual_time.run(run_seed(seed, make_table))
            if rig.find_violations():
                return True
        return False

    def test_agents_that_do_not_fence(self):
        self.assertTrue(self._finds_fault(NoFenceTable))

    def test_agents_that_run_every_copy(self):
        self.assertTrue(self._finds_fault(NoMemoryTable))

    def test_routers_that_take_unknown_for_not_run(self):
        with mock.patch.object(
            attempt_resolution, "Unknown", attempt_resolution.NotRun
        ):
            self.assertTrue(self._finds_fault())

    def test_routers_that_replace_claims_without_a_query(self):
        def judge(found, digest, now):
            return ledger.Replace()

        with mock.patch.object(ledger, "judge", judge):
            self.assertTrue(self._finds_fault())


class PlainMachine(stateful.RuleBasedStateMachine):
    """Applies the same faults, generated and shrunk by Hypothesis."""

    routers = strategies.integers(0, plain_rig.ROUTER_COUNT - 1)
    agents = strategies.integers(0, plain_rig.AGENT_COUNT - 1)
    shares = strategies.sampled_from((0.0, 0.3, 0.8))

    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual_time.VirtualTimeLoop()
        self.rig = plain_rig.Rig(7)
        self._run(self._start())

    @stateful.rule(router=routers, key=strategies.sampled_from(plain_rig.KEYS))
    def call(self, router, key):
        self._run(self._run_action(lambda: self.rig.call(router, key)))

    @stateful.rule(router=routers, agent=agents)
    def cut(self, router, agent):
        names = ids.VmId(f"entry-{router}"), ids.VmId(f"core-{agent}")
        self._run(self._run_action(lambda: self.rig.disconnect(*names)))

    @stateful.rule(agent=agents)
    def restart_agent(self, agent):
        self._run(self._run_action(lambda: self.rig.restart_agent(agent)))

    @stateful.rule(router=routers)
    def restart_router(self, router):
        self._run(self.rig.restart_router(router))

    @stateful.rule(share=shares)
    def fail_key_value(self, share):
        self.rig.store.fault_ratio = share

    @stateful.rule(share=shares)
    def fail_frames(self, share):
        self.rig.frame_fault_ratio = share

    @stateful.rule(share=shares)
    def fail_backends(self, share):
        self.rig.backend_fault_ratio = share

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.5, 4.0, 20.0)))
    def wait(self, seconds):
        self._run(asyncio.sleep(seconds))

    @stateful.invariant()
    def guarantees_hold(self):
        assert self.rig.find_violations() == []

    def teardown(self):
        self._run(self.rig.clear_faults())
        self._run(self.rig.stop())
        self.loop.close()
        assert self.rig.find_violations() == []

    async def _start(self):
        self.rig.start()

    async def _run_action(self, action):
        action()
        await asyncio.sleep(0.001)

    def _run(self, work):
        self.loop.run_until_complete(work)


PlainMachineTest = PlainMachine.TestCase
PlainMachineTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
    stateful_step_count=30,
)


if __name__ == "__main__":
    unittest.main()
