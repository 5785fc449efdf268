"""Finds requests that reached a server too long after it had left.

A server leaves when the store accepts that its entry says so, or is removed.
The bound holds for a router that ran and reached the store for a while, if the
store was served without disturbance when the server left.
"""

from tests.soak import poison
from tests.soak import unanswered

BOUND_SECONDS = 2.0
CONTACT_SECONDS = unanswered.CONTACT_SECONDS


class LateRunCheck:
    """Checks the runs of one soak run."""

    def __init__(self, departures, router_processes, lags=()):
        """Initializes the check.

        Args:
            departures: the departures of all servers.
            router_processes: the routers.
            lags: times and seconds for which the soak itself ran late.
        """
        self._departures = departures
        self._router_by_vm = {router.vm: router for router in router_processes}
        self._lags = lags

    def record_delays(self, sent, runs, delays):
        """Records how long after it had left a server was last reached.

        Args:
            sent: a request.
            runs: its runs.
            delays: by departure and router, the greatest delay in seconds;
                only where the bound holds.
        """
        router = self._router_by_vm[sent.vm]
        for run in runs:
            for number, departure in enumerate(self._departures):
                if (
                    departure.server == run.server
                    and departure.left_at < run.started_at <= departure.ended_at
                    and self._is_bound(router, run, departure)
                ):
                    delay = run.started_at - departure.left_at
                    known = delays.get((number, sent.vm), 0.0)
                    delays[number, sent.vm] = max(known, delay)

    def find(self, sent, runs):
        """Returns descriptions of the runs of a request that began too late."""
        return [
            f"run at a server that had left: {sent.id} at {sent.vm}, reached"
            f" {run.server} {run.started_at - departure.left_at:.3f} s after"
            f" it had left at {departure.left_at:.2f}"
            for run in runs
            for departure in self._departures
            if departure.server == run.server
            and departure.left_at < run.started_at <= departure.ended_at
            and self._is_late(self._router_by_vm[sent.vm], run, departure)
        ]

    def _is_late(self, router, run, departure):
        starved = sum(
            seconds
            for at, seconds in [*router.waits, *self._lags]
            if departure.left_at <= at <= run.started_at + seconds
        )
        return (
            run.started_at - departure.left_at > BOUND_SECONDS + starved
            and self._is_bound(router, run, departure)
        )

    def _is_bound(self, router, run, departure):
        return not self._is_disturbed(
            router.store_disruptions, departure.left_at
        ) and self.is_in_touch(router, run.started_at)

    def find_poison(self, segment, found, sent_by_id):
        """Returns a description if poison requests arrived too late."""

        def is_in_touch(request_id, at):
            router = self._router_by_vm[sent_by_id[request_id].vm]
            return self.is_in_touch(router, at)

        def starved_seconds(start, end):
            waits = [
                wait
                for router in self._router_by_vm.values()
                for wait in router.waits
            ]
            return sum(
                seconds
                for at, seconds in [*waits, *self._lags]
                if start <= at <= end
            )

        late = poison.late_arrivals(
            found, CONTACT_SECONDS, is_in_touch, starved_seconds
        )
        if not late:
            return []
        return [
            f"requests with {segment}, which had ended servers at"
            f" {[round(at, 2) for at in sorted(found.crashes)]}, reached"
            f" servers: {late}"
        ]

    def is_in_touch(self, router, at):
        """Returns whether nothing excuses a router at a time."""
        changes = [*router.terminated_at, *router.started_at]
        return not (
            self._is_disturbed(router.disruptions, at)
            or self._is_disturbed(router.store_disruptions, at)
            or any(0 <= at - change <= CONTACT_SECONDS for change in changes)
        )

    @staticmethod
    def _is_disturbed(disruptions, at):
        return any(
            each.start <= at <= each.end + CONTACT_SECONDS
            for each in disruptions
        )
