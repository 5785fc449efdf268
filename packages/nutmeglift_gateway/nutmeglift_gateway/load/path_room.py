"""Offers of room from the paths over a service's runners."""

from collections.abc import Iterable
import dataclasses

from nutmeglift import ids
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import paths
from nutmeglift_gateway import retry_delay
from nutmeglift_gateway.load import demand_tracker
from nutmeglift_gateway.load import first_event
from nutmeglift_gateway.load import path_choice
from nutmeglift_gateway.load import room

ALTERNATIVES_SECONDS = 0.1
"""Time for which the paths that others could take are not searched again; their
forecasts always follow the load. Peers report their loads less often."""
MAX_ALTERNATIVE_COUNT = 4
"""Of the paths that others could take, those with the earliest first event."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Alternatives:
    """The cheapest path of each failure domain.

    Attributes:
        found_at: loop time of the search.
        found: the paths.
        capacity_tokens: tokens that the runners can hold, over all paths.
    """

    found_at: float
    found: tuple[paths.Path, ...]
    capacity_tokens: float


class PathRoom(room.BaseRoom):
    """Room on the paths that a router would choose.

    Attributes:
        last_path: path of the last offer, to be used immediately or not at all.
    """

    def __init__(
        self, board: boards.Board, demand: demand_tracker.DemandTracker
    ) -> None:
        """Initializes the room.

        Args:
            board: the router's shared state.
            demand: counts this router's requests that end.
        """
        self.last_path: paths.Path | None = None
        self._full_path: paths.Path | None = None
        self._board = board
        self._demand = demand
        self._alternatives_by_service: dict[ids.ServiceId, _Alternatives] = {}

    def offer(self, now: float, request: room.RoomRequest) -> room.Offer | None:
        """Returns what a request would get, or None without any room."""
        self.last_path = None
        engine = self._engine(request.service)
        if engine is None:
            return None
        board = self._board
        requirements = path_choice.make_requirements(board, request)
        board.hold_offs.expire(now)
        finder = board.path_finder(engine, now)
        usable = board.usable(request.service)
        path: paths.Path | None = None
        for servers in board.hold_offs.by_preference(usable):
            path = path_choice.find_path(
                board, finder, servers, requirements, now
            )
            if path is not None:
                break
        self._full_path = None
        if path is None:
            return None
        link_used = board.link_budget.used_ratio(now, path, board.routers)
        if link_used >= 1.0:
            self._full_path = path
            return None
        self.last_path = path
        others = self._alternatives(now, request, engine, finder)
        expected = first_event.forecast(
            engine, finder.costs, path, request.prompt_tokens
        )
        reserved = path.reservations(request.held_tokens, request.prompt_tokens)
        with board.load_tracker.trial(reserved):
            fastest = min(
                first_event.forecast(
                    engine, finder.costs, each, request.prompt_tokens
                ).first_event_seconds
                for each in (path, *others.found)
            )
            used = max(
                board.reserved_ratio(engine, part.server) for part in path.parts
            )
            slots = path.first.slots or engine.slots
            load = board.load_tracker.at(path.first.address)
            used = max(used, load.requests_as_first / slots)
        return room.Offer(
            expected.first_event_seconds,
            fastest,
            used,
            others.capacity_tokens,
            link_used,
        )

    def seconds_until_freed(
        self, now: float, request: room.RoomRequest
    ) -> float | None:
        """Returns the time until room for a request becomes free.

        The last call of offer() was for the same request.
        """
        if self._full_path is not None:
            return self._board.link_budget.seconds_until_room(
                now, self._full_path, self._board.routers
            )
        engine = self._engine(request.service)
        usable = self._board.usable(request.service)
        if engine is None or not retry_delay.covers_layers(engine, usable):
            return None
        # Callers of all ranks reach every router.
        rate = self._board.routers * self._demand.ends_per_second(
            now, request.service
        )
        return 1.0 / rate if rate > 0 else None

    def held_and_free(self, service: ids.ServiceId) -> tuple[float, float]:
        """Returns the tokens that a service's runners hold and have room for.

        Args:
            service: the service.
        """
        engine = self._engine(service)
        if engine is None:
            return 0.0, 0.0
        usable = self._board.usable(service)
        held = sum(
            self._board.load_tracker.at(server.address).token_layers
            for server in usable
        )
        capacity = _capacity(engine, usable)
        return held / engine.layers, max(0.0, capacity - held / engine.layers)

    def age(self, now: float) -> float:
        """Returns the age in seconds of the oldest loads that offers use."""
        return self._board.load_tracker.report_age(now)

    def _engine(self, service: ids.ServiceId) -> catalog.Engine | None:
        configuration = self._board.catalog
        if configuration is None:
            return None
        found = configuration.service_by_id.get(service)
        return found.engine if found is not None else None

    def _alternatives(
        self,
        now: float,
        request: room.RoomRequest,
        engine: catalog.Engine,
        finder: paths.PathFinder,
    ) -> _Alternatives:
        known = self._alternatives_by_service.get(request.service)
        if known is not None and now - known.found_at < ALTERNATIVES_SECONDS:
            return known
        usable = self._board.usable(request.service)
        found = finder.find_by_domain(
            usable,
            paths.PathRequirements(self._board.home, request.held_tokens),
            MAX_ALTERNATIVE_COUNT,
        )
        found.sort(
            key=lambda path: (
                first_event.forecast(
                    engine, finder.costs, path, request.prompt_tokens
                ).first_event_seconds
            )
        )
        self._alternatives_by_service = {
            service: alternatives
            for service, alternatives in self._alternatives_by_service.items()
            if now - alternatives.found_at < ALTERNATIVES_SECONDS
        }
        known = self._alternatives_by_service[request.service] = _Alternatives(
            now,
            tuple(found[:MAX_ALTERNATIVE_COUNT]),
            _capacity(engine, usable),
        )
        return known


def _capacity(
    engine: catalog.Engine, servers: Iterable[directory.Server]
) -> float:
    """Returns the tokens that runners can hold, over all paths."""
    return (
        sum(
            engine.token_layer_capacity(
                engine.kind(server.kind), server.layers.count
            )
            for server in servers
            if server.layers.count
        )
        / engine.layers
    )
