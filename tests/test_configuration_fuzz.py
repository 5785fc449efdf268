"""Fuzz test of applies, outages, restores and restarts with an oracle."""

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

ROUTER_COUNT = 4
CONVERGENCE_SECONDS = 25.0
BOUNDS = settings.Bounds(heartbeat_seconds=1.0, silence_seconds=3.0)
SETTINGS = hypothesis.settings(
    max_examples=30,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

router_index = st.integers(0, ROUTER_COUNT - 1)


@dataclasses.dataclass
class Oracle:
    """The accepted applies, and the heads observed at each process.

    Attributes:
        acknowledged: apply ids in order of acknowledgement.
        uncertain: ids of later applies whose outcome is unknown.
        newest_by_process: sort key of the newest head of each process.
        digest_by_order: digest of every head seen, by its sort key.
        apply_by_generation: acknowledged applies since the last restore.
    """

    acknowledged: list[str] = dataclasses.field(default_factory=list)
    uncertain: list[str] = dataclasses.field(default_factory=list)
    newest_by_process: dict[str, tuple[int, float, str]] = dataclasses.field(
        default_factory=dict
    )
    digest_by_order: dict[tuple[int, float, str], str] = dataclasses.field(
        default_factory=dict
    )
    apply_by_generation: dict[int, str] = dataclasses.field(
        default_factory=dict
    )

    def record_accepted(self, head: configuration.Head) -> None:
        other = self.apply_by_generation.setdefault(head.generation, head.apply)
        assert other == head.apply, (
            f"generation {head.generation} was assigned twice"
        )
        self.acknowledged.append(head.apply)
        self.uncertain.clear()

    def allowed(self) -> set[str]:
        """Returns the ids of the applies that may be in force at the end."""
        return {*self.acknowledged[-1:], *self.uncertain}

    def check_process_head(
        self, process: str, head: configuration.Head
    ) -> None:
        """Records a process's head and checks it.

        A process must never go back to an older head, and two heads with
        the same sort key must have the same content.
        """
        order = configuration.sort_key(head)
        before = self.newest_by_process.get(process, (0, 0.0, ""))
        assert order >= before, f"{process} reverted from {before} to {order}"
        self.newest_by_process[process] = order
        digest = self.digest_by_order.setdefault(order, head.digest)
        assert digest == head.digest, f"heads of {order} differ in content"


class Machine(stateful.RuleBasedStateMachine):
    """Runs operators, routers and faults in any order."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop)
        self.oracle = Oracle()
        self.backups = []
        self.applies = 0
        self.cluster = utils.Cluster(bounds=BOUNDS)
        self.run(self.start())

    def run(self, work):
        return self.runner.run(work)

    async def start(self):
        await self.apply_declaration(query_routers=False)
        for n in range(ROUTER_COUNT):
            self.cluster.add_router(f"entry-{n + 1}", n)
        await asyncio.sleep(3.0)

    def process(self, n):
        return self.cluster.router_by_vm[ids.VmId(f"entry-{n + 1}")]

    def head(self, process):
        return process.router.configuration._sync.head

    def heads(self):
        return [self.head(p) for p in self.cluster.router_by_vm.values()]

    async def apply_declaration(self, query_routers):
        self.applies += 1
        name = ids.ApplyId(f"{self.applies}")
        known = configuration.NO_HEAD
        if query_routers:
            known = max(self.heads(), key=configuration.sort_key)
        applier = configuration_apply.Applier(self.cluster.store, asyncio.sleep)
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
            self.oracle.uncertain.append(name)
        except (errors.ConflictError, errors.PlatformError):
            return
        else:
            self.oracle.record_accepted(head)

    @stateful.rule(query_routers=st.booleans())
    def apply(self, query_routers):
        self.run(self.apply_declaration(query_routers))

    @stateful.rule(operators=st.integers(2, 5))
    def race(self, operators):
        async def run():
            self.cluster.store.delay = 0.005
            await asyncio.gather(
                *(self.apply_declaration(n % 2 == 0) for n in range(operators))
            )
            self.cluster.store.delay = 0.0

        self.run(run())

    @stateful.rule(before=st.integers(0, 2), after=st.integers(0, 2))
    def lose(self, before, after):
        self.cluster.store.lose_requests = before
        self.cluster.store.lose_answers = after

    @stateful.rule(down=st.booleans())
    def outage(self, down):
        async def run():
            self.cluster.store.set_down(down)

        self.run(run())

    @stateful.rule()
    def back_up(self):
        async def run():
            self.backups.append(self.cluster.store.dump())

        self.run(run())

    @stateful.precondition(lambda self: self.backups)
    @stateful.rule(n=st.integers(0, 100))
    def restore(self, n):
        # An apply that no process saw before the restore is lost permanently.
        async def run():
            self.cluster.store.restore(self.backups[n % len(self.backups)])
            self.oracle.apply_by_generation.clear()

        if self.is_newest_held_by_a_router():
            self.run(run())

    @stateful.rule(applies=st.integers(1, 3))
    def restore_from_before(self, applies):
        async def run():
            backup = self.cluster.store.dump()
            for _ in range(applies):
                await self.apply_declaration(query_routers=True)
                await asyncio.sleep(0.5)
            if self.is_newest_held_by_a_router():
                self.cluster.store.restore(backup)
                self.oracle.apply_by_generation.clear()

        self.run(run())

    def is_newest_held_by_a_router(self, excluding=None):
        return any(
            self.head(process).apply == self.oracle.acknowledged[-1]
            for process in self.cluster.router_by_vm.values()
            if process is not excluding
        )

    @stateful.rule(n=router_index, paused=st.booleans())
    def pause(self, n, paused):
        clock = self.process(n).clock
        clock.pause() if paused else clock.resume()

    @stateful.rule(n=router_index, lost=st.booleans())
    def cut_off(self, n, lost):
        self.process(n).router.configuration._store.disconnected = lost

    @stateful.rule(one=router_index, other=router_index, parted=st.booleans())
    def part(self, one, other, parted):
        if one == other:
            return
        pair = self.process(one).address, self.process(other).address
        if parted:
            self.cluster.network.partition(*pair)
        else:
            self.cluster.network.join(*pair)

    @stateful.rule(n=router_index)
    def restart(self, n):
        if not self.is_newest_held_by_a_router(excluding=self.process(n)):
            return

        async def run():
            self.process(n).clock.resume()
            await self.cluster.kill(f"entry-{n + 1}")
            self.cluster.add_router(f"entry-{n + 1}", n)

        self.run(run())

    @stateful.rule(seconds=st.sampled_from([0.05, 1.0, 6.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @stateful.invariant()
    def heads_never_go_back(self):
        for process in self.cluster.router_by_vm.values():
            self.oracle.check_process_head(
                process.router.incarnation, self.head(process)
            )

    def teardown(self):
        try:
            self.run(self.finish())
        finally:
            self.run(self.cluster.stop())
            self.runner.close()

    async def finish(self):
        store = self.cluster.store
        store.lose_requests = store.lose_answers = 0
        store.set_down(False)
        processes = list(self.cluster.router_by_vm.values())
        for process in processes:
            process.clock.resume()
            process.router.configuration._store.disconnected = False
            for other in processes:
                self.cluster.network.join(process.address, other.address)
        await asyncio.sleep(CONVERGENCE_SECONDS)
        self.heads_never_go_back()
        stored = (await configuration.read_head(store)).head
        for head in self.heads():
            assert head == stored, f"{head} differs from {stored}"
        assert stored.apply in self.oracle.allowed(), (
            f"{stored.apply} is in force, not in {self.oracle.allowed()}"
        )
        for process in processes:
            process.router.check_accepts_work()


class FuzzTest(unittest.TestCase):
    def test_routers_share_one_history_with_every_acknowledged_apply(self):
        stateful.run_state_machine_as_test(Machine, settings=SETTINGS)

    BROKEN = {
        "the newest head is never restored": (
            configuration,
            "choose_head_to_restore",
            lambda stored, own: None,
        ),
        "a process accepts any head": (
            configuration,
            "is_newer",
            lambda head, other: head != other,
        ),
        "an apply ignores concurrent applies": (
            configuration.StoredHead,
            "unchanged",
            lambda self: [],
        ),
    }

    def test_oracle_detects_broken_implementations(self):
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
