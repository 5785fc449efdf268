"""Fuzzing of apply, spread, outage, restore and restart against an oracle."""

import asyncio
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from nutmeglift import configuration
from nutmeglift import configuration_apply
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings
from tests import test_configuration
from tests import utils
from tests import virtual_time

ROUTERS = 4
HEAL_SECONDS = 25.0
BOUNDS = settings.Bounds(heartbeat_seconds=1.0, silence_seconds=3.0)
SETTINGS = hypothesis.settings(
    max_examples=30,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

index = st.integers(0, ROUTERS - 1)


@dataclasses.dataclass
class Oracle:
    """What was accepted, and what every process showed.

    Attributes:
        acknowledged: apply ids in the order of their acknowledgement.
        maybe: apply ids since then whose outcome is unknown.
        shown_by_process: newest head of each process.
        digest_by_order: content of every head seen, by its order.
        apply_by_generation: acknowledged applies since the last restore.
    """

    acknowledged: list[str] = dataclasses.field(default_factory=list)
    maybe: list[str] = dataclasses.field(default_factory=list)
    shown_by_process: dict[str, tuple[int, float, str]] = dataclasses.field(
        default_factory=dict
    )
    digest_by_order: dict[tuple[int, float, str], str] = dataclasses.field(
        default_factory=dict
    )
    apply_by_generation: dict[int, str] = dataclasses.field(
        default_factory=dict
    )

    def accept(self, head: configuration.Head) -> None:
        other = self.apply_by_generation.setdefault(head.generation, head.apply)
        assert other == head.apply, f"{head.generation} was given out twice"
        self.acknowledged.append(head.apply)
        self.maybe.clear()

    def allowed(self) -> set[str]:
        """Returns the applies that may be in force in the end."""
        return {*self.acknowledged[-1:], *self.maybe}

    def show(self, process: str, head: configuration.Head) -> None:
        """Checks that a process never goes back, and that there is one
        history."""
        order = configuration.sort_key(head)
        before = self.shown_by_process.get(process, (0, 0.0, ""))
        assert order >= before, f"{process} went back from {before} to {order}"
        self.shown_by_process[process] = order
        digest = self.digest_by_order.setdefault(order, head.digest)
        assert digest == head.digest, f"two histories at {order}"


class Machine(stateful.RuleBasedStateMachine):
    """Operators, routers and faults in any order."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop)
        self.oracle = Oracle()
        self.backups = []
        self.applies = 0
        self.world = utils.World(bounds=BOUNDS)
        self.run(self.start())

    def run(self, work):
        return self.runner.run(work)

    async def start(self):
        await self.apply_one(ask=False)
        for n in range(ROUTERS):
            self.world.add_router(f"entry-{n + 1}", n)
        await asyncio.sleep(3.0)

    def process(self, n):
        return self.world.router_by_vm[ids.VmId(f"entry-{n + 1}")]

    def head(self, process):
        return process.router.configuration._sync.head

    def heads(self):
        return [self.head(p) for p in self.world.router_by_vm.values()]

    async def apply_one(self, ask):
        self.applies += 1
        name = ids.ApplyId(f"{self.applies}")
        known = configuration.NO_HEAD
        if ask:
            known = max(self.heads(), key=configuration.sort_key)
        applier = configuration_apply.Applier(self.world.store, asyncio.sleep)
        try:
            head = await applier.apply(
                test_configuration.make_accounts(1 + self.applies % 7),
                configuration_apply.ApplyRequest(
                    name,
                    author="ana",
                    time=asyncio.get_running_loop().time(),
                    known=known,
                ),
            )
        except errors.KvAnswerLostError:
            self.oracle.maybe.append(name)
        except (errors.ConflictError, errors.PlatformError):
            return
        else:
            self.oracle.accept(head)

    @stateful.rule(ask=st.booleans())
    def apply(self, ask):
        self.run(self.apply_one(ask))

    @stateful.rule(operators=st.integers(2, 5))
    def race(self, operators):
        async def run():
            self.world.store.delay = 0.005
            await asyncio.gather(
                *(self.apply_one(n % 2 == 0) for n in range(operators))
            )
            self.world.store.delay = 0.0

        self.run(run())

    @stateful.rule(before=st.integers(0, 2), after=st.integers(0, 2))
    def lose(self, before, after):
        self.world.store.lose_requests = before
        self.world.store.lose_answers = after

    @stateful.rule(down=st.booleans())
    def outage(self, down):
        async def run():
            self.world.store.set_down(down)

        self.run(run())

    @stateful.rule()
    def back_up(self):
        async def run():
            self.backups.append(self.world.store.dump())

        self.run(run())

    @stateful.precondition(lambda self: self.backups)
    @stateful.rule(n=st.integers(0, 100))
    def restore(self, n):
        # What no process heard of before the restore is lost for good.
        async def run():
            self.world.store.restore(self.backups[n % len(self.backups)])
            self.oracle.apply_by_generation.clear()

        if self.held_by_routers():
            self.run(run())

    @stateful.rule(applies=st.integers(1, 3))
    def restore_from_before(self, applies):
        async def run():
            backup = self.world.store.dump()
            for _ in range(applies):
                await self.apply_one(ask=True)
                await asyncio.sleep(0.5)
            if self.held_by_routers():
                self.world.store.restore(backup)
                self.oracle.apply_by_generation.clear()

        self.run(run())

    def held_by_routers(self, but=None):
        return any(
            self.head(process).apply == self.oracle.acknowledged[-1]
            for process in self.world.router_by_vm.values()
            if process is not but
        )

    @stateful.rule(n=index, paused=st.booleans())
    def pause(self, n, paused):
        clock = self.process(n).clock
        clock.pause() if paused else clock.resume()

    @stateful.rule(n=index, lost=st.booleans())
    def cut_off(self, n, lost):
        self.process(n).router.configuration._store.lost = lost

    @stateful.rule(one=index, other=index, parted=st.booleans())
    def part(self, one, other, parted):
        if one == other:
            return
        pair = self.process(one).address, self.process(other).address
        if parted:
            self.world.network.partition(*pair)
        else:
            self.world.network.join(*pair)

    @stateful.rule(n=index)
    def restart(self, n):
        if not self.held_by_routers(but=self.process(n)):
            return

        async def run():
            self.process(n).clock.resume()
            await self.world.kill(f"entry-{n + 1}")
            self.world.add_router(f"entry-{n + 1}", n)

        self.run(run())

    @stateful.rule(seconds=st.sampled_from([0.05, 1.0, 6.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @stateful.invariant()
    def nothing_goes_back(self):
        for process in self.world.router_by_vm.values():
            self.oracle.show(process.router.incarnation, self.head(process))

    def teardown(self):
        try:
            self.run(self.finish())
        finally:
            self.run(self.world.stop())
            self.runner.close()

    async def finish(self):
        store = self.world.store
        store.lose_requests = store.lose_answers = 0
        store.set_down(False)
        processes = list(self.world.router_by_vm.values())
        for process in processes:
            process.clock.resume()
            process.router.configuration._store.lost = False
            for other in processes:
                self.world.network.join(process.address, other.address)
        await asyncio.sleep(HEAL_SECONDS)
        self.nothing_goes_back()
        stored = (await configuration.read_head(store)).head
        for head in self.heads():
            assert head == stored, f"{head} differs from {stored}"
        assert stored.apply in self.oracle.allowed(), (
            f"{stored.apply} is in force, not one of {self.oracle.allowed()}"
        )
        for process in processes:
            process.router.check_accepts_work()


class FuzzTest(unittest.TestCase):
    def test_one_history_that_keeps_every_acknowledged_apply(self):
        stateful.run_state_machine_as_test(Machine, settings=SETTINGS)

    BROKEN = {
        "nobody puts the newest back": (
            configuration,
            "choose_head_to_restore",
            lambda stored, own: None,
        ),
        "a process takes any head": (
            configuration,
            "is_newer",
            lambda head, other: head != other,
        ),
        "an apply ignores who came first": (
            configuration.StoredHead,
            "unchanged",
            lambda self: [],
        ),
    }

    def test_oracle_finds_what_is_broken(self):
        quick = hypothesis.settings(
            SETTINGS,
            max_examples=30,
            phases=[hypothesis.Phase.generate],
            report_multiple_bugs=False,
        )
        for name, (owner, attribute, broken) in self.BROKEN.items():
            with (
                self.subTest(name),
                mock.patch.object(owner, attribute, broken),
                self.assertRaises(AssertionError),
            ):
                stateful.run_state_machine_as_test(Machine, settings=quick)


if __name__ == "__main__":
    unittest.main()
