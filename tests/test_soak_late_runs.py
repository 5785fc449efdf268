"""The soak finds requests that reach servers too long after they left."""

import types
from typing import Any
import unittest

from tests.soak import backend
from tests.soak import late_runs
from tests.soak import routers

LEFT_AT = 10.0
ENDED_AT = 14.0
LATE = LEFT_AT + late_runs.BOUND_SECONDS + 0.05


def make_router(**changes):
    fields = {
        "vm": "router-0",
        "waits": [],
        "disruptions": [],
        "store_disruptions": [],
        "terminated_at": [],
        "started_at": [],
    }
    return types.SimpleNamespace(**(fields | changes))


def interval(start, end):
    return [routers.Disruption(start, end)]


CASES: tuple[tuple[Any, ...], ...] = (
    # name, start of the run, router, lags of the soak, found
    ("late", LATE, {}, (), True),
    ("in time", LEFT_AT + late_runs.BOUND_SECONDS, {}, (), False),
    ("next lifetime", ENDED_AT + 0.1, {}, (), False),
    ("earlier", LEFT_AT - 0.1, {}, (), False),
    ("store down before", LATE, {"store_disruptions": interval(3.0, 6.9)}, (),
     True),
    ("store down when it left", LATE,
     {"store_disruptions": interval(3.0, 7.1)}, (), False),
    ("store down since", LATE, {"store_disruptions": interval(11.0, 11.1)},
     (), False),
    ("router paused", LATE, {"disruptions": interval(8.0, 9.5)}, (), False),
    ("router paused before", LATE, {"disruptions": interval(8.0, 9.0)}, (),
     True),
    ("router stopped", LATE, {"terminated_at": [10.0]}, (), False),
    ("router restarted", LATE, {"started_at": [10.0]}, (), False),
    ("router started before", LATE, {"started_at": [8.0]}, (), True),
    ("router without a processor", LATE, {"waits": [(11.0, 0.1)]}, (), False),
    ("soak late", LATE, {}, ((11.0, 0.1),), False),
    ("soak late before", LATE, {}, ((9.0, 0.1),), True),
)  # fmt: skip


class LateRunCheckTest(unittest.TestCase):
    def test_which_runs_are_late(self):
        sent = types.SimpleNamespace(id="request-1", vm="router-0")
        departure = backend.Departure("model-1", LEFT_AT, ENDED_AT)
        for name, started_at, changes, lags, found in CASES:
            with self.subTest(name):
                check = late_runs.LateRunCheck(
                    [departure], [make_router(**changes)], lags
                )
                run = backend.Run("model-1", backend.Fault.NONE, started_at)
                other = backend.Run("model-2", backend.Fault.NONE, started_at)
                problems = check.find(sent, [run, other])
                self.assertEqual(len(problems), int(found))


if __name__ == "__main__":
    unittest.main()
