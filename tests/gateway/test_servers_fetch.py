"""From which router the backend servers' entries are copied."""

import unittest

from nutmeglift_gateway import servers_fetch


def request(fetch, now, domain="a", **changes):
    state = {"age": 0.2, "own_age": 5.0, "is_down": False} | changes
    return fetch.should_request(now, domain, **state)


class ServersFetchTest(unittest.TestCase):
    def test_which_views_are_requested(self):
        cases = [
            # own age, peer's age, whether the store is down, requested
            (5.0, 0.2, False, True),
            (2.5, 0.2, False, False),
            (0.7, 0.2, False, False),
            (0.7, 0.2, True, False),
            (0.9, 0.2, True, True),
            (0.2, 0.9, True, False),
            (float("inf"), 0.2, False, True),
        ]
        for own_age, age, is_down, requested in cases:
            with self.subTest(own_age=own_age, age=age, is_down=is_down):
                self.assertIs(
                    request(
                        servers_fetch.ServersFetch("a"),
                        10.0,
                        age=age,
                        own_age=own_age,
                        is_down=is_down,
                    ),
                    requested,
                )

    def test_copies_come_from_one_router_at_a_time(self):
        fetch = servers_fetch.ServersFetch("a")
        count = sum(
            request(fetch, 10.0 + step * 0.01, domain)
            for step in range(200)
            for domain in "abcab"
        )
        self.assertEqual(count, 4)

    def test_another_failure_domain_is_asked_if_the_own_one_has_none(self):
        fetch = servers_fetch.ServersFetch("a")
        cases = [
            # now, peer's failure domain, peer's age, requested
            (10.0, "a", 0.2, True),
            (10.5, "b", 0.2, False),
            (10.5, "a", 0.2, True),
            (11.0, "a", 4.9, False),
            (11.0, "b", 0.2, False),
            (11.2, "b", 0.2, True),
            (11.3, "b", 0.2, False),
        ]
        for now, domain, age, requested in cases:
            with self.subTest(now=now, domain=domain):
                self.assertIs(request(fetch, now, domain, age=age), requested)


if __name__ == "__main__":
    unittest.main()
