"""Tests of the membership view of the VMs."""

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


def make_hello(incarnation="one", vm=VM, leaving=False):
    """Returns an agent's Hello."""
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        states.ProcessRole.AGENT,
        ids.VmId(vm),
        ids.Incarnation(incarnation),
        ids.FailureDomain("luzon-1"),
        leaving=leaving,
    )


def make_heartbeat(leaving=False):
    """Returns an agent's heartbeat."""
    return messages.Heartbeat(1, ids.Generation(1), leaving)


LISTED = ("list", [ENTRY])
LISTED_LEAVING = ("list", [LEAVING_ENTRY])
UNLISTED: tuple[str, list[plan.VmEntry]] = ("list", [])
UP = ("hello", make_hello())
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
    "leaving by heartbeat": (
        (LISTED, UP, ("beat", make_heartbeat(True))),
        LEAVING,
    ),
    "leaving in Hello": (
        (LISTED, ("hello", make_hello(leaving=True))),
        LEAVING,
    ),
    "leaving is sticky": (
        (
            LISTED,
            UP,
            ("leaving",),
            ("beat", make_heartbeat()),
            LISTED,
            DOWN,
            UP,
        ),
        LEAVING,
    ),
    "next incarnation is live": (
        (LISTED, UP, ("leaving",), DOWN, ("hello", make_hello("two"))),
        LIVE,
    ),
    "listed as leaving": ((LISTED, UP, LISTED_LEAVING), LEAVING),
    "listed as leaving from the start": ((LISTED_LEAVING, UP), LEAVING),
    "new incarnation, still listed as leaving": (
        (LISTED, UP, LISTED_LEAVING, DOWN, ("hello", make_hello("two"))),
        LEAVING,
    ),
    "no longer listed as leaving": (
        (LISTED, UP, LISTED_LEAVING, LISTED),
        LIVE,
    ),
    "agent left, no longer listed as leaving": (
        (LISTED, UP, ("leaving",), LISTED_LEAVING, LISTED),
        LEAVING,
    ),
    "another VM at the same address": (
        (LISTED, ("hello", make_hello(vm="runner-9"))),
        SUSPECT,
    ),
    "heartbeat before any Hello": (
        (LISTED, ("beat", make_heartbeat())),
        SUSPECT,
    ),
}


class MembershipTest(unittest.TestCase):
    def _apply_steps(self, steps, now=0.0):
        members = membership.Membership()
        for step in steps:
            match step:
                case ("list", listed):
                    members.record_list(listed, now)
                case ("hello", message):
                    members.record_hello(VM, message, now)
                case ("lost",):
                    members.record_lost(VM, now)
                case ("leaving",):
                    members.record_leaving(VM, now)
                case ("beat", message):
                    members.record_heartbeat(VM, message, now)
        return members

    def test_state_after_each_history(self):
        for name, (steps, state) in CASES.items():
            with self.subTest(name):
                members = self._apply_steps(steps)
                self.assertIs(members.member_by_vm[VM].state, state)
                usable = members.find_usable(VM) is not None
                self.assertEqual(usable, state is LIVE)

    def test_incarnation_is_the_most_recent(self):
        members = self._apply_steps(
            (LISTED, UP, DOWN, ("hello", make_hello("two")))
        )
        self.assertEqual(members.member_by_vm[VM].incarnation, "two")

    def test_same_name_at_another_address_is_a_new_vm(self):
        members = self._apply_steps((LISTED, UP))
        moved = dataclasses.replace(ENTRY, address="10.2.0.9:7000")
        self.assertTrue(members.record_list([moved], 1.0))
        self.assertEqual(
            members.member_by_vm[VM], membership.Member(moved, SUSPECT)
        )

    def test_gone_member_is_removed_after_the_retention_period(self):
        members = self._apply_steps((LISTED, UNLISTED))
        self.assertIs(members.member_by_vm[VM].state, GONE)
        self.assertEqual(members.agent_addresses(), {})
        members.record_list([], membership.GONE_RETENTION_SECONDS - 1)
        self.assertIn(VM, members.member_by_vm)
        members.record_list([], membership.GONE_RETENTION_SECONDS)
        self.assertEqual(members.member_by_vm, {})

    def test_updates_report_only_state_changes(self):
        members = self._apply_steps((LISTED, UP))
        newer = messages.Heartbeat(2, ids.Generation(7))
        for name, changed, expected in (
            ("same list", members.record_list([ENTRY], 1.0), False),
            ("heartbeat", members.record_heartbeat(VM, newer, 1.0), False),
            ("loss", members.record_lost(VM, 1.0), True),
            ("loss again", members.record_lost(VM, 1.0), False),
            ("return", members.record_hello(VM, make_hello(), 1.0), True),
        ):
            with self.subTest(name):
                self.assertEqual(changed, expected)

    def test_router_vms_are_not_members(self):
        entry = plan.VmEntry(
            ids.VmId("entry-1"), "10.1.0.1:1", ENTRY.failure_domain, None
        )
        members = membership.Membership()
        members.record_list([entry, ENTRY], 0.0)
        self.assertEqual(list(members.member_by_vm), [VM])
        self.assertEqual(members.router_by_vm, {entry.vm: entry})


class ControllerTest(unittest.TestCase):
    def test_heartbeats_do_not_change_the_blackboard(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start()
            before = cluster.router.board.read_versioned(
                blackboard_entries.MEMBERS
            )
            await asyncio.sleep(30.0)
            after = cluster.router.board.read_versioned(
                blackboard_entries.MEMBERS
            )
            await cluster.stop()
            return before.generation, after.generation

        before, after = virtual_time.run(scenario())
        self.assertEqual(before, after)

    def test_silent_killed_and_restarted_vm(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start()
            vm = ids.VmId("runner-2")
            seen = []

            def record_state():
                member = cluster.router.membership.member_by_vm[vm]
                seen.append((member.state, member.incarnation))

            record_state()
            agent = cluster.agent_by_vm[vm]
            router = next(iter(cluster.router_by_vm.values()))
            cluster.network.silence(agent.address, router.address)
            await asyncio.sleep(5.0)
            record_state()
            await cluster.kill(vm)
            await asyncio.sleep(3.0)
            record_state()
            cluster.restart_agent(vm)
            await asyncio.sleep(4.0)
            record_state()
            await cluster.stop()
            return seen

        first, silent, dead, back = virtual_time.run(scenario())
        self.assertIs(first[0], LIVE)
        self.assertEqual(silent, first)
        self.assertEqual(dead, (SUSPECT, first[1]))
        self.assertIs(back[0], LIVE)
        self.assertNotEqual(back[1], first[1])


if __name__ == "__main__":
    unittest.main()
