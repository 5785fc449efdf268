"""Retries over all routers stay within the budget in every window."""

import random
import unittest

from tests.gateway import retry_model


def run_steady(deployment):
    deployment.failing = 1.0
    deployment.play(30.0)


def lose_all_links(deployment):
    """All links are lost as a service fails."""
    deployment.play(12.0)
    names = list(deployment.router_by_name)
    for name in names:
        deployment.isolate({name})
    deployment.failing = 1.0
    deployment.play(15.0)
    deployment.cut.clear()
    deployment.play(12.0)


def lose_half(deployment):
    """The budget is spent by one half, which the other one then loses."""
    names = list(deployment.router_by_name)
    deployment.failing = 1.0
    deployment.play(9.0)
    deployment.isolate(set(names[: len(names) // 2]))
    deployment.play(12.0)


def crash_after_burst(deployment):
    """Routers that have spent crash, and the others do not know it."""
    deployment.play(12.0)
    deployment.failing = 1.0
    deployment.play(2.0)
    for name in list(deployment.router_by_name)[::2]:
        deployment.crash(name)
    deployment.play(15.0)


def stop_after_burst(deployment):
    deployment.play(12.0)
    deployment.failing = 1.0
    deployment.play(2.0)
    for name in list(deployment.router_by_name)[::2]:
        deployment.stop(name)
    deployment.play(15.0)


def restart_one_by_one(deployment):
    deployment.play(12.0)
    deployment.failing = 1.0
    for name in list(deployment.router_by_name):
        deployment.play(1.5)
        deployment.crash(name)
        deployment.play(0.7)
        deployment.start(name)
    deployment.play(10.0)


def restart_all(deployment):
    deployment.play(12.0)
    deployment.failing = 1.0
    deployment.play(2.0)
    for name in list(deployment.router_by_name):
        deployment.crash(name)
    deployment.play(0.5)
    for name in list(deployment.router_by_name):
        deployment.start(name)
    deployment.play(12.0)


def freeze_after_burst(deployment):
    deployment.play(12.0)
    deployment.failing = 1.0
    deployment.play(1.0)
    for name in list(deployment.router_by_name)[1:]:
        deployment.freeze(name, 4.0)
    deployment.play(15.0)


def lose_entries_and_links(deployment):
    """The store's copy has no routers, whose links are closed by that."""
    deployment.play(12.0)
    deployment.lose_entries()
    for name in list(deployment.router_by_name):
        deployment.isolate({name})
    deployment.failing = 1.0
    deployment.play(4.0)
    deployment.register()
    deployment.cut.clear()
    deployment.play(12.0)


def first_start(deployment):
    deployment.failing = 1.0
    deployment.play(14.0)


SCENARIOS = (
    run_steady,
    lose_all_links,
    lose_half,
    crash_after_burst,
    stop_after_burst,
    restart_one_by_one,
    restart_all,
    freeze_after_burst,
    lose_entries_and_links,
    first_start,
)
SIZES = ((2, 10.0), (4, 10.0), (12, 10.0), (4, 0.5), (4, 100.0))
"""Routers, and requests a second at each."""


def play_random(deployment, rng):
    """Plays random troubles, several at a time."""
    names = list(deployment.router_by_name)
    for _ in range(25):
        deployment.failing = rng.choice((0.0, 0.1, 0.5, 1.0))
        deployment.delay_seconds = rng.choice((0.05, 0.05, 0.3, 1.0))
        deployment.lost = rng.choice((0.0, 0.0, 0.3, 0.7))
        name = rng.choice(names)
        running = deployment.router_by_name[name].running
        match rng.randrange(7):
            case 0 if running:
                deployment.crash(name)
            case 1 if running:
                deployment.stop(name)
            case 2 | 3 if not running:
                deployment.start(name)
            case 2 | 3:
                deployment.freeze(name, rng.choice((0.3, 1.0, 2.0, 6.0)))
            case 4:
                deployment.isolate(set(rng.sample(names, len(names) // 2)))
            case 5:
                deployment.cut.clear()
            case 6:
                deployment.lose_entries()
                deployment.play(0.5)
                deployment.register()
        deployment.play(rng.choice((0.2, 0.5, 1.0, 3.0)))


class RetriesOverRoutersTest(unittest.TestCase):
    def check(self, deployment):
        excess, at = deployment.arrivals.worst()
        self.assertLessEqual(excess, 0.0, f"window that ends at {at:.2f}")

    def test_troubles(self):
        for play in SCENARIOS:
            for count, rate in SIZES:
                with self.subTest(play.__name__, count=count, rate=rate):
                    deployment = retry_model.Deployment(5, count, rate)
                    play(deployment)
                    self.check(deployment)

    def test_random_troubles(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                deployment = retry_model.Deployment(
                    seed, rng.choice((2, 3, 4, 8)), rng.choice((1.0, 10.0))
                )
                play_random(deployment, rng)
                self.check(deployment)

    def test_the_budget_is_used(self):
        # The bounds must not be kept by sending no retries.
        for count, rate in SIZES:
            with self.subTest(count=count, rate=rate):
                deployment = retry_model.Deployment(5, count, rate)
                run_steady(deployment)
                allowed = retry_model.SLACK + (
                    retry_model.RATIO * rate * count * retry_model.WINDOW
                )
                self.assertGreater(
                    len(deployment.arrivals.retries), 0.7 * allowed
                )


if __name__ == "__main__":
    unittest.main()
