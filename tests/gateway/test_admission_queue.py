"""Who waits, who is sent and who is refused, without a network."""

import random
import unittest

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway.load import admission_queue
from nutmeglift_gateway.load import demand
from nutmeglift_gateway.load import events
from nutmeglift_gateway.load import judgement
from nutmeglift_gateway.load import room
from nutmeglift_gateway.load import urgency
from tests.gateway import rig

NOW = 100.0
CALM = room.Offer(0.1, 0.1, 0.2, 50000.0)
SLOW = room.Offer(0.3, 0.4, 0.2, 50000.0)
"""More urgent ones would get their first event in 0.4 s after it."""
HOPELESS = room.Offer(1.5, 1.4, 0.2, 50000.0)
CROWDED = room.Offer(0.1, 0.1, 0.9, 50000.0)
FULL_LINKS = room.Offer(0.1, 0.1, 0.2, 50000.0, link_used_ratio=0.7)
MIXED = {
    0: demand.Demand(30.0, 0.5, prompt_tokens=800.0, held_tokens=900.0),
    2: demand.Demand(12.0, 1.2, prompt_tokens=800.0, held_tokens=900.0),
}


def arrive(number, priority=2, account="a", **changes):
    values = {"objective": 0.5 if priority == 0 else 1.2, "received_at": NOW}
    values |= {"held_tokens": 900.0, "deadline": NOW + 25.0, "body_bytes": 100}
    values |= changes
    needs = room.RoomRequest(
        rig.MODEL,
        urgency.Urgency(
            priority, values["objective"], 0.3, values["received_at"]
        ),
        800,
        values["held_tokens"],
        priority,
    )
    return events.Arrived(
        number,
        ids.AccountId(account),
        needs,
        values["deadline"],
        values["body_bytes"],
    )


class QueueTestCase(unittest.TestCase):
    def setUp(self):
        self.room = room.InMemoryRoom()
        self.demand = demand.InMemoryDemand()
        self.demand.demand_by_priority = dict(MIXED)
        self.make_queue()

    def make_queue(self, **limits):
        self.queue = admission_queue.AdmissionQueue(
            self.room,
            self.demand,
            judgement.Limits(**limits),
            random.Random(1),
        )

    def handle(self, event, now=NOW, offer=None):
        """Returns the names and numbers of the actions but WakeAt."""
        self.room.next_offer = offer
        return [
            (type(action).__name__, action.number)
            for action in self.queue.handle(now, event)
            if not isinstance(action, events.WakeAt)
        ]

    def drain(self, now, offer):
        """Returns what passes without a change of room do, in order."""
        done = []
        while found := self.handle(events.RoomChanged(), now, offer):
            done += found
        return done


class ArrivalTest(QueueTestCase):
    TABLE = {
        # name: priority, offer, freed after, action (None: it waits)
        "calm": (2, CALM, None, "Dispatch"),
        "the most urgent": (0, SLOW, None, "Dispatch"),
        "the most urgent, crowded": (0, CROWDED, None, "Dispatch"),
        "more urgent ones would be late": (2, SLOW, None, None),
        "memory that more urgent ones need": (2, CROWDED, None, None),
        "links that more urgent ones need": (2, FULL_LINKS, None, None),
        "late in any case": (2, HOPELESS, None, "Dispatch"),
        "room in time": (2, None, 0.1, None),
        "urgent, room in time": (0, None, 0.1, None),
        "urgent, room too late": (0, None, 0.45, "Refuse"),
        "room too late": (2, None, 1.0, "Refuse"),
        "no layers": (2, None, None, "Dispatch"),
    }

    def test_arrival(self):
        for name, (priority, offer, freed, expected) in self.TABLE.items():
            with self.subTest(name):
                self.make_queue()
                self.room.freed_after = freed
                found = self.handle(arrive(1, priority), offer=offer)
                wanted = [(expected, 1)] if expected else []
                self.assertEqual(found, wanted)
                self.assertEqual(len(self.queue), int(expected is None))

    def test_one_priority_alone_is_sent_at_once_whatever_the_room(self):
        self.demand.demand_by_priority = {2: MIXED[2]}
        for offer in (CALM, SLOW, CROWDED, HOPELESS, None):
            self.assertEqual(
                self.handle(arrive(1), offer=offer), [("Dispatch", 1)]
            )

    def test_a_short_deadline_ends_the_wait_before_the_objective(self):
        arrived = arrive(1, deadline=NOW + 0.5)
        self.assertEqual(self.handle(arrived, offer=SLOW), [("Dispatch", 1)])


class WaitTest(QueueTestCase):
    def test_what_waits_is_sent_in_time_at_the_latest(self):
        self.room.next_offer = SLOW
        (wake,) = self.queue.handle(NOW, arrive(1))
        # 1.2 s, less a margin of 0.24 s and 0.3 s to its first event.
        self.assertAlmostEqual(wake.at, NOW + 0.66)
        self.assertEqual(self.drain(wake.at - 0.01, SLOW), [])
        self.assertEqual(self.drain(wake.at, SLOW), [("Dispatch", 1)])

    def test_what_waits_is_sent_when_it_harms_nobody(self):
        cases = {
            "load fell": (CALM, MIXED),
            "nothing more urgent": (SLOW, {2: MIXED[2]}),
        }
        for name, (offer, found) in cases.items():
            with self.subTest(name):
                self.demand.demand_by_priority = dict(MIXED)
                self.handle(arrive(1), offer=SLOW)
                self.demand.demand_by_priority = found
                self.assertEqual(self.drain(NOW, offer), [("Dispatch", 1)])
                self.assertEqual(len(self.queue), 0)

    def test_without_room_the_most_urgent_are_sent_first(self):
        self.room.freed_after = 0.05
        for number, priority in enumerate((2, 0, 2, 0), 1):
            self.handle(arrive(number, priority))
        sent = [number for _, number in self.drain(NOW, CALM)]
        self.assertEqual(sent, [2, 4, 1, 3])

    def test_without_room_the_least_urgent_are_refused_first(self):
        self.room.freed_after = 0.05
        for number, priority in enumerate((2, 0, 2, 0), 1):
            self.handle(arrive(number, priority))
        self.room.freed_after = 0.35
        # The first gets room after 0.35 s, the second after 0.7 s, and so on.
        found = self.drain(NOW, None)
        self.assertEqual(found, [("Refuse", 4), ("Refuse", 3)])
        self.assertEqual(len(self.queue), 2)

    def test_a_new_request_does_not_overtake_equally_urgent_ones(self):
        self.room.freed_after = 0.05
        self.handle(arrive(1, 0, held_tokens=5000.0))
        self.assertEqual(self.handle(arrive(2, 0), offer=CALM), [])
        self.assertEqual(
            self.drain(NOW, CALM), [("Dispatch", 1), ("Dispatch", 2)]
        )

    def test_a_pass_sends_one_request_and_asks_for_the_next_pass(self):
        self.room.freed_after = 0.05
        self.handle(arrive(1))
        self.handle(arrive(2))
        self.room.next_offer = CALM
        found = self.queue.handle(NOW, events.RoomChanged())
        self.assertEqual(found[0], events.Dispatch(1, found[0].detail))
        self.assertIn(events.WakeAt(NOW), found)

    def test_accounts_take_turns(self):
        self.room.freed_after = 0.001
        for number in range(1, 9):
            self.handle(arrive(number, 0, "hot"))
        self.handle(arrive(9, 0, "calm"))
        sent = [number for _, number in self.drain(NOW, CALM)]
        self.assertIn(9, sent[:2])

    def test_less_time_left_goes_first_within_an_account(self):
        self.room.freed_after = 0.001
        self.handle(arrive(1, 2, objective=1.2))
        self.handle(arrive(2, 2, objective=0.8))
        sent = [number for _, number in self.drain(NOW, CALM)]
        self.assertEqual(sent, [2, 1])

    def test_less_urgent_ones_get_some_room_beside_a_flood(self):
        self.room.freed_after = 0.001
        self.handle(arrive(1, 2, "batch"))
        for number in range(2, 42):
            self.handle(arrive(number, 0, "hot"))
        sent = [number for _, number in self.drain(NOW, CALM)]
        self.assertLess(sent.index(1), 30)

    def test_one_that_left_is_gone(self):
        self.handle(arrive(1), offer=SLOW)
        self.assertEqual(self.handle(events.Left(1)), [])
        self.assertEqual(self.handle(events.Left(1)), [])
        self.assertEqual(len(self.queue), 0)
        self.assertEqual(self.queue.handle(NOW, events.RoomChanged()), ())


class LimitTest(QueueTestCase):
    TABLE = {
        # name: limits, offer, freed after, actions of the third request
        "count, with room": ({"max_waiting": 2}, SLOW, None, "Dispatch"),
        "count, no room": ({"max_waiting": 2}, None, 0.01, "Refuse"),
        "bytes, with room": ({"max_bytes": 250.0}, SLOW, None, "Dispatch"),
        "bytes, no room": ({"max_bytes": 250.0}, None, 0.01, "Refuse"),
    }

    def test_the_queue_is_bounded(self):
        for name, (limits, offer, freed, expected) in self.TABLE.items():
            with self.subTest(name):
                self.make_queue(**limits)
                self.room.freed_after = freed
                self.handle(arrive(1, account="a"), offer=offer)
                self.handle(arrive(2, account="b"), offer=offer)
                found = self.handle(arrive(3, account="c"), offer=offer)
                self.assertEqual([kind for kind, _ in found], [expected])
                self.assertEqual(len(self.queue), 2)

    def test_a_more_urgent_request_displaces_a_less_urgent_one(self):
        self.make_queue(max_waiting=1)
        self.room.freed_after = 0.01
        self.handle(arrive(1, 2))
        self.assertEqual(self.handle(arrive(2, 0)), [("Refuse", 1)])

    def test_bytes_are_bounded_also_where_the_number_is(self):
        self.make_queue(max_waiting=2, max_bytes=1000.0)
        self.handle(arrive(1), offer=SLOW)
        self.handle(arrive(2), offer=SLOW)
        for number in range(3, 6):
            found = self.handle(arrive(number, 1, body_bytes=900), offer=SLOW)
            self.assertTrue(found)
            self.assertLessEqual(self.queue._bytes, 1000)

    def test_a_long_wait_ends_at_the_limit(self):
        self.make_queue(max_wait=1.0)
        self.room.next_offer = SLOW
        (wake,) = self.queue.handle(NOW, arrive(1, objective=8.0))
        self.assertAlmostEqual(wake.at, NOW + 0.7)


class RefusalTest(QueueTestCase):
    def refuse(self, priority):
        self.room.freed_after = 2.0
        self.room.next_offer = None
        (found,) = self.queue.handle(NOW, arrive(1, priority))
        return found

    def test_a_refusal_says_when_and_why(self):
        found = self.refuse(0)
        self.assertEqual(found.kind, errors.ErrorKind.OVERLOADED)
        self.assertEqual(found.reason, events.Reason.NOT_IN_TIME)
        self.assertIn(
            "no room for 900 tokens, expected in 2.000 s", found.detail
        )

    def test_callers_return_spread_and_the_more_urgent_first(self):
        urgent = [self.refuse(0).retry_after for _ in range(50)]
        others = [self.refuse(2).retry_after for _ in range(50)]
        self.assertGreater(len(set(urgent)), 10)
        self.assertLess(max(urgent), min(others))
        self.assertGreaterEqual(min(urgent), 2.0)
        self.assertLessEqual(max(others), judgement.MAX_RETRY_SECONDS)


class ShareTest(QueueTestCase):
    """Load: twice the capacity, for ten seconds."""

    def play(self, shares):
        """Returns how often each priority was asked, and sent in time."""
        rng = random.Random(7)
        asked = dict.fromkeys(shares, 0)
        sent = dict.fromkeys(shares, 0)
        priority_by_number = {}
        self.room.freed_after = 0.05
        for step in range(400):
            now = NOW + 0.025 * step
            priority = rng.choices(list(shares), list(shares.values()))[0]
            priority_by_number[step] = priority
            asked[priority] += 1
            found = self.handle(arrive(step, priority, received_at=now), now)
            if step % 2:
                found += self.handle(events.RoomChanged(), now, CALM)[:1]
            for kind, number in found:
                sent[priority_by_number[number]] += kind == "Dispatch"
        return asked, sent

    def test_the_urgent_are_served_and_nobody_starves(self):
        asked, sent = self.play({0: 0.4, 2: 0.6})
        served = sum(sent.values()) / sum(asked.values())
        ratios = {each: sent[each] / asked[each] for each in asked}
        self.assertGreater(served, 0.45)
        self.assertGreater(ratios[0], 0.9)
        self.assertGreater(ratios[2], served / 4)


if __name__ == "__main__":
    unittest.main()
