"""Costs of paths, and what requests get under load."""

import collections
import heapq
import itertools
import unittest

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import path_costs
from nutmeglift_gateway import paths
from tests.gateway import rig

PROMPT_TOKENS = 800
RESPONSE_SECONDS = 0.1
HOME = ids.FailureDomain("a")


def runner(name, kind):
    return rig.make_server(
        name,
        domain=ids.FailureDomain(name),
        kind=kind,
        layers=directory.LayerRange(0, 80),
        address=f"{name}:1",
    )


class Deployment:
    """Pipelines of one runner each, which process prompts one by one."""

    def __init__(self, servers):
        self.servers = servers
        self.tracker = loads.LoadTracker()
        self.free_at = collections.defaultdict(float)
        self._events = []
        self._count = itertools.count()

    def send(self, now):
        """Sends a request; returns its time to the first event."""
        while self._events and self._events[0][0] <= now:
            _, _, end, reservations = heapq.heappop(self._events)
            end(reservations)
        finder = paths.PathFinder(rig.ENGINE, self.tracker, lambda _: 1.0)
        path = finder.find(self.servers, paths.PathRequirements(HOME, 900.0))
        reservations = path.reservations(900.0, PROMPT_TOKENS)
        self.tracker.reserve(reservations)
        self.tracker.begin_prompts(reservations)
        kind = rig.ENGINE.kind(path.first.kind)
        begins_at = max(now, self.free_at[path.first.id])
        first_event_at = begins_at + (
            PROMPT_TOKENS
            / rig.ENGINE.prompt_tokens_per_second
            * kind.prompt_time_factor
        )
        self.free_at[path.first.id] = first_event_at
        for at, end in (
            (first_event_at, self.tracker.end_prompts),
            (first_event_at + RESPONSE_SECONDS, self.tracker.release),
        ):
            entry = (at, next(self._count), end, reservations)
            heapq.heappush(self._events, entry)
        return first_event_at - now


class PromptWaitTest(unittest.TestCase):
    def test_requests_do_not_queue_at_the_fastest_pipeline(self):
        # The fast one alone can process 64 prompts a second, the two 89.
        deployment = Deployment(
            [runner("a", "whole-slow"), runner("b", "whole")]
        )
        waits = [deployment.send(number / 80) for number in range(800)]
        self.assertLess(max(waits), rig.STREAM.objective)

    def test_the_wait_for_prompts_ahead(self):
        server = runner("a", "whole")
        tracker = loads.LoadTracker()
        costs = path_costs.PathCosts(rig.ENGINE, tracker, lambda _: 2.0)
        path = paths.Path((paths.Part(server, 0, 80),), 0.0)
        reservations = path.reservations(0.0, 1640)
        tracker.reserve(reservations)
        cases = [
            (tracker.begin_prompts, 0.01 * 3.2 * 2.0),
            (tracker.begin_prompts, 0.02 * 3.2 * 2.0),
            (tracker.end_prompts, 0.01 * 3.2 * 2.0),
            (tracker.end_prompts, 0.0),
        ]
        for change, seconds in cases:
            change(reservations)
            self.assertAlmostEqual(costs.prompt_wait_seconds(server), seconds)


if __name__ == "__main__":
    unittest.main()
