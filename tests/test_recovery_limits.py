"""When a request is not sent to another agent."""

import unittest

from nutmeglift import ids
from nutmeglift import recovery


class EndedAgentsTest(unittest.TestCase):
    def test_a_request_that_ended_two_agents_is_not_sent_to_a_third(self):
        def lost(name):
            return recovery.Failure("lost", ids.VmId(name), lost=True)

        def reported(name):
            return recovery.Failure("died", ids.VmId(name))

        # Failures with the tokens released so far; VMs lost after them;
        # whether the request is ended by the last of all.
        cases = [
            ("two at the begin", [(lost("a"), 0), (lost("b"), 0)], [], True),
            ("one token each", [(lost("a"), 1), (lost("b"), 2)], [], True),
            ("one went on", [(lost("a"), 0), (lost("b"), 9)], [], False),
            ("both went on", [(lost("a"), 5), (lost("b"), 9)], [], False),
            ("not lost", [(reported("a"), 0), (reported("b"), 0)], [], False),
            (
                "lost once reported",
                [(reported("a"), 0), (reported("b"), 0)],
                ["a", "b"],
                True,
            ),
            ("others were lost", [(reported("a"), 0)], ["x", "y"], False),
            ("the same twice", [(lost("a"), 0), (lost("a"), 0)], [], False),
        ]
        for name, failures, lost_later, expected in cases:
            with self.subTest(name):
                request = recovery.RequestRecovery()
                for failure, released in failures:
                    action = request.fail(failure, released)
                ended = isinstance(action, recovery.Abort)
                for vm in lost_later:
                    ended = request.record_lost(ids.VmId(vm))
                self.assertEqual(ended, expected)
                if ended and not lost_later:
                    expected_ran = request.ran(failures[-1][1])
                    self.assertEqual(action.error.ran, expected_ran)


if __name__ == "__main__":
    unittest.main()
