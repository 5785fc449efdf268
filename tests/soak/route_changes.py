"""Routes and keys that come and go beside those that all callers use."""

import itertools

MAX_ROUTE_COUNT = 14
MAX_KEY_COUNT = 4
HOST = "desk.example"
HOSTS = (HOST, HOST, "shop.example", "depot.example")
SERVICES = ("core", "core-b")
BASE_ROUTES = ((HOST, "/safe/"), (HOST, "/unsafe/"))
TIMEOUT_SECONDS = 5.0


class ExtraRoutes:
    """The further routes and keys of the next configuration.

    Attributes:
        service_by_route: services by host and prefix.
        keys: the further keys that are valid.
        changed: the routes that were changed, in order.
        removed_keys: the keys that were taken away, in order.
    """

    def __init__(self, rng):
        self.service_by_route = {}
        self.keys = []
        self.changed = []
        self.removed_keys = []
        self._rng = rng
        self._numbers = itertools.count(1)

    def vary(self):
        """Adds a route, so that each version can be told; varies more."""
        self._add()
        change = self._rng.choice(
            [self._remove, self._split, self._move, self._vary_keys]
        )
        change()
        while len(self.service_by_route) > MAX_ROUTE_COUNT:
            self._remove()

    def routes(self):
        """Returns the routes as the configuration has them."""
        return [
            {
                "name": f"extra {host}{prefix}",
                "host": host,
                "prefix": prefix,
                "kind": "safe",
                "timeout_ms": TIMEOUT_SECONDS * 1000,
                "backends": [{"service": service, "weight": 1.0}],
                "max_attempts": 2,
            }
            for (host, prefix), service in self.service_by_route.items()
        ]

    def _set(self, route, service):
        self.service_by_route[route] = service
        self.changed.append(route)

    def _add(self):
        host = self._rng.choice(HOSTS)
        prefix = f"/extra-{next(self._numbers)}/"
        self._set((host, prefix), self._rng.choice(SERVICES))

    def _remove(self):
        route = self._rng.choice(list(self.service_by_route)[:-1] or [None])
        if route is not None:
            del self.service_by_route[route]
            self.changed.append(route)

    def _split(self):
        """Gives a part of a route to the other service."""
        host, prefix = self._rng.choice(
            [*BASE_ROUTES, *self.service_by_route, *self.service_by_route]
        )
        service = self.service_by_route.get((host, prefix))
        others = [each for each in SERVICES if each != service]
        route = (host, f"{prefix}part-{next(self._numbers)}/")
        self._set(route, self._rng.choice(others))

    def _move(self):
        route = self._rng.choice(list(self.service_by_route))
        is_first = self.service_by_route[route] == SERVICES[0]
        self._set(route, SERVICES[is_first])

    def _vary_keys(self):
        self.keys.append(f"extra-key-{next(self._numbers)}")
        if len(self.keys) > MAX_KEY_COUNT or self._rng.random() < 0.5:
            key = self._rng.choice(self.keys[:-1] or self.keys)
            self.keys.remove(key)
            self.removed_keys.append(key)
