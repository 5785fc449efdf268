"""Forecasts of a request's first event."""

import dataclasses
import unittest

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import path_costs
from nutmeglift_gateway import paths
from nutmeglift_gateway.load import first_event
from tests.gateway import rig

ENGINE = dataclasses.replace(
    rig.ENGINE,
    kind_by_name={"even": catalog.RunnerKind("even", 72000.0, 1.0, 2.0)},
    step_seconds=0.008,
    sequence_seconds=0.0,
    context_seconds=0.0,
    prompt_tokens_per_second=10000.0,
    activation_bytes=1e4,
    pipe_mbps=80.0,
    domain_delay=0.004,
)
PROMPT_TOKENS = 1000
"""Takes 0.2 s."""


def make_path(domains="aa"):
    """Returns a path over equal parts, one in each domain."""
    count = len(domains)
    each = ENGINE.layers // count
    parts = tuple(
        paths.Part(
            rig.make_server(
                f"i-{number}",
                address=f"10.0.0.{number}:1",
                domain=ids.FailureDomain(domain),
                kind="even",
                layers=directory.LayerRange(
                    number * each, number * each + each
                ),
            ),
            number * each,
            number * each + each,
        )
        for number, domain in enumerate(domains)
    )
    return paths.Path(parts, 0.008)


class FirstEventTest(unittest.TestCase):
    def test_the_first_event(self):
        chunked = {"prompt_chunk_tokens": 500}
        # engine, domains, prompts ahead, pace, seconds; the first event takes
        # one and a half steps after the prompt
        cases = [
            ({}, "a", 0, 1.0, 0.208 + 0.012),
            ({}, "aa", 0, 1.0, 0.208 + 0.012),
            # All prompts ahead come first on one runner, half of their time
            # on two of them, because they process successive prompts.
            ({}, "a", 2, 1.0, 0.4 + 0.208 + 0.012),
            ({}, "aa", 2, 1.0, 0.2 + 0.208 + 0.012),
            ({}, "a", 0, 3.0, 3 * 0.208 + 0.012),
            # A step comes with each chunk; two parts process two at a time.
            (chunked, "a", 0, 1.0, 2 * 0.108 + 0.012),
            (chunked, "aa", 0, 1.0, 1.5 * 0.108 + 0.012),
            (chunked, "a", 1, 1.0, 2 * 2 * 0.108 + 0.012),
            ({"prompt_pair_seconds": 1e-7}, "a", 0, 1.0, 0.308 + 0.012),
            # A crossing sends the activations of the prompt.
            ({}, "ab", 0, 1.0, 0.208 + 0.012 + 1.004),
            ({"step_seconds": 0.0}, "a", 0, 1.0, 0.2 + 0.012),
        ]
        for changes, domains, ahead, pace, seconds in cases:
            with self.subTest(changes=changes, domains=domains, ahead=ahead):
                self.assertAlmostEqual(
                    self.forecast(
                        changes, domains, ahead, pace
                    ).first_event_seconds,
                    seconds,
                )

    def test_the_time_between_events(self):
        # prompts ahead, seconds
        cases = [
            (0, 4 * 0.008),
            # A chunk of another prompt in each step.
            (1, 4 * (0.008 + 0.1)),
            (3, 4 * (0.008 + 0.1)),
        ]
        for ahead, seconds in cases:
            with self.subTest(ahead=ahead):
                found = self.forecast(
                    {"prompt_chunk_tokens": 500}, "a", ahead, 1.0
                )
                self.assertAlmostEqual(found.event_seconds, seconds)

    def forecast(self, changes, domains, ahead, pace):
        """Returns the forecast behind a number of equal prompts."""
        engine = dataclasses.replace(ENGINE, **changes)
        tracker = loads.LoadTracker()
        path = make_path(domains)
        reservations = path.reservations(0.0, PROMPT_TOKENS)
        tracker.reserve(reservations)
        for _ in range(ahead):
            tracker.begin_prompts(reservations)
        costs = path_costs.PathCosts(engine, tracker, lambda _: pace)
        return first_event.forecast(engine, costs, path, PROMPT_TOKENS)


if __name__ == "__main__":
    unittest.main()
