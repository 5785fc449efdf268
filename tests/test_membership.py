"""Tests of the view of the VMs."""

import asyncio
import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift import membership
from nutmeglift import messages
from nutmeglift import plan
from nutmeglift import states
from nutmeglift_router import blackboard_entries
from tests import utils
from tests import virtual_time

VM = ids.VmId("runner-1")
ENTRY = plan.VmEntry(
    VM, "10.2.0.1:7000", ids.FailureDomain("luzon-1"), "runner"
)
LEAVING_ENTRY = dataclasses.replace(ENTRY, leaving=True)
LIVE = states.VmState.LIVE
SUSPECT = states.VmState.SUSPECT
LEAVING = states.VmState.LEAVING
GONE = states.VmState.GONE


def hello(incarnation="one", vm=VM, leaving=False):
    """Returns an agent's Hello."""
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        states.ProcessRole.AGENT,
        ids.VmId(vm),
        ids.Incarnation(incarnation),
        ids.FailureDomain("luzon-1"),
        leaving=leaving,
    )


def beat(leaving=False):
    """Returns an agent's heartbeat."""
    return messages.Heartbeat(1, ids.Generation(1), leaving)


LISTED = ("list", [ENTRY])
LISTED_LEAVING = ("list", [LEAVING_ENTRY])
UNLISTED: tuple[str, list[plan.VmEntry]] = ("list", [])
UP = ("hello", hello())
DOWN = ("lost",)

CASES = {
    "listed only": ((LISTED,), SUSPECT),
    "joins": ((LISTED, UP), LIVE),
    "listed but dead": ((LISTED, UP, DOWN, LISTED), SUSPECT),
    "comes back": ((LISTED, UP, DOWN, UP), LIVE),
    "unlisted with a live connection": ((LISTED, UP, UNLISTED), LIVE),
    "unlisted, connection lost": ((LISTED, UP, UNLISTED, DOWN), SUSPECT),
    "unlisted and lost": ((LISTED, UP, DOWN, UNLISTED), GONE),
    "listed again": ((LISTED, UP, DOWN, UNLISTED, LISTED), SUSPECT),
    "gone, listed, connected": (
        (LISTED, UP, DOWN, UNLISTED, LISTED, UP),
        LIVE,
    ),
    "agent leaves": ((LISTED, UP, ("leaving",)), LEAVING),
    "its heartbeat says so": ((LISTED, UP, ("beat", beat(True))), LEAVING),
    "its Hello says so": ((LISTED, ("hello", hello(leaving=True))), LEAVING),
    "leaving is sticky": (
        (LISTED, UP, ("leaving",), ("beat", beat()), LISTED, DOWN, UP),
        LEAVING,
    ),
    "next incarnation starts afresh": (
        (LISTED, UP, ("leaving",), DOWN, ("hello", hello("two"))),
        LIVE,
    ),
    "list says leaving": ((LISTED, UP, LISTED_LEAVING), LEAVING),
    "listed as leaving from the start": ((LISTED_LEAVING, UP), LEAVING),
    "new incarnation, list still says leaving": (
        (LISTED, UP, LISTED_LEAVING, DOWN, ("hello", hello("two"))),
        LEAVING,
    ),
    "list takes leaving back": (
        (LISTED, UP, LISTED_LEAVING, LISTED),
        LIVE,
    ),
    "agent left, list takes leaving back": (
        (LISTED, UP, ("leaving",), LISTED_LEAVING, LISTED),
        LEAVING,
    ),
    "another VM under the same address": (
        (LISTED, ("hello", hello(vm="runner-9"))),
        SUSPECT,
    ),
    "heartbeat before any Hello": ((LISTED, ("beat", beat())), SUSPECT),
}


class MembershipTest(unittest.TestCase):
    def _play(self, steps, now=0.0):
        found = membership.Membership()
        for step in steps:
            match step:
                case ("list", listed):
                    found.record_list(listed, now)
                case ("hello", message):
                    found.record_hello(VM, message, now)
                case ("lost",):
                    found.record_lost(VM, now)
                case ("leaving",):
                    found.record_leaving(VM, now)
                case ("beat", message):
                    found.record_heartbeat(VM, message, now)
        return found

    def test_states(self):
        for name, (steps, state) in CASES.items():
            with self.subTest(name):
                found = self._play(steps)
                self.assertIs(found.member_by_vm[VM].state, state)
                usable = found.find_usable(VM) is not None
                self.assertEqual(usable, state is LIVE)

    def test_incarnation_is_the_last_heard(self):
        found = self._play((LISTED, UP, DOWN, ("hello", hello("two"))))
        self.assertEqual(found.member_by_vm[VM].incarnation, "two")

    def test_same_name_under_another_address_is_another_vm(self):
        found = self._play((LISTED, UP))
        moved = dataclasses.replace(ENTRY, address="10.2.0.9:7000")
        self.assertTrue(found.record_list([moved], 1.0))
        self.assertEqual(
            found.member_by_vm[VM], membership.Member(moved, SUSPECT)
        )

    def test_gone_is_forgotten_after_a_bound(self):
        found = self._play((LISTED, UNLISTED))
        self.assertIs(found.member_by_vm[VM].state, GONE)
        self.assertEqual(found.agent_addresses(), {})
        found.record_list([], membership.GONE_RETENTION_SECONDS - 1)
        self.assertIn(VM, found.member_by_vm)
        found.record_list([], membership.GONE_RETENTION_SECONDS)
        self.assertEqual(found.member_by_vm, {})

    def test_only_changes_are_told(self):
        found = self._play((LISTED, UP))
        newer = messages.Heartbeat(2, ids.Generation(7))
        for name, changed, expected in (
            ("same list", found.record_list([ENTRY], 1.0), False),
            ("heartbeat", found.record_heartbeat(VM, newer, 1.0), False),
            ("loss", found.record_lost(VM, 1.0), True),
            ("loss again", found.record_lost(VM, 1.0), False),
            ("return", found.record_hello(VM, hello(), 1.0), True),
        ):
            with self.subTest(name):
                self.assertEqual(changed, expected)

    def test_entry_vms_are_no_members(self):
        entry = plan.VmEntry(
            ids.VmId("entry-1"), "10.1.0.1:1", ENTRY.failure_domain, None
        )
        found = membership.Membership()
        found.record_list([entry, ENTRY], 0.0)
        self.assertEqual(list(found.member_by_vm), [VM])
        self.assertEqual(found.router_by_vm, {entry.vm: entry})


class ControllerTest(unittest.TestCase):
    def test_heartbeats_publish_nothing(self):
        async def scenario():
            world = utils.World()
            await world.start()
            before = world.router.board.read_versioned(
                blackboard_entries.MEMBERS
            )
            await asyncio.sleep(30.0)
            after = world.router.board.read_versioned(
                blackboard_entries.MEMBERS
            )
            await world.stop()
            return before.generation, after.generation

        before, after = virtual_time.run(scenario())
        self.assertEqual(before, after)

    def test_silent_and_returning_vm(self):
        async def scenario():
            world = utils.World()
            await world.start()
            vm = ids.VmId("runner-2")
            seen = []

            def look():
                member = world.router.membership.member_by_vm[vm]
                seen.append((member.state, member.incarnation))

            look()
            agent = world.agent_by_vm[vm]
            router = next(iter(world.router_by_vm.values()))
            world.network.silence(agent.address, router.address)
            await asyncio.sleep(5.0)
            look()
            await world.kill(vm)
            await asyncio.sleep(3.0)
            look()
            world.restart_agent(vm)
            await asyncio.sleep(4.0)
            look()
            await world.stop()
            return seen

        first, silent, dead, back = virtual_time.run(scenario())
        self.assertIs(first[0], LIVE)
        self.assertEqual(silent, first)
        self.assertEqual(dead, (SUSPECT, first[1]))
        self.assertIs(back[0], LIVE)
        self.assertNotEqual(back[1], first[1])


if __name__ == "__main__":
    unittest.main()
