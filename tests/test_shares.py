"""Tests of account limit shares: their sum never exceeds the limit."""

import asyncio
import collections
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import configuration
from nutmeglift import ids
from nutmeglift import share_holder
from nutmeglift import shares
from nutmeglift_router import blackboard_entries
from nutmeglift_router import share_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics as metric
from tests import utils
from tests import virtual_time

LIMIT = 100.0
ACCOUNT = utils.make_account("a", requests_per_second=LIMIT)
REQUESTS = shares.Resource.REQUESTS
FUZZ = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=60,
)
FIND_ONLY = hypothesis.settings(
    FUZZ, phases=[hypothesis.Phase.generate], report_multiple_bugs=False
)
TICK_SECONDS = 0.5
EPSILON = 1e-6


class Fleet:
    """Share holders and owners with connections that a test can cut."""

    def __init__(
        self, routers, owner=shares.ShareOwner, known_router_count=None
    ):
        self.now = 0.0
        self.make_owner = owner
        self.known_router_count = known_router_count or routers
        self.starts = 0
        self.holder_by_router = {}
        self.owner_by_epoch = {}
        self.demands = collections.defaultdict(list)
        self.grants = collections.defaultdict(list)
        self.paused = set()
        self.rate_by_router = {}
        for number in range(routers):
            self.add_router(ids.VmId(f"entry-{number}"))

    def add_router(self, router):
        self.starts += 1
        self.holder_by_router[router] = share_holder.ShareHolder(
            1000 * self.starts
        )
        self.holder_by_router[router].set_routers(self.known_router_count)
        self.rate_by_router[router] = 0.0
        self.cut(router)

    def elect(self, epoch, first=False, informed=None):
        owner = self.make_owner(epoch, self.now, first=first)
        owner.set_accounts([ACCOUNT])
        self.owner_by_epoch[epoch] = owner
        for router, holder in self.holder_by_router.items():
            if informed is None or router in informed:
                holder.set_owner(epoch)

    def cut(self, router):
        """Drops the messages in flight."""
        self.demands[router].clear()
        self.grants[router].clear()

    def send_demand(self, router, requests):
        holder = self.holder_by_router[router]
        for _ in range(requests):
            holder.take(self.now, ACCOUNT, 0.0)
        demand = holder.make_demand(self.now)
        if demand is not None:
            self.demands[router].append(demand)

    def answer_demand(self, router):
        """Passes the router's oldest demand to the owner of its epoch."""
        if not self.demands[router]:
            return
        demand = self.demands[router].pop(0)
        owner = self.owner_by_epoch.get(demand.epoch)
        grant = owner and owner.handle_demand(self.now, router, demand)
        if grant is not None:
            self.grants[router].append(grant)

    def deliver_grant(self, router):
        if self.grants[router]:
            grant = self.grants[router].pop(0)
            self.holder_by_router[router].apply_grant(self.now, grant)

    def rates(self):
        return {
            router: holder.rate(self.now, ACCOUNT, REQUESTS)
            for router, holder in self.holder_by_router.items()
        }

    def run(self, seconds, rate_by_router):
        """Runs without message loss; returns the allowed requests by router."""
        allowed = collections.Counter()
        rng = random.Random(1)
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for router, holder in self.holder_by_router.items():
                if router in self.paused:
                    continue
                mean = rate_by_router.get(router, 0.0) * TICK_SECONDS
                count = int(mean) + (rng.random() < mean % 1)
                for _ in range(count):
                    verdict = holder.take(self.now, ACCOUNT, 0.0)
                    allowed[router] += verdict.allowed
                self.send_demand(router, 0)
                self.answer_demand(router)
                self.deliver_grant(router)
        return allowed


def router_names(fleet):
    return list(fleet.holder_by_router)


class DivisionTest(unittest.TestCase):
    def test_shares_follow_demand(self):
        cases = {
            "equal": ((60, 60, 60), (1 / 3, 1 / 3, 1 / 3)),
            "skewed": ((300, 60, 15), (0.8, 0.16, 0.04)),
            "one only": ((300, 0, 0), (1, 0, 0)),
        }
        for name, (demand, expected) in cases.items():
            with self.subTest(name):
                fleet = Fleet(3)
                fleet.elect(1, first=True)
                rates = dict(zip(router_names(fleet), demand, strict=True))
                fleet.run(20, rates)
                allowed = fleet.run(20, rates)
                self.assertAlmostEqual(allowed.total(), 20 * LIMIT, delta=60)
                for router, share in zip(
                    router_names(fleet), expected, strict=True
                ):
                    self.assertAlmostEqual(
                        allowed[router] / allowed.total(),
                        share,
                        delta=0.02 + (1 - shares.MIN_KEPT_SHARE_RATIO) * share,
                    )

    def test_share_of_a_lost_router_is_reclaimed(self):
        fleet = Fleet(3)
        fleet.elect(1, first=True)
        first, second, _ = router_names(fleet)
        rates = {first: 200.0, second: 200.0}
        fleet.run(20, rates)
        fleet.paused.add(first)
        fleet.run(shares.LEASE_SECONDS + 2, rates)
        allowed = fleet.run(10, rates)
        self.assertGreater(allowed[second], 0.95 * 10 * LIMIT)

    def test_paused_router_resumes_without_its_share(self):
        fleet = Fleet(3)
        fleet.elect(1, first=True)
        first, second, _ = router_names(fleet)
        rates = {first: 200.0, second: 200.0}
        fleet.run(20, rates)
        fleet.paused.add(first)
        fleet.run(30, rates)
        self.assertLess(fleet.rates()[first], 0.01 * LIMIT)
        holder = fleet.holder_by_router[first]
        taken = [holder.take(fleet.now, ACCOUNT, 0.0) for _ in range(200)]
        self.assertLess(sum(v.allowed for v in taken), 0.06 * LIMIT)

    def test_new_router_gets_its_share_soon(self):
        fleet = Fleet(3, known_router_count=4)
        fleet.elect(1, first=True)
        rates = dict.fromkeys(router_names(fleet), 200.0)
        fleet.run(20, rates)
        added = ids.VmId("entry-9")
        fleet.add_router(added)
        fleet.holder_by_router[added].set_owner(1)
        rates[added] = 200.0
        fleet.run(12, rates)
        self.assertGreater(
            fleet.rates()[added], shares.MIN_KEPT_SHARE_RATIO * 0.9 * LIMIT / 4
        )

    def test_new_limit_applies_at_the_next_grant(self):
        fleet = Fleet(2)
        fleet.elect(1, first=True)
        rates = dict.fromkeys(router_names(fleet), 200.0)
        fleet.run(20, rates)
        lower = ACCOUNT.model_copy(update={"requests_per_second": 10.0})
        fleet.owner_by_epoch[1].set_accounts([lower])
        fleet.run(2 * shares.LEASE_SECONDS, rates)
        total = sum(
            holder.rate(fleet.now, lower, REQUESTS)
            for holder in fleet.holder_by_router.values()
        )
        self.assertLessEqual(total, 10.0 + EPSILON)


class TwoOwnersTest(unittest.TestCase):
    def test_new_owner_waits_for_earlier_leases_to_expire(self):
        fleet = Fleet(2)
        fleet.elect(1, first=True)
        rates = dict.fromkeys(router_names(fleet), 200.0)
        fleet.run(20, rates)
        fleet.elect(2)
        for _ in range(40):
            fleet.run(TICK_SECONDS, rates)
            self.assertLessEqual(sum(fleet.rates().values()), LIMIT + EPSILON)
        self.assertGreater(sum(fleet.rates().values()), 0.9 * LIMIT)

    def test_superseded_owner_is_ignored(self):
        fleet = Fleet(2)
        fleet.elect(1, first=True)
        router = router_names(fleet)[0]
        fleet.send_demand(router, 50)
        old = fleet.demands[router][0]
        late = fleet.owner_by_epoch[1].handle_demand(0.0, router, old)
        fleet.elect(2)
        holder = fleet.holder_by_router[router]
        self.assertFalse(holder.apply_grant(0.1, late))
        newer = share_holder.ShareHolder()
        newer.set_owner(2)
        newer.take(0.1, ACCOUNT, 0.0)
        demand = newer.make_demand(0.1)
        self.assertIsNone(
            fleet.owner_by_epoch[1].handle_demand(0.1, router, demand)
        )

    def test_outdated_demand_is_not_answered(self):
        fleet = Fleet(2)
        fleet.elect(1, first=True)
        router = router_names(fleet)[0]
        holder = fleet.holder_by_router[router]
        owner = fleet.owner_by_epoch[1]
        fleet.send_demand(router, 10)
        fleet.now += 1.0
        fleet.send_demand(router, 50)
        first, second = fleet.demands[router]
        grant = owner.handle_demand(fleet.now, router, second)
        self.assertIsNone(owner.handle_demand(fleet.now, router, first))
        self.assertTrue(holder.apply_grant(fleet.now, grant))
        fleet.now += 2 * shares.LEASE_SECONDS
        self.assertIsNotNone(owner.handle_demand(fleet.now, router, first))

    def test_excess_after_a_partition_ends_within_one_lease_of_the_notice(self):
        fleet = Fleet(4, known_router_count=4)
        fleet.elect(1, first=True)
        rates = dict.fromkeys(router_names(fleet), 200.0)
        fleet.run(20, rates)
        near = router_names(fleet)[:2]
        fleet.elect(2, informed=near)
        fleet.run(20, rates)
        total = sum(fleet.rates().values())
        self.assertGreater(total, 1.5 * LIMIT)
        self.assertLessEqual(total, 2 * LIMIT + EPSILON)
        for holder in fleet.holder_by_router.values():
            holder.set_owner(2)
        fleet.run(shares.LEASE_SECONDS, rates)
        self.assertLessEqual(sum(fleet.rates().values()), LIMIT + EPSILON)


class HolderTest(unittest.TestCase):
    def test_rate_without_an_owner(self):
        cases = {
            "single": (1, 0, LIMIT),
            "three, none heard of": (3, 0, LIMIT / 3),
            "three, no lease": (3, 1, LIMIT * shares.RESERVED_LIMIT_RATIO / 3),
        }
        for name, (routers, epoch, rate) in cases.items():
            with self.subTest(name):
                holder = share_holder.ShareHolder()
                holder.set_routers(routers)
                holder.set_owner(epoch)
                self.assertAlmostEqual(
                    holder.rate(0.0, ACCOUNT, REQUESTS), rate
                )

    def test_lost_grant_ends_the_share_that_it_lowered(self):
        cases = {
            "real": (share_holder.ShareHolder, False),
            "broken": (GapIgnoringHolder, True),
        }
        for name, (holder_class, exceeds) in cases.items():
            with self.subTest(name):
                total = self._lose_a_grant(holder_class)
                self.assertEqual(total > LIMIT + EPSILON, exceeds, total)

    def _lose_a_grant(self, holder_class):
        """Has a lost grant acknowledged by a grant of another account."""
        other = utils.make_account("b", requests_per_second=LIMIT)
        owner = shares.ShareOwner(1, 0.0, first=True)
        owner.set_accounts([ACCOUNT, other])
        requester, rival = holder_class(), holder_class()
        for holder in (requester, rival):
            holder.set_routers(2)
            holder.set_owner(1)

        def exchange(holder, now, account, requests, lost=False):
            for _ in range(requests):
                holder.take(now, account, 0.0)
            demand = holder.make_demand(now)
            vm = ids.VmId("rival" if holder is rival else "asker")
            grant = owner.handle_demand(now, vm, demand)
            if not lost:
                holder.apply_grant(now, grant)

        exchange(requester, 0.0, ACCOUNT, 100)
        exchange(rival, 0.1, ACCOUNT, 900)
        exchange(requester, 2.1, ACCOUNT, 0, lost=True)
        exchange(requester, 2.2, other, 10)
        exchange(requester, 4.15, ACCOUNT, 0, lost=True)
        exchange(rival, 4.2, ACCOUNT, 900)
        return sum(h.rate(4.3, ACCOUNT, REQUESTS) for h in (requester, rival))

    def test_only_active_accounts_are_in_demands(self):
        holder = share_holder.ShareHolder()
        holder.set_routers(3)
        holder.set_owner(1)
        for number in range(300):
            account = utils.make_account(f"a-{number}", requests_per_second=5)
            holder.take(0.0, account, 0.0)
        unlimited = utils.make_account("unlimited")
        holder.take(0.0, unlimited, 0.0)
        asked = set()
        for step in range(5):
            demand = holder.make_demand(step / 8)
            self.assertLessEqual(len(demand.requests_by_account), 64)
            asked |= set(demand.requests_by_account)
        self.assertEqual(asked, {f"a-{number}" for number in range(300)})
        self.assertIsNone(holder.make_demand(60.0))
        holder.remove_idle_accounts(share_holder.ACCOUNT_IDLE_SECONDS + 1)
        self.assertEqual(len(holder), 0)

    def test_refusal_by_one_resource_consumes_none_of_the_other(self):
        holder = share_holder.ShareHolder()
        account = utils.make_account(
            "a", requests_per_second=1.0, tokens_per_second=1.0
        )
        for _ in range(3):
            self.assertTrue(holder.take(0.0, account, 1.0).allowed)
        self.assertFalse(holder.take(0.0, account, 500.0).allowed)
        self.assertTrue(holder.take(0.0, account, 1.0).allowed)
        self.assertFalse(holder.take(0.0, account, 1.0).allowed)


class UnacknowledgedDivision(shares.Division):
    """Faulty: frees a lowered share before it is acknowledged."""

    def grant(self, now, router, demand, sequence):
        share = super().grant(now, router, demand, sequence)
        self.acknowledge(router, sequence)
        return share


class NonWaitingOwner(shares.ShareOwner):
    """Faulty: does not wait for the leases of an earlier owner."""

    def __init__(self, epoch, now, *, first=False):
        super().__init__(epoch, now, first=True)


class GapIgnoringHolder(share_holder.ShareHolder):
    """Faulty: accepts a grant although an earlier one was lost."""

    def _expire_unanswered_shares(self, now, sequence):
        pass


class ShareMachine(stateful.RuleBasedStateMachine):
    """Delivers messages in any order; the oracle is the sum of the shares."""

    division = shares.Division
    owner = shares.ShareOwner

    def __init__(self):
        super().__init__()
        self._real = shares.Division
        shares.Division = self.division
        self.fleet = Fleet(3, self.owner, known_router_count=3)
        self.fleet.elect(1, first=True)
        self.epoch = 1

    def teardown(self):
        shares.Division = self._real

    def router(self, pick):
        return router_names(self.fleet)[pick]

    @stateful.rule(pick=st.integers(0, 2), requests=st.integers(0, 60))
    def send_demand(self, pick, requests):
        self.fleet.send_demand(self.router(pick), requests)

    @stateful.rule(pick=st.integers(0, 2))
    def answer_demand(self, pick):
        self.fleet.answer_demand(self.router(pick))

    @stateful.rule(pick=st.integers(0, 2))
    def deliver_grant(self, pick):
        self.fleet.deliver_grant(self.router(pick))

    @stateful.rule(
        requests=st.lists(
            st.sampled_from((0, 0, 5, 60)), min_size=3, max_size=3
        ),
        heard=st.lists(st.booleans(), min_size=3, max_size=3),
    )
    def round(self, requests, heard):
        """Advances by half a second: all send demands, some receive grants."""
        self.fleet.now += TICK_SECONDS
        for pick, (count, informed) in enumerate(
            zip(requests, heard, strict=True)
        ):
            router = self.router(pick)
            self.fleet.send_demand(router, count)
            self.fleet.answer_demand(router)
            if informed:
                self.fleet.deliver_grant(router)

    @stateful.rule(pick=st.integers(0, 2))
    def cut(self, pick):
        self.fleet.cut(self.router(pick))

    @stateful.rule(pick=st.integers(0, 2))
    def restart(self, pick):
        router = self.router(pick)
        self.fleet.add_router(router)
        self.fleet.holder_by_router[router].set_owner(self.epoch)

    @stateful.rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 4.0)))
    def wait(self, seconds):
        self.fleet.now += seconds

    @stateful.precondition(lambda self: self.fleet.now > 6 * self.epoch)
    @stateful.rule()
    def elect(self):
        self.epoch += 1
        self.fleet.elect(self.epoch)

    @stateful.invariant()
    def sum_stays_within_limit(self):
        rates = self.fleet.rates()
        assert sum(rates.values()) <= LIMIT + EPSILON, rates


class FuzzTest(unittest.TestCase):
    def test_sum_never_exceeds_the_limit(self):
        stateful.run_state_machine_as_test(ShareMachine, settings=FUZZ)

    def test_oracle_detects_faulty_variants(self):
        cases = {
            "lowered share free at once": {"division": UnacknowledgedDivision},
            "owner does not wait": {"owner": NonWaitingOwner},
        }
        fuzz_settings = hypothesis.settings(FIND_ONLY, max_examples=200)
        for name, broken in cases.items():
            with self.subTest(name):
                machine = type("M", (ShareMachine,), broken)
                with self.assertRaises(AssertionError):
                    stateful.run_state_machine_as_test(
                        machine, settings=fuzz_settings
                    )


class ControllerTest(unittest.TestCase):
    def make_controllers(self, routers=3):
        """Makes controllers joined by connections that encode each message."""
        self.controller_by_vm = {}
        self.board_by_vm = {}
        self.clock_by_vm = {}
        self.sent_bytes = collections.Counter()
        for number in range(routers):
            self.add_controller(ids.VmId(f"entry-{number}"), routers)

    def add_controller(self, vm, routers):
        board = blackboard.Blackboard()
        declared = utils.make_declaration(client_accounts=(ACCOUNT,))
        board.write(
            blackboard_entries.CONFIGURATION,
            blackboard_entries.ConfigurationInForce(
                configuration.NO_HEAD, declared
            ),
            blackboard.Controller.CONFIGURATION,
        )

        def post(target, message):
            frame = codec.encode(message)
            self.sent_bytes[vm] += len(frame)
            peer = self.controller_by_vm.get(target)
            if peer is not None:
                peer.handle_message(vm, codec.decode(frame))
            return peer is not None

        self.clock_by_vm[vm] = clocks.PausableClock()
        self.board_by_vm[vm] = board
        self.controller_by_vm[vm] = share_controller.ShareController(
            vm,
            board=board,
            clock=self.clock_by_vm[vm],
            metrics=metric.MemoryMetrics(),
            post_to_router=post,
            count_routers=lambda: routers,
        )

    def elect(self, vm, number):
        for board in self.board_by_vm.values():
            board.write(
                blackboard_entries.LEADER,
                blackboard_entries.Leader(
                    ids.VmId(vm), ids.FencingNumber(number)
                ),
                blackboard.Controller.LEASE,
            )

    async def make_requests(self, seconds, rate=100.0):
        """Makes requests at `rate` and returns the allowed ones by router."""
        allowed = collections.Counter()
        clock = clocks.LoopClock()
        for _ in range(round(seconds / 0.1)):
            await clock.sleep(0.1)
            for vm, controller in self.controller_by_vm.items():
                for _ in range(round(rate * 0.1)):
                    allowed[vm] += controller.take(ACCOUNT, 0.0).allowed
        return allowed

    def test_owner_serves_all_routers_and_its_successor_takes_over(self):
        async def scenario():
            self.make_controllers()
            self.elect("entry-0", 1)
            runs = [
                asyncio.ensure_future(controller.run())
                for controller in self.controller_by_vm.values()
            ]
            await self.make_requests(10)
            first = await self.make_requests(10)
            self.elect("entry-1", 2)
            await self.make_requests(15)
            second = await self.make_requests(10)
            owners = [c.is_owner for c in self.controller_by_vm.values()]
            for run in runs:
                run.cancel()
            return first, second, owners

        first, second, owners = virtual_time.run(scenario())
        for allowed in (first, second):
            self.assertAlmostEqual(allowed.total(), 10 * LIMIT, delta=60)
            for count in allowed.values():
                self.assertGreater(
                    count, shares.MIN_KEPT_SHARE_RATIO * 10 * LIMIT / 3 - 20
                )
        self.assertEqual(owners, [False, True, False])

    def test_resumed_owner_grants_nothing_for_one_lease(self):
        async def scenario():
            self.make_controllers(2)
            self.elect("entry-0", 1)
            owner = self.controller_by_vm["entry-0"]
            owner.tick()
            clock = clocks.LoopClock()
            await clock.sleep(30.0)
            owner.tick()
            requester = self.controller_by_vm["entry-1"]
            requester.take(ACCOUNT, 0.0)
            requester.tick()
            return self.sent_bytes["entry-0"]

        self.assertEqual(virtual_time.run(scenario()), 0)


if __name__ == "__main__":
    unittest.main()
