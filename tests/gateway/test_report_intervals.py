"""How often routers report to each other."""

import unittest

from nutmeglift_gateway.load import report_intervals


class ReportIntervalTest(unittest.TestCase):
    def test_who_is_told_less_often(self):
        cases = [
            # name, peers, near, plans, interval, timeout
            ("few routers", 15, False, False, 0.25, 0.7),
            ("many, the same failure domain", 40, True, False, 0.25, 0.7),
            ("many, another one", 40, False, False, 0.5, 1.2),
            ("many, with the planner", 40, False, True, 0.25, 1.2),
        ]
        for name, count, is_near, plans, interval, timeout in cases:
            with self.subTest(name):
                self.assertEqual(
                    report_intervals.interval(
                        count, is_near=is_near, plans=plans
                    ),
                    interval,
                )
                self.assertEqual(
                    report_intervals.timeout(count, is_near=is_near), timeout
                )

    def test_two_reports_may_be_missing(self):
        for is_near in (True, False):
            for count in (1, 40):
                interval = report_intervals.interval(
                    count, is_near=is_near, plans=False
                )
                self.assertGreater(
                    report_intervals.timeout(count, is_near=is_near),
                    2 * interval,
                )


if __name__ == "__main__":
    unittest.main()
