"""An hour of crashes for other reasons, with the usual popularity of segments.

Four routers share their evidence through encoded reports. Runners crash one by
one, by rack, by failure domain or most of them at once, also in series; routers
are killed and lose what they know.
"""

import heapq
import itertools
import random
import unittest

from nutmeglift import ids
from nutmeglift_gateway import poison_guard
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import runs

ROUTERS = 4
RUNNERS = 12
REQUESTS_PER_SECOND = 40.0
SEGMENTS = 400
"""Second segments of the prompts; the popularity falls with the rank."""
REPORT_SECONDS = 0.1
OUTAGE_SECONDS = 3.0
MAX_ATTEMPTS = 2


class Day:
    """Requests, runners that crash, and the routers' guards.

    Attributes:
        guards: the routers' guards.
        crash_count: number of crashes that ended suspects.
        poison_crashes: crashes that a poison request caused.
    """

    def __init__(self, seed, poison_at=float("inf")):
        self.rng = random.Random(seed)
        self.guards = []
        self.trackers = []
        self.encoders = {}
        self.crash_count = 0
        self.poison_crashes = 0
        self._poison_at = poison_at
        self._numbers = itertools.count()
        self._generation = [0] * RUNNERS
        self._up_at = [0.0] * RUNNERS
        self._events = []
        self._weights = [1.0 / (rank + 1) for rank in range(SEGMENTS)]
        for router in range(ROUTERS):
            self.guards.append(None)
            self.trackers.append(None)
            self.start_router(router)

    def start_router(self, router):
        guard = poison_guard.PoisonGuard()
        guard.vm = f"vm-{router}"
        guard.router_count = lambda: ROUTERS
        self.guards[router] = guard
        self.trackers[router] = runs.RunTracker()
        for other in range(ROUTERS):
            self.encoders[router, other] = poison_rows.Encoder()
            self.encoders[other, router] = poison_rows.Encoder()

    def at(self, when, action, *arguments):
        order = next(self._numbers)
        heapq.heappush(self._events, (when, order, action, arguments))

    def play(self, seconds):
        self.at(0.0, self.arrive)
        self.at(5.0, self.crash_some)
        self.at(0.0, self.report)
        self.at(0.0, self.expire)
        while self._events[0][0] < seconds:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def arrive(self, now):
        self.at(now + self.rng.expovariate(REQUESTS_PER_SECOND), self.arrive)
        number = next(self._numbers)
        second = self.rng.choices(range(SEGMENTS), self._weights)[0]
        segments = [f"first-{self.rng.randrange(3)}", f"second-{second}"]
        if now >= self._poison_at and self.rng.random() < 1 / 8:
            segments[self.rng.randrange(2)] = "poison"
        router = self.rng.randrange(ROUTERS)
        self.send(now, router, f"r-{number}", tuple(segments), 1)

    def send(self, now, router, request, segments, attempt):
        up = [n for n in range(RUNNERS) if self._up_at[n] <= now]
        if not up or self.guards[router].find(segments) is not None:
            return
        runner = self.rng.choice(up[:4] if self.rng.random() < 0.7 else up)
        run = runs.Run(
            request,
            ids.ServiceId("s"),
            segments,
            (f"runner-{runner}", self._generation[runner]),
            f"{runner}:1",
            now,
        )
        self.trackers[router].begin(run)
        begins_at = now + self.rng.uniform(0.08, 0.3)
        arguments = (router, run, runner, attempt)
        self.at(begins_at, self.begin, *arguments)

    def begin(self, now, router, run, runner, attempt):
        if self._generation[runner] != run.lifetime[1]:
            self.trackers[router].end(now, run, runs.End.LOST)
            if attempt < MAX_ATTEMPTS:
                self.send(
                    now, router, run.request_id, run.segments, attempt + 1
                )
            return
        if "poison" in run.segments:
            self.poison_crashes += 1
            self.crash(now, [runner])
            return
        self.trackers[router].record_events(now, run, 1)
        self.at(now + runs.BEGIN_SECONDS, self.survive, router, run, runner)

    def survive(self, now, router, run, runner):
        tracker = self.trackers[router]
        if self._generation[runner] != run.lifetime[1]:
            tracker.end(now, run, runs.End.LOST)
            return
        survived = tracker.record_events(now, run, 1)
        if tracker.end(now, run, runs.End.COMPLETE) or survived:
            self.guards[router].record_survival(now, run)

    def crash_some(self, now):
        """Injects one fault, and plans the next one."""
        kind = self.rng.choice(["one", "rack", "domain", "most", "series"])
        self.at(now + self.rng.uniform(1.0, 12.0), self.crash_some)
        runners = list(range(RUNNERS))
        self.rng.shuffle(runners)
        if self.rng.random() < 0.1:
            self.start_router(self.rng.randrange(ROUTERS))
        match kind:
            case "one":
                self.crash(now, runners[:1])
            case "rack":
                self.crash(now, runners[:2])
            case "domain":
                self.crash(now, sorted(runners)[:4])
            case "most":
                self.crash(now, runners[: RUNNERS * 6 // 10])
            case "series":
                for number, runner in enumerate(runners[:8]):
                    self.at(now + 0.5 * number, self.crash, [runner])

    def crash(self, now, runners):
        for runner in runners:
            lifetime = (f"runner-{runner}", self._generation[runner])
            self._generation[runner] += 1
            self._up_at[runner] = now + OUTAGE_SECONDS
            for guard, tracker in zip(self.guards, self.trackers, strict=True):
                crash = tracker.take_ended(now, lifetime)
                if crash is not None and crash.suspects:
                    self.crash_count += 1
                    guard.record_crash(now, crash, "")

    def report(self, now):
        self.at(now + REPORT_SECONDS, self.report)
        for (source, target), encoder in self.encoders.items():
            if source == target:
                continue
            report = encoder.encode(now, self.guards[source])
            problems = poison_rows.apply(
                now, f"vm-{source}", report, self.guards[target]
            )
            assert not problems
            self.encoders[target, source].record_peer_digest(
                now, report.digest, self.guards[target].digest()
            )

    def expire(self, now):
        self.at(now + 1.0, self.expire)
        for guard in self.guards:
            guard.expire(now)

    def quarantined(self):
        return {
            segment
            for guard in self.guards
            for entry in guard.quarantines.entries()
            if entry.state is not quarantine.State.LIFTED
            for segment in entry.segments
        }


class CrashDayTest(unittest.TestCase):
    def test_no_sound_segment_is_quarantined_in_an_hour_of_crashes(self):
        day = Day(seed=1)
        day.play(3600.0)
        self.assertGreater(day.crash_count, 1000)
        self.assertEqual(day.quarantined(), set())

    def test_a_poison_segment_is_found_beside_other_crashes(self):
        for seed in range(2, 8):
            with self.subTest(seed):
                day = Day(seed, poison_at=60.0)
                day.play(90.0)
                self.assertEqual(day.quarantined(), {"poison"})
                self.assertLessEqual(day.poison_crashes, 8)


if __name__ == "__main__":
    unittest.main()
