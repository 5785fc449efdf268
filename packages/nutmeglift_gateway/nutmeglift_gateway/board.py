"""The state that a router's controllers and requests share.

The docstring of `Board` names the writers of each attribute. Times are seconds
of the event loop's clock, except those of `freshness`.
"""

from collections.abc import Callable
import dataclasses

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import hold_offs
from nutmeglift_gateway import link_budget
from nutmeglift_gateway import live_peers
from nutmeglift_gateway import loads
from nutmeglift_gateway import path_cache
from nutmeglift_gateway import paths
from nutmeglift_gateway import poison_guard
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import runs
from nutmeglift_gateway import server_selection
from nutmeglift_gateway import service_budgets
from nutmeglift_gateway import settings
from nutmeglift_gateway import suspect_servers
from nutmeglift_gateway.load import shared_demand

PACE_MAX_AGE_SECONDS = 3.0
"""Older paces are ignored, because runners recover within seconds."""


MOVES_MAX_AGE_SECONDS = 1.5
"""Pending moves expire when five of the planner's reports are missing; another
router will be elected."""

NOT_PLANNING = ids.FencingNumber(0)


@dataclasses.dataclass(frozen=True)
class Pace:
    """A runner's factor on the step time, and when it was read.

    Attributes:
        value: the factor.
        read_at: loop time at which it was read.
        own: whether this router read it, and not a peer.
    """

    value: float
    read_at: float
    own: bool = False


@dataclasses.dataclass(frozen=True)
class PendingMove:
    """A runner that was ordered to hold other layers.

    Attributes:
        lifetime: instance id and start time of the runner.
        retained: the layers that it continues to serve during the move.
    """

    lifetime: tuple[str, int]
    retained: directory.LayerRange


class Board:
    """Shared state of one router.

    Attributes:
        home: the router's failure domain.
        bounds: the operators' bounds in force.
        catalog: the configuration in force; written by the store reader.
        catalog_revision: store revision of its entry.
        directory: the backend servers; written by the store reader, the
            planner and the prober.
        freshness: when the configuration was confirmed; written by the store
            reader and by the peers' links.
        suspect_servers: suspect backend servers; written by the failure
            recorder, the peers' links and the prober.
        hold_offs: servers that want nothing for a time; written by the failure
            recorder, the peers' links and the prober.
        load_tracker: requests in flight; written by the requests and the
            peers' links.
        demand: recent demand; written by the peers' links.
        pace_by_address: runners' paces; written by the stream monitor, its
            pace reader and the peers' links.
        router_by_name: addresses of the live routers, by VM; written by the
            store reader.
        live_peers: routers from which reports arrive; written by the peers'
            links.
        on_crash_reported: called with the time and a server that a peer reports
            as crashed; set by the crash detector.
        penalties: plain servers that lost responses; written by the requests.
        link_budget: this router's traffic between failure domains; written by
            the requests and the stream monitor.
        runs: the runs of requests at the servers; written by the requests and
            the failure recorder.
        guard: which requests end servers; written by the failure recorder, the
            requests, the peers' links and the store reader.
        draining: whether this process is shutting down; set by the gateway.
        fence: fencing number under which this router plans, or 0; written by
            the planner.
        greatest_fence: greatest fencing number of any router; written by the
            planner and the peers' links.
        refusing: whether the process will exit too soon to accept new
            requests; set by the gateway while it drains.
        exit_at: loop time at which the process exits at the latest; set by the
            gateway when it begins to drain.
        budgets: the services' retry budgets; written by the requests and the
            peers' links.
        coverage_eta: loop time at which uncovered layers will be loaded;
            written by the planner and the peers' links.
        listeners: callbacks for changes that peers should receive without
            delay; registered by the peers' links.
    """

    def __init__(
        self, bounds: settings.Bounds, home: ids.FailureDomain
    ) -> None:
        """Creates the initial state.

        Args:
            bounds: the operators' bounds.
            home: the router's failure domain.
        """
        self.home = home
        self.bounds = bounds
        self.catalog: catalog.Catalog | None = None
        self.catalog_revision = ids.Revision(0)
        self.directory = directory.Directory()
        self.freshness = freshness.Freshness(bounds.revocation_seconds)
        self.suspect_servers = suspect_servers.SuspectServers()
        self.hold_offs = hold_offs.HoldOffs()
        self.load_tracker = loads.LoadTracker()
        self.pace_by_address: dict[str, Pace] = {}
        self.router_by_name: dict[str, str] = {}
        self.live_peers = live_peers.LivePeers()
        self.on_crash_reported: Callable[[float, directory.Server], None] = (
            lambda now, server: None
        )
        self.penalties = server_selection.LossPenalties()
        self.link_budget = link_budget.LinkBudget()
        self.runs = runs.RunTracker()
        self.guard = poison_guard.PoisonGuard()
        self.guard.router_count = lambda: self.routers
        self.draining = False
        self.refusing = False
        self.exit_at = float("inf")
        self.coverage_eta = 0.0
        self.fence = NOT_PLANNING
        self.greatest_fence = NOT_PLANNING
        self.listeners: set[Callable[[], None]] = set()
        self.budgets = service_budgets.ServiceBudgets()
        self.set_bounds(bounds)
        self._moves: dict[str, PendingMove] = {}
        self._moves_updated_at = float("-inf")
        self._moves_version = 0
        self._usable_version = (-1, -1, -1, -1)
        self._usable: dict[ids.ServiceId, list[directory.Server]] = {}
        self.demand = shared_demand.SharedDemand()
        self._path_caches = path_cache.PathCaches[paths.Path]()

    def set_catalog(
        self, revision: ids.Revision, found: catalog.Catalog, digest: int = 0
    ) -> bool:
        """Brings a configuration into force unless it is an older generation.

        Args:
            revision: store revision of its entry.
            found: the configuration.
            digest: digest of its value.

        Returns:
            Whether it is in force.
        """
        if self.catalog and self.catalog.generation > found.generation:
            return False
        self.catalog = found
        self.directory.recognize(found.kinds_by_service)
        self.move_catalog(revision, digest)
        self.notify_listeners()
        return True

    def move_catalog(self, revision: ids.Revision, digest: int) -> None:
        """Records a newer revision of the configuration in force."""
        assert self.catalog is not None
        self.catalog_revision = revision
        self.freshness.record_in_force(
            revision, self.catalog.generation, digest
        )

    def confirm(self, confirmation: freshness.Confirmation) -> bool:
        """Dates the configuration in force if a confirmation holds for it.

        Returns:
            Whether it does.
        """
        was_configured = self.is_configured
        holds = self.freshness.confirm(confirmation)
        if self.is_configured and not was_configured:
            self.notify_listeners()
        return holds

    @property
    def is_configured(self) -> bool:
        """Whether there is a configuration that was confirmed at any time."""
        return self.catalog is not None and self.freshness.was_confirmed

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Applies the operators' bounds."""
        self.bounds = bounds
        self.freshness.revocation_seconds = bounds.revocation_seconds
        self.budgets.set_bounds(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window=bounds.retry_window_seconds,
            second_ratio=bounds.second_attempt_ratio,
        )

    def limits(self) -> catalog.ClientLimits:
        """Returns the limits on what callers may send."""
        if self.catalog is None:
            return catalog.ClientLimits()
        return self.catalog.limits

    def reserved_ratio(
        self, engine: catalog.Engine, server: directory.Server
    ) -> float:
        """Returns the reserved part of a runner's KV cache capacity."""
        kind = engine.kind(server.kind)
        capacity = engine.token_layer_capacity(kind, server.layers.count)
        if capacity <= 0:
            return 1.0
        return self.load_tracker.at(server.address).token_layers / capacity

    @property
    def routers(self) -> int:
        """Number of live routers, including this one."""
        return max(1, len(self.router_by_name))

    def usable(self, service: ids.ServiceId) -> list[directory.Server]:
        """Returns the servers of a service that accept new requests.

        Servers that leave, that hold off and suspects are excluded, and runners
        of an unknown kind. A runner that is being moved is listed with the
        layers that it retains.
        """
        version = (
            self.directory.version,
            self.suspect_servers.version,
            self._moves_version,
            self.hold_offs.version,
        )
        if version != self._usable_version:
            self._usable_version = version
            self._usable = {}
            for server in self.directory.server_by_id.values():
                if (
                    server.state is not directory.ServerState.READY
                    or not self.directory.is_recognized(server)
                ):
                    continue
                if self.suspect_servers.is_suspect(
                    server.address, server.lifetime
                ) or self.hold_offs.holds_off(server.lifetime):
                    continue
                self._usable.setdefault(server.service, []).append(
                    self._with_retained_layers(server)
                )
        return self._usable.get(service, [])

    def holds_off_at(self, address: str) -> bool:
        """Returns whether the server at an address holds off."""
        if not self.hold_offs.count:
            return False
        server = self.server_at(address)
        return server is not None and self.hold_offs.holds_off(server.lifetime)

    @property
    def moves(self) -> dict[str, PendingMove]:
        """The pending moves by the runner's id."""
        return self._moves

    def set_moves(self, now: float, moves: dict[str, PendingMove]) -> None:
        """Records the planner's pending moves.

        They precede the updates of the runners' entries.

        Args:
            now: loop time in seconds.
            moves: all pending moves by the runner's id.
        """
        self._moves_updated_at = now
        if moves != self._moves:
            self._moves = moves
            self._moves_version += 1
            if self.fence:
                self.notify_listeners()

    def record_planner(self, fence: ids.FencingNumber) -> bool:
        """Records a planning router's fencing number.

        Returns:
            False if a router with a greater number has been elected since.
        """
        if fence < self.greatest_fence:
            return False
        self.greatest_fence = fence
        return True

    def runners_unloading(self) -> set[str]:
        """Returns the addresses of runners that are unloading layers."""
        found = set()
        for server_id, pending_move in self._moves.items():
            server = self.directory.server_by_id.get(server_id)
            if server is not None and server.lifetime == pending_move.lifetime:
                found.add(server.address)
        return found

    def expire_moves(self, now: float) -> None:
        """Drops pending moves that the planner no longer reports."""
        if self._moves and now - self._moves_updated_at > MOVES_MAX_AGE_SECONDS:
            self.set_moves(now, {})

    def _with_retained_layers(
        self, server: directory.Server
    ) -> directory.Server:
        pending_move = self._moves.get(server.id)
        if pending_move is None or pending_move.lifetime != server.lifetime:
            return server
        start = max(server.layers.start, pending_move.retained.start)
        end = min(server.layers.end, pending_move.retained.end)
        if (start, end) == (server.layers.start, server.layers.end):
            return server
        retained = directory.LayerRange(start, end)
        if end <= start:
            retained = directory.NO_LAYERS
        return dataclasses.replace(server, layers=retained)

    def path_finder(
        self, engine: catalog.Engine, now: float
    ) -> paths.PathFinder:
        """Returns a path finder for the current state of the runners."""
        return paths.PathFinder(
            engine,
            self.load_tracker,
            self.pace_reader(now),
            frozenset(self.load_tracker.full(now)),
            self._path_caches.of(self.catalog, engine, self.usable),
        )

    def record_pace(self, now: float, address: str, value: float) -> None:
        """Records a pace that a runner has just reported."""
        self.pace_by_address[address] = Pace(value, now, own=True)

    def pace_reader(self, now: float) -> Callable[[str], float]:
        """Returns a function from an address to the runner's pace."""

        def pace_of(address: str) -> float:
            found = self.pace_by_address.get(address)
            if found is None or now - found.read_at > PACE_MAX_AGE_SECONDS:
                return 1.0
            return max(1.0, found.value)

        return pace_of

    def budget(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        """Returns this router's share of a service's retry budget."""
        return self.budgets.of(service)

    def suspect(
        self,
        now: float,
        server: directory.Server,
        reason: suspect_servers.Reason,
    ) -> bool:
        """Excludes a server until it has recovered.

        Returns:
            Whether its state changed.
        """
        changed = self.suspect_servers.mark_suspect(
            now, server.address, server.lifetime, reason
        )
        if changed and reason in suspect_servers.SHARED_REASONS:
            self.notify_listeners()
        return changed

    def notify_listeners(self) -> None:
        """Has peers receive this router's state without delay."""
        for listener in list(self.listeners):
            listener()

    def server_at(self, address: str) -> directory.Server | None:
        """Returns the server at an address."""
        return self.directory.server_at(address)
