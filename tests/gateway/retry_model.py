"""Model of routers that share the retry budget of one service.

Time is a number; nothing waits. Requests and retries are recorded where they
arrive, and counted by the operators' rule over every sliding window.
"""

import bisect
import dataclasses
import itertools
import random

from nutmeglift import ids
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import service_budgets

SERVICE = ids.ServiceId("core")
RATIO = 0.2
SLACK = 40.0
WINDOW = 10.0
REPORT_SECONDS = 0.25
STEP_SECONDS = 0.05
LEASE_SECONDS = 3.0
DISCOVERY_SECONDS = 0.4
"""Time from a start until a router has read the entries of the others."""


class Arrivals:
    """Requests and retries at the servers of the service, in order."""

    def __init__(self):
        self.requests = []
        self.retries = []

    def worst(self, *, ratio=RATIO, slack=SLACK, window=WINDOW):
        """Returns the greatest excess of retries in a window, and its end.

        An excess above 0 breaks the rule: more retries than the ratio allows
        of the requests in that window, the one before it or the one half a
        window before it, plus the slack.
        """
        worst = (float("-inf"), 0.0)
        for index, end in enumerate(self.retries):
            begin = end - window
            retries = index + 1 - bisect.bisect_right(self.retries, begin)
            requests = max(
                self._requests(begin - shift, end - shift)
                for shift in (0.0, window / 2, window)
            )
            worst = max(worst, (retries - ratio * requests - slack, end))
        return worst

    def _requests(self, begin, end):
        return bisect.bisect_right(self.requests, end) - bisect.bisect_right(
            self.requests, begin
        )


@dataclasses.dataclass
class Router:
    """One router: its budgets and what it knows of the others."""

    name: str
    budgets: service_budgets.ServiceBudgets
    started_at: float
    running: bool = True
    frozen_until: float = float("-inf")
    entry_until: float = float("inf")
    """Time until which the store lists it."""
    entry_back_at: float = float("inf")
    """Time from which the store lists it again."""

    def is_listed(self, now):
        return now < self.entry_until or (
            self.running and now >= self.entry_back_at
        )

    def works(self, now):
        return self.running and now >= self.frozen_until


class Deployment:
    """Routers, their links and their entries in the store.

    Attributes:
        arrivals: what arrived at the servers.
        cut: pairs of routers whose link is lost.
        failing: share of the attempts that fail.
        delay_seconds: greatest delay of a report; those of a link stay in
            order.
        lost: share of the reports that are lost.
        purpose: purpose of the retries.
        second_ratio: allowed second attempts per request.
    """

    def __init__(
        self,
        seed,
        count,
        rate,
        *,
        purpose=retry_budget.Purpose.RESUME,
        second_ratio=0.0,
    ):
        self.now = 1000.0
        self.arrivals = Arrivals()
        self.cut = set()
        self.failing = 0.0
        self.delay_seconds = 0.05
        self.lost = 0.0
        self.purpose = purpose
        self.second_ratio = second_ratio
        self._rng = random.Random(seed)
        self._rate = rate
        self._in_flight = []
        self._reported_at = {}
        self._due_at_by_link = {}
        self._echo_by_link = {}
        self.router_by_name = {}
        for number in range(count):
            self.start(f"r{number}", first=True)

    def start(self, name, *, first=False):
        budgets = service_budgets.ServiceBudgets()
        budgets.set_bounds(
            ratio=RATIO,
            slack=SLACK,
            window=WINDOW,
            second_ratio=self.second_ratio,
        )
        budgets.begin(self.now, first=first)
        self.router_by_name[name] = Router(name, budgets, self.now)

    def crash(self, name):
        router = self.router_by_name[name]
        router.running = False
        router.entry_until = self.now + LEASE_SECONDS

    def stop(self, name):
        router = self.router_by_name[name]
        router.running = False
        router.entry_until = self.now

    def freeze(self, name, seconds):
        router = self.router_by_name[name]
        router.frozen_until = self.now + seconds
        if seconds > LEASE_SECONDS:
            router.entry_until = self.now + LEASE_SECONDS
            router.entry_back_at = router.frozen_until + DISCOVERY_SECONDS

    def lose_entries(self):
        """The store comes back from a copy without the routers' entries."""
        for router in self.router_by_name.values():
            router.entry_until = self.now

    def register(self):
        """The routers write their entries again."""
        for router in self.router_by_name.values():
            if router.running:
                router.entry_until = float("inf")

    def isolate(self, names):
        """Cuts the links between these routers and all others."""
        for one, other in itertools.combinations(self.router_by_name, 2):
            if (one in names) != (other in names):
                self.cut.add(frozenset((one, other)))

    def play(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._exchange_reports()
            for router in self.router_by_name.values():
                if router.works(self.now):
                    self._routers_known_to(router)
                    self._serve(router)

    def _routers_known_to(self, router):
        if self.now < router.started_at + DISCOVERY_SECONDS:
            return router.budgets.record_routers(self.now, 1)
        listed = sum(
            each.is_listed(self.now) for each in self.router_by_name.values()
        )
        return router.budgets.record_routers(self.now, max(1, listed))

    def _serve(self, router):
        budget = router.budgets.of(SERVICE)
        due = self._rate * STEP_SECONDS
        count = int(due) + (self._rng.random() < due % 1)
        repeats = 0
        while count:
            count -= 1
            self.arrivals.requests.append(self.now)
            budget.record_request(self.now)
            failed = self._rng.random() < self.failing
            while failed and budget.try_spend(
                self.now, self._routers_known_to(router), self.purpose
            ):
                self.arrivals.retries.append(self.now)
                failed = self._rng.random() < self.failing
            if failed and repeats < 5 * due:
                # A caller repeats immediately, as a new request.
                repeats += 1
                count += 1

    def _exchange_reports(self):
        in_flight, self._in_flight = self._in_flight, []
        for arrival in in_flight:
            due_at, source, target, counts, sent_at, echo = arrival
            receiver = self.router_by_name.get(target)
            if due_at > self.now or not receiver.works(self.now):
                self._in_flight.append(arrival)
                continue
            if frozenset((source, target)) in self.cut:
                continue
            receiver.budgets.of(SERVICE).set_peer_counts(
                self.now, source, counts, echo
            )
            self._echo_by_link[source, target] = sent_at
        for router in self.router_by_name.values():
            if not router.works(self.now):
                continue
            last = self._reported_at.get(router.name, float("-inf"))
            if self.now - last < REPORT_SECONDS - 1e-9:
                continue
            self._reported_at[router.name] = self.now
            counts = router.budgets.of(SERVICE).counts(self.now)
            for peer in self.router_by_name.values():
                pair = frozenset((router.name, peer.name))
                if peer is router or not peer.running or pair in self.cut:
                    continue
                if self._rng.random() < self.lost:
                    continue
                link = (router.name, peer.name)
                due_at = max(
                    self.now + self._rng.random() * self.delay_seconds,
                    self._due_at_by_link.get(link, 0.0),
                )
                self._due_at_by_link[link] = due_at
                echo = self._echo_by_link.get((peer.name, router.name))
                self._in_flight.append(
                    (
                        due_at,
                        *link,
                        counts,
                        self.now,
                        float("-inf") if echo is None else echo,
                    )
                )
