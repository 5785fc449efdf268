"""Random troubles of the store, against a model of what may be believed."""

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from nutmeglift_gateway import freshness
from tests import virtual_time
from tests.gateway import confirmation_scenario

INDICES = st.integers(0, 2)
COUNTS = st.integers(1, 4)
SECONDS = st.sampled_from([0.1, 0.3, 0.5, 0.9])
LONGER_SECONDS = st.sampled_from([0.3, 1.0, 2.0, 3.0])
AWAY_SECONDS = st.sampled_from([0.0, 0.1, 0.5, 1.0, 2.0, 3.0])
COPY_AGES = st.sampled_from([0.1, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0])
GAP_SECONDS = st.sampled_from([0.0, 0.1, 0.5, 1.0, 1.8])
WRITES = (
    st.tuples(
        st.just("write"), st.integers(1, 5), st.booleans(), st.just(True)
    ),
    st.tuples(st.just("storm"), st.integers(2, 5)),
)
WAITS = (
    st.tuples(st.just("wait"), LONGER_SECONDS),
    st.tuples(st.just("renew"), st.sampled_from([1, 20, 200])),
)
DRILLS = (
    st.tuples(
        st.just("drill"),
        AWAY_SECONDS,
        COPY_AGES,
        GAP_SECONDS,
        st.sampled_from(["newest", "all", "next"]),
    ),
)
UNREADABLE = (
    st.tuples(
        st.just("write"), st.integers(1, 5), st.booleans(), st.just(False)
    ),
)
TROUBLES = (
    st.tuples(st.just("lose"), INDICES, COUNTS),
    st.tuples(st.just("delay"), INDICES, COUNTS, SECONDS),
    st.tuples(
        st.just("reject"), INDICES, st.sampled_from([429, 503]), LONGER_SECONDS
    ),
    st.tuples(st.just("cut_watches")),
    st.tuples(st.just("drop_history"), INDICES),
    st.tuples(st.just("list_in_pages"), INDICES, st.sampled_from([1, 500])),
    st.tuples(st.just("silence_watches"), INDICES, LONGER_SECONDS),
    st.tuples(st.just("restart"), INDICES),
    st.tuples(st.just("cut_links"), INDICES, LONGER_SECONDS),
    st.tuples(st.just("hold_links"), INDICES, SECONDS),
    st.tuples(st.just("plan"), INDICES),
)
FORGERIES = (
    st.tuples(
        st.just("forge_era"),
        INDICES,
        st.sampled_from(["missing", "falling", "malformed"]),
        COUNTS,
    ),
)
MAX_STEP_COUNT = 12
REUSED_REVISION = [("storm", 2), ("drill", 0.0, 0.1, 0.0, "newest")]
"""The newest version gets the revision that the one before it had."""
LOST_REVOCATION = [("storm", 2), ("drill", 0.0, 1.0, 1.0, "newest")]
REVISIONS_BELOW = [
    ("write", 2, False, True),
    ("renew", 200),
    ("wait", 3.0),
    ("drill", 0.5, 5.0, 0.5, "next"),
    ("wait", 3.0),
]
"""All that is written after the restore has revisions below the known ones."""
UNREAD = [("write", 1, False, True), ("drill", 2.0, 0.3, 1.8, "newest")]
"""No router read the version that the copy lacks."""
STARTED_IN_GAP = [*UNREAD, ("restart", 1), ("wait", 3.0)]
TWICE = [
    ("storm", 5),
    ("drill", 1.0, 10.0, 0.0, "all"),
    ("drill", 2.0, 5.0, 1.0, "all"),
]


def find_problems(router_count, era, steps):
    """Returns what routers did against the rules, with its first time."""

    async def run():
        loop = asyncio.get_running_loop()
        with mock.patch.object(freshness, "boot_clock", loop.time):
            scenario = confirmation_scenario.Scenario(router_count, era)
            await scenario.play(steps)
        return scenario.reference.problems

    return virtual_time.run(run())


def make_settings(max_examples):
    """Returns settings for CI, in which a failure is not shrunk for minutes."""
    return hypothesis.settings(
        max_examples=max_examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def make_steps(*groups):
    """Returns lists of steps from groups, each with its weight."""
    weighted = [
        step
        for weight, steps in groups
        for step in steps
        for _ in range(weight)
    ]
    return st.lists(
        st.sampled_from(weighted).flatmap(lambda step: step),
        max_size=MAX_STEP_COUNT,
    )


class ConfirmationModelTest(unittest.TestCase):
    @make_settings(60)
    @hypothesis.given(
        st.integers(1, 3),
        make_steps((3, WRITES), (1, WAITS), (1, TROUBLES), (1, UNREADABLE)),
    )
    def test_without_a_restore(self, router_count, steps):
        self.assertEqual(find_problems(router_count, None, steps), {})

    @make_settings(100)
    @hypothesis.example(1, None, REUSED_REVISION)
    @hypothesis.example(1, 1, LOST_REVOCATION)
    @hypothesis.example(3, 1, REVISIONS_BELOW)
    @hypothesis.example(3, 1, TWICE)
    @hypothesis.example(1, 1, UNREAD)
    @hypothesis.example(3, 1, STARTED_IN_GAP)
    @hypothesis.given(
        st.integers(1, 3),
        st.sampled_from([None, 1, 7]),
        make_steps(
            (4, WRITES), (2, WAITS), (5, DRILLS), (1, TROUBLES), (1, UNREADABLE)
        ),
    )
    def test_with_restores(self, router_count, era, steps):
        self.assertEqual(find_problems(router_count, era, steps), {})

    @make_settings(40)
    @hypothesis.example(3, REVISIONS_BELOW)
    @hypothesis.given(
        st.integers(1, 3),
        make_steps((2, WRITES), (1, WAITS), (3, DRILLS), (3, FORGERIES)),
    )
    def test_with_headers_that_are_wrong(self, router_count, steps):
        self.assertEqual(find_problems(router_count, 3, steps), {})

    def test_answers_that_leave_out_an_era_that_is_known(self):
        for kind in ("missing", "malformed"):
            with self.subTest(kind):
                steps = [
                    ("storm", 2),
                    ("forge_era", 0, kind, 2),
                    ("drill", 0.0, 0.1, 0.0, "next"),
                    ("renew", 1),
                    ("wait", 1.0),
                ]
                self.assertEqual(find_problems(1, 3, steps), {})


if __name__ == "__main__":
    unittest.main()
