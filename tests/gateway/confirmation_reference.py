"""What may be believed of a store's configuration, for a model test."""

import collections
import dataclasses

from nutmeglift import errors
from nutmeglift_gateway import admission
from nutmeglift_gateway import freshness
from nutmeglift_gateway import settings
from nutmeglift_platform import names
from tests.gateway import platform_routers
from tests.gateway import rig

APPLY_SECONDS = 2.0
"""The operators' bound for a change to take effect."""
REVOCATION_SECONDS = settings.Bounds().revocation_seconds
KEPT = "kept"
HARMFUL = (errors.ErrorKind.UNKNOWN_ROUTE, errors.ErrorKind.UNAUTHENTICATED)


@dataclasses.dataclass(frozen=True)
class Version:
    """A version of the configuration.

    Attributes:
        number: its number.
        routes: names of its routes, which are their paths too.
        keys: its API keys.
        readable: whether routers can read it.
    """

    number: int
    routes: frozenset[str]
    keys: frozenset[str]
    readable: bool = True

    def encode(self):
        """Returns the value of its entry."""
        fields = platform_routers.make_configuration(
            self.number, sorted(self.keys)
        )
        (route,) = fields["routes"]
        fields["routes"] = [
            route
            | {
                "name": name,
                "prefix": f"/{name}/",
                "kind": "safe" if self.readable else "batch",
            }
            for name in sorted(self.routes)
        ]
        return platform_routers.encode(fields)


class Reference:
    """The acknowledged versions, and what follows from them.

    Attributes:
        newest: newest acknowledged version, also if a restore has lost it.
        problems: what routers did against the rules, each with its first time.
    """

    def __init__(self):
        self.newest = None
        self.problems = {}
        self._first_acknowledged = {}
        self._revoked_at = {}
        self._generation_by_router = collections.defaultdict(int)

    def acknowledge(self, now, version):
        """Records that the store has acknowledged a version."""
        self._first_acknowledged.setdefault(version.number, (now, version))
        if self.newest is None:
            self.newest = version
        if version.number <= self.newest.number:
            # Written again after a restore, maybe followed by newer ones.
            return
        for key in self.newest.keys - version.keys:
            self._revoked_at.setdefault(key, now)
        self.newest = version

    def check_confirmation(self, now, router):
        """Checks what a router takes for the newest version.

        Args:
            now: loop time, which is that of the confirmations too.
            router: the router; a new process is another one.
        """
        self._record(now, router, self._find_false_confirmations(router))

    def check_requests(self, now, router):
        """Checks what a router does with requests."""
        if router.board.catalog is not None:
            self._record(now, router, self._find_accepted_keys(now, router))
            self._record(now, router, self._find_refusals(now, router))

    def _record(self, now, router, problems):
        for problem in problems:
            self.problems.setdefault((problem, router.vm), round(now, 2))

    def check_settled(self, now, router):
        """Checks a router that had time to learn of the newest version."""
        newest = self.newest
        catalog = router.board.catalog
        if catalog is None:
            # One that starts beside an unreadable version has none.
            if newest.readable:
                self.problems[("no configuration", router.vm)] = round(now, 2)
            return
        if router.age() >= admission.MAX_AUTHORITATIVE_AGE_SECONDS:
            self.problems[("not confirmed", router.vm)] = round(now, 2)
        if not newest.readable:
            return
        if catalog.generation != newest.number:
            self.problems[("not in force", router.vm)] = round(now, 2)
        for name in newest.routes:
            for key in newest.keys:
                if not isinstance(
                    _admit(router, name, key), admission.Admitted
                ):
                    self.problems[("not admitted", router.vm)] = round(now, 2)

    def _find_false_confirmations(self, router):
        catalog = router.board.catalog
        generation = catalog.generation if catalog else 0
        if generation < self._generation_by_router[router]:
            yield "the generation falls"
        self._generation_by_router[router] = generation
        if catalog is None:
            return
        confirmed_at = router.board.freshness.confirmed_at
        newest = self._newest_before(confirmed_at)
        if (
            newest
            and generation < newest.number
            and not self._has_unreadable_from(newest.number)
        ):
            yield "an older version is confirmed"

    def _find_accepted_keys(self, now, router):
        for key, revoked_at in self._revoked_at.items():
            if now >= revoked_at + REVOCATION_SECONDS and isinstance(
                _admit(router, "first", key), admission.Admitted
            ):
                yield "a revoked key is accepted"

    def _has_unreadable_from(self, number):
        """Returns whether a version from a number on is unreadable.

        A router that read it rejected it, maybe without the one before it.
        """
        return any(
            not version.readable and version.number >= number
            for _, version in self._first_acknowledged.values()
        )

    def _newest_before(self, time):
        """Returns the newest of the versions acknowledged before a time."""
        return max(
            (
                version
                for acknowledged_at, version in (
                    self._first_acknowledged.values()
                )
                if acknowledged_at < time
            ),
            key=lambda version: version.number,
            default=None,
        )

    def _find_refusals(self, now, router):
        newest = self._newest_before(now - APPLY_SECONDS)
        if not newest or not newest.readable or not self.newest.readable:
            return
        # What a version since then takes away may be gone already.
        routes = newest.routes & self.newest.routes
        keys = newest.keys & self.newest.keys
        for name in routes:
            if _refuses(router, name, KEPT):
                yield "a route is refused as unknown"
        for key in keys:
            if _refuses(router, "first", key):
                yield "a key is refused as unknown"


def _admit(router, route, key):
    return admission.admit(
        router.board,
        names.HEADERS,
        rig.make_request(f"/{route}/1", x_api_key=key.encode()),
        freshness.boot_clock(),
        router.rng,
    )


def _refuses(router, route, key):
    found = _admit(router, route, key)
    return isinstance(found, admission.Refused) and found.kind in HARMFUL
