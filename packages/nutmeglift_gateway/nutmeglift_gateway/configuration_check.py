"""Finds entries of a configuration that can't work as they are written."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import configuration_draft as drafts


class Severity(enum.Enum):
    """What a finding means."""

    ERROR = "error"
    """Requests fail, or an entry is without any effect."""
    WARNING = "warning"
    """Limits contradict each other."""
    CHANGE = "change"
    """Differs from the version in force."""


@dataclasses.dataclass(frozen=True)
class Finding:
    """A problem or a difference to show to an operator.

    Attributes:
        severity: what it means.
        place: the entry.
        text: what is found there; a single line.
        noticed: whether callers notice it.
    """

    severity: Severity
    place: str
    text: str
    noticed: bool = False

    def line(self) -> str:
        """Returns the finding as one line."""
        noticed = " (callers notice)" if self.noticed else ""
        return f"{self.severity.value}: {self.place}: {self.text}{noticed}"


def check(draft: drafts.Draft, stall_seconds: float) -> list[Finding]:
    """Returns what is wrong within one configuration.

    Args:
        draft: the configuration.
        stall_seconds: time after which engines abort requests that wait for a
            lost runner.
    """
    return [
        *_check_names(draft),
        *_check_matches(draft.catalog.routes),
        *_check_targets(draft),
        *_check_limits(draft.catalog.routes, stall_seconds),
        *_check_keys(draft),
        *_check_priorities(draft),
        *_check_memory(draft),
    ]


def place_of(section: str, index: int, name: str) -> str:
    """Returns where an entry is."""
    return f"{section}[{index}] {drafts.quoted(name)}"


def _route_place(index: int, route: catalog.Route) -> str:
    return place_of("routes", index, route.id)


def _error(place: str, text: str) -> Finding:
    return Finding(Severity.ERROR, place, text)


def _warning(place: str, text: str) -> Finding:
    return Finding(Severity.WARNING, place, text)


def _check_names(draft: drafts.Draft) -> Iterator[Finding]:
    sections: tuple[tuple[str, list[str]], ...] = (
        ("routes", [route.id for route in draft.catalog.routes]),
        ("services", [service.id for service in draft.services]),
        ("accounts", [account.id for account in draft.accounts]),
    )
    for section, names in sections:
        first_by_name: dict[str, int] = {}
        for index, name in enumerate(names):
            first = first_by_name.setdefault(name, index)
            if first != index:
                yield _error(
                    place_of(section, index, name),
                    f"the name stands at {section}[{first}] already",
                )


def _check_matches(routes: Iterable[catalog.Route]) -> Iterator[Finding]:
    """Finds routes that no request can match; the last of equal ones does."""
    last: dict[tuple[str, str], int] = {}
    listed = list(enumerate(routes))
    for index, route in listed:
        last[route.host.lower(), route.prefix] = index
    for index, route in listed:
        place = _route_place(index, route)
        by = last[route.host.lower(), route.prefix]
        if by != index:
            yield _error(
                place, f"hidden by routes[{by}] on the same host and prefix"
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _error(place, "a prefix has to begin and end with a slash")
        if "?" in route.prefix or "#" in route.prefix:
            yield _error(place, "no path has this prefix")
        has_port = ":" in route.host and not route.host.endswith("]")
        if has_port or not route.host or route.host != route.host.strip():
            yield _error(place, "no request has this host; ports are left out")


def _check_targets(draft: drafts.Draft) -> Iterator[Finding]:
    known = {service.id for service in draft.services}
    named = set()
    for index, route in enumerate(draft.catalog.routes):
        place = _route_place(index, route)
        total = sum(each.weight for each in route.services)
        if total <= 0:
            yield _error(place, "no service has a weight above 0")
        for number, each in enumerate(route.services):
            if each.weight > 0 or (total <= 0 and number == 0):
                named.add(each.service)
            if each.service not in known:
                yield _error(
                    place, f"unknown service {drafts.quoted(each.service)}"
                )
    for index, service in enumerate(draft.services):
        if service.id not in named:
            yield _error(
                place_of("services", index, service.id),
                "no route sends requests to it",
            )


def _check_limits(
    routes: Iterable[catalog.Route], stall_seconds: float
) -> Iterator[Finding]:
    for index, route in enumerate(routes):
        place = _route_place(index, route)
        if route.timeout < route.objective:
            yield _warning(
                place,
                f"the timeout of {route.timeout:g} s is below the objective of"
                f" {route.objective:g} s",
            )
        if route.max_attempts > 1 and not route.repeatable:
            yield _warning(
                place,
                f"{route.max_attempts} attempts are allowed, but its requests"
                " run at most once",
            )
        if route.resumable and not route.streaming:
            yield _warning(place, "only streams can be resumed")
        if route.streaming and route.gap_objective > stall_seconds:
            yield _warning(
                place,
                f"the gap objective of {route.gap_objective:g} s is above the"
                f" stall bound of {stall_seconds:g} s",
            )


def _check_keys(draft: drafts.Draft) -> Iterator[Finding]:
    first_by_key: dict[str, str] = {}
    for index, account in enumerate(draft.accounts):
        place = place_of("accounts", index, account.id)
        if not account.keys:
            yield _error(place, "no API key, so nobody can use it")
        for key in account.keys:
            first = first_by_key.setdefault(key, place)
            if not key or key != key.strip():
                yield _error(place, f"no request has {drafts.key_hash(key)}")
            elif first != place:
                yield _error(
                    place, f"{drafts.key_hash(key)} stands at {first} already"
                )
            elif account.keys.count(key) > 1:
                yield _error(place, f"{drafts.key_hash(key)} is there twice")


def _check_priorities(draft: drafts.Draft) -> Iterator[Finding]:
    """Finds accounts whose priority reverses the order of two routes."""
    routes_by_service: dict[ids.ServiceId, list[catalog.Route]] = {}
    for route in draft.catalog.routes:
        for each in route.services:
            routes_by_service.setdefault(each.service, []).append(route)
    for index, account in enumerate(draft.accounts):
        rank = account.priority
        if rank is None:
            continue
        for service, routes in routes_by_service.items():
            first = min(routes, key=lambda route: route.priority)
            last = max(routes, key=lambda route: route.priority)
            if first.priority == last.priority:
                continue
            others = ""
            if rank < first.priority:
                others = (
                    f"its requests on {drafts.quoted(last.id)} go before those"
                    f" of others on {drafts.quoted(first.id)}"
                )
            elif rank > last.priority:
                others = (
                    f"its requests on {drafts.quoted(first.id)} go behind those"
                    f" of others on {drafts.quoted(last.id)}"
                )
            if others:
                yield _warning(
                    place_of("accounts", index, account.id),
                    f"priority {rank}: {others} at {drafts.quoted(service)}",
                )


def _check_memory(draft: drafts.Draft) -> Iterator[Finding]:
    for index, service in enumerate(draft.services):
        engine = service.engine
        if engine is None:
            continue
        place = place_of("services", index, service.id)
        tokens = draft.usual_tokens.get(service.id, 0.0)
        kinds = engine.kind_by_name.values()
        if all(engine.max_layers_in_memory(kind) < 1 for kind in kinds):
            yield _error(place, "no kind of runner has memory for one layer")
        elif all(
            engine.max_layers_with_capacity(kind, tokens) < 1 for kind in kinds
        ):
            yield _error(
                place,
                f"no kind of runner has memory for one layer and a usual"
                f" request of {tokens:g} tokens",
            )
