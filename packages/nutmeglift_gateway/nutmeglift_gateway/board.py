"""The state that a router's controllers read and write.

Each field names its only writer. All times are seconds of the loop's clock
but those of `freshness`.
"""

from collections.abc import Callable
import dataclasses

from nutmeglift import ids
from nutmeglift_gateway import catalog
from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import link_budget
from nutmeglift_gateway import loads
from nutmeglift_gateway import paths
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import server_selection
from nutmeglift_gateway import settings
from nutmeglift_gateway import suspect_servers

PACE_SECONDS = 3.0
"""A pace that was read longer ago says nothing: runners recover in seconds."""


MOVES_SECONDS = 1.5
"""Five of the planner's reports are missing: another will be elected."""

NOT_PLANNING = ids.FencingNumber(0)


@dataclasses.dataclass(frozen=True)
class Pace:
    """How slow a runner was, and when."""

    value: float
    read_at: float


@dataclasses.dataclass(frozen=True)
class Moving:
    """A runner that was ordered to hold other layers.

    Attributes:
        lifetime: which life of the runner.
        kept: the layers that it goes on serving meanwhile.
    """

    lifetime: tuple[str, int]
    kept: directory.LayerRange


class Board:
    """What one router knows.

    Attributes:
        catalog: the configuration in force; written by the store reader.
        catalog_revision: revision of its entry.
        directory: the backend servers; written by the store reader.
        freshness: when the configuration was confirmed; written by the store
            reader and by the peers' links.
        trust: suspects; written by the requests and the prober.
        book: what is in flight; written by the requests and the peers' links.
        pace_by_address: runners' paces; written by the stream monitor and the
            planner.
        router_by_name: addresses of the live routers, by VM; written by the
            store reader.
        penalties: plain servers that lost answers; written by the requests.
        pipes: what we sent over the pipes; written by the requests and the
            stream monitor.
        draining: whether this process is leaving; written by the drain.
        fence: the number under which this router plans, or 0; written by the
            planner.
        greatest_fence: the greatest such number of any router; written by the
            planner and the peers' links.
        refusing: whether it leaves too soon for new requests; written by the
            drain.
        coverage_eta: loop time at which missing layers will be loaded;
            written by the planner and the peers' links.
        listeners: called when peers should hear of a change at once; the
            peers' links enter themselves.
    """

    def __init__(
        self, bounds: settings.Bounds, home: ids.FailureDomain
    ) -> None:
        """Makes an empty board.

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
        self.trust = suspect_servers.SuspectServers()
        self.book = loads.LoadTracker()
        self.pace_by_address: dict[str, Pace] = {}
        self.router_by_name: dict[str, str] = {}
        self.penalties = server_selection.LossPenalties()
        self.pipes = link_budget.LinkBudget()
        self.draining = False
        self.refusing = False
        self.coverage_eta = 0.0
        self.fence = NOT_PLANNING
        self.greatest_fence = NOT_PLANNING
        self.listeners: set[Callable[[], None]] = set()
        self._budget_by_service: dict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = {}
        self._moves: dict[str, Moving] = {}
        self._moves_taken_at = float("-inf")
        self._moves_version = 0
        self._usable_version = (-1, -1, -1)
        self._usable: dict[ids.ServiceId, list[directory.Server]] = {}

    def set_catalog(
        self, revision: ids.Revision, found: catalog.Catalog
    ) -> bool:
        """Puts a configuration in force unless it is older."""
        if self.catalog and self.catalog.generation >= found.generation:
            return False
        self.catalog = found
        self.catalog_revision = revision
        return True

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Puts the operators' bounds in force."""
        self.bounds = bounds
        self.freshness.bound = bounds.revocation_seconds
        for budget in self._budget_by_service.values():
            budget.set_bounds(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window=bounds.retry_window_seconds,
            )

    def limits(self) -> catalog.ClientLimits:
        """Returns what callers may send."""
        if self.catalog is None:
            return catalog.ClientLimits()
        return self.catalog.limits

    def fill(self, engine: catalog.Engine, server: directory.Server) -> float:
        """Returns the reserved part of a runner's room for requests."""
        kind = engine.kind(server.kind)
        room = engine.room(kind, server.layers.count)
        if room <= 0:
            return 1.0
        return self.book.at(server.address).token_layers / room

    @property
    def routers(self) -> int:
        """Number of live routers, this one included."""
        return max(1, len(self.router_by_name))

    def usable(self, service: ids.ServiceId) -> list[directory.Server]:
        """Returns the servers of a service that may get new requests."""
        version = (
            self.directory.version,
            self.trust.version,
            self._moves_version,
        )
        if version != self._usable_version:
            self._usable_version = version
            self._usable = {}
            for server in self.directory.server_by_id.values():
                if server.state is not directory.ServerState.READY:
                    continue
                if self.trust.is_suspect(server.address, server.lifetime):
                    continue
                self._usable.setdefault(server.service, []).append(
                    self._as_kept(server)
                )
        return self._usable.get(service, [])

    @property
    def moves(self) -> dict[str, Moving]:
        """The runners that are being moved, by id."""
        return self._moves

    def set_moves(self, now: float, moves: dict[str, Moving]) -> None:
        """Takes what the planner ordered, before the runners' entries tell.

        Args:
            now: seconds.
            moves: all moves under way, by the runner's id.
        """
        self._moves_taken_at = now
        if moves != self._moves:
            self._moves = moves
            self._moves_version += 1
            if self.fence:
                self._announce()

    def note_planner(self, fence: ids.FencingNumber) -> bool:
        """Notes a router that plans; False if another was elected since."""
        if fence < self.greatest_fence:
            return False
        self.greatest_fence = fence
        return True

    def giving_up(self) -> set[str]:
        """Returns addresses of runners that are giving layers up."""
        found = set()
        for server_id, moving in self._moves.items():
            server = self.directory.server_by_id.get(server_id)
            if server is not None and server.lifetime == moving.lifetime:
                found.add(server.address)
        return found

    def expire_moves(self, now: float) -> None:
        """Forgets the moves of a planner that fell silent."""
        if self._moves and now - self._moves_taken_at > MOVES_SECONDS:
            self.set_moves(now, {})

    def _as_kept(self, server: directory.Server) -> directory.Server:
        moving = self._moves.get(server.id)
        if moving is None or moving.lifetime != server.lifetime:
            return server
        start = max(server.layers.start, moving.kept.start)
        end = min(server.layers.end, moving.kept.end)
        if (start, end) == (server.layers.start, server.layers.end):
            return server
        kept = directory.LayerRange(start, end)
        if end <= start:
            kept = directory.NO_LAYERS
        return dataclasses.replace(server, layers=kept)

    def finder(self, engine: catalog.Engine, now: float) -> paths.PathFinder:
        """Returns a path finder for a service's runners at present."""
        return paths.PathFinder(
            engine,
            self.book,
            self.pace_reader(now),
            frozenset(self.book.full(now)),
        )

    def note_pace(self, now: float, address: str, value: float) -> None:
        """Takes a pace that a runner reported just now."""
        self.pace_by_address[address] = Pace(value, now)

    def pace_reader(self, now: float) -> Callable[[str], float]:
        """Returns a function from an address to the runner's pace."""

        def pace_of(address: str) -> float:
            found = self.pace_by_address.get(address)
            if found is None or now - found.read_at > PACE_SECONDS:
                return 1.0
            return max(1.0, found.value)

        return pace_of

    def budget(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        """Returns this router's share of a service's retry budget."""
        found = self._budget_by_service.get(service)
        if found is None:
            found = self._budget_by_service[service] = retry_budget.RetryBudget(
                ratio=self.bounds.retry_ratio,
                slack=self.bounds.retry_slack,
                window=self.bounds.retry_window_seconds,
            )
        return found

    def budget_counts(
        self, now: float
    ) -> dict[ids.ServiceId, retry_budget.Counts]:
        """Returns what this router counted for each service's budget."""
        return {
            service: budget.counts(now)
            for service, budget in self._budget_by_service.items()
        }

    def suspect(
        self,
        now: float,
        server: directory.Server,
        reason: suspect_servers.Reason,
    ) -> bool:
        """Leaves a server out until it has recovered."""
        changed = self.trust.mark_suspect(
            now, server.address, server.lifetime, reason
        )
        if changed and reason in suspect_servers.SHARED_REASONS:
            self._announce()
        return changed

    def _announce(self) -> None:
        for listener in list(self.listeners):
            listener()

    def is_gone(self, server: directory.Server) -> bool:
        """Tells whether a lifetime of a server is known to have ended."""
        known = self.directory.server_by_id.get(server.id)
        if known is None or known.lifetime != server.lifetime:
            return True
        return (
            self.trust.is_suspect(server.address, server.lifetime)
            and server.address in self.trust.down_addresses()
        )

    def server_at(self, address: str) -> directory.Server | None:
        """Returns the server at an address, the youngest of several."""
        return max(
            (
                server
                for server in self.directory.server_by_id.values()
                if server.address == address
            ),
            key=lambda server: server.revision,
            default=None,
        )
