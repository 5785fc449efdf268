"""What a router tells its peers, and what it takes from them."""

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import retry_budget
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import suspect_servers

COPY_INTERVAL_SECONDS = 0.5
"""A peer that the store turns away learns of leaving servers within a quarter
of the operators' bound."""
WATCH_HEAD_START_SECONDS = 0.4
"""A peer's own watch usually brings a configuration sooner than a copy."""
VIEW_LEAD_SECONDS = 2.6
"""A view of the store is live by one watch call after the other; a view that
is older by more than one call belongs to a router that the store does not
serve."""
PACE_NEWS_SECONDS = 1.0
"""Paces that were read since are told, good ones too: a peer that holds a
runner for slow learns that it is well."""
NEVER = 1e9
"""Seconds; greater than any age."""


class PeerState:
    """One side of the link between two routers, without the socket."""

    def __init__(
        self,
        board: boards.Board,
        reader: store_reader.StoreReader,
        vm: str,
    ) -> None:
        self._board = board
        self._reader = reader
        self._vm = vm
        self._sequence = 0
        self._received = 0
        self._sent_at_by_sequence: dict[int, float] = {}
        self._copied_at = float("-inf")
        self._behind_since: float | None = None

    def make_report(
        self, now: float, boot_now: float
    ) -> peer_messages.PeerReport:
        """Returns the next report.

        Args:
            now: seconds of the loop.
            boot_now: seconds on the clock that counts suspension.
        """
        board = self._board
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = boot_now
        for old in list(self._sent_at_by_sequence):
            if old < self._received or old < self._sequence - 50:
                del self._sent_at_by_sequence[old]
        age = board.freshness.age(boot_now)
        return peer_messages.PeerReport(
            vm=self._vm,
            sequence=self._sequence,
            echo=self._received,
            generation=board.catalog.generation if board.catalog else 0,
            confirmation_age=_known_age(age),
            store_age=(
                -1.0
                if self._reader.is_down
                else _known_age(self._reader.age(now))
            ),
            store_revision=self._reader.revision,
            coverage_in=max(0.0, board.coverage_eta - now),
            loads=[
                peer_messages.LoadRow(
                    address, load.requests, load.firsts, load.token_layers
                )
                for address, load in board.book.own().items()
            ],
            suspects=[
                peer_messages.SuspectRow(
                    address,
                    lifetime[0],
                    lifetime[1],
                    board.trust.reason(address),
                )  # fmt: skip
                for address, lifetime in board.trust.suspects().items()
            ],
            paces=[
                peer_messages.PaceRow(address, pace.value, now - pace.read_at)
                for address, pace in board.pace_by_address.items()
                if now - pace.read_at < PACE_NEWS_SECONDS
            ],
            fence=board.fence,
            moves=[
                peer_messages.MoveRow(
                    *moving.lifetime, moving.kept.start, moving.kept.end
                )
                for moving in board.moves.values()
                if board.fence
            ],
            budgets=[
                peer_messages.BudgetRow(
                    service, counts.requests, counts.repeats
                )
                for service, counts in board.budget_counts(now).items()
            ],
        )

    def take(
        self, message: peer_messages.Message, now: float, boot_now: float
    ) -> list[peer_messages.Message]:
        """Takes a message; returns what to send in answer."""
        match message:
            case peer_messages.PeerReport():
                return self._take_report(message, now, boot_now)
            case peer_messages.CatalogCopy(entry):
                self._reader.take_catalog(_key_value(entry))
            case peer_messages.ServersCopy(age, entries):
                lead = 0.0 if self._reader.is_down else VIEW_LEAD_SECONDS
                if age + lead < self._reader.age(now):
                    self._reader.take_servers(
                        now,
                        [_key_value(entry) for entry in entries],
                        now - age,
                    )
            case peer_messages.Changes(after, rows):
                self._reader.take_changes(
                    ids.Revision(after), [_event(row) for row in rows]
                )
        return []

    def _take_report(
        self, report: peer_messages.PeerReport, now: float, boot_now: float
    ) -> list[peer_messages.Message]:
        if report.vm == self._vm:
            raise errors.MalformedMessageError("a report of our own")
        board = self._board
        self._received = report.sequence
        board.book.take_report(
            now,
            report.vm,
            {
                row.address: loads.Load(
                    row.requests, row.firsts, row.token_layers
                )
                for row in report.loads
            },
        )
        if report.coverage_in > 0:
            board.coverage_eta = max(
                board.coverage_eta, now + report.coverage_in
            )
        if report.fence:
            self._take_planner(report, now)
        for spent in report.budgets:
            board.budget(ids.ServiceId(spent.service)).set_peer_counts(
                now,
                report.vm,
                retry_budget.Counts(spent.requests, spent.repeats),
            )
        for row in report.suspects:
            server = board.server_at(row.address)
            if (
                server is not None
                and row.reason in suspect_servers.SHARED_REASONS
                and server.lifetime == (row.server, row.born)
            ):
                board.suspect(
                    now, server, suspect_servers.Reason.REPORTED_BY_PEER
                )
        for pace in report.paces:
            known = board.pace_by_address.get(pace.address)
            read_at = now - pace.age
            if known is None or known.read_at < read_at:
                board.pace_by_address[pace.address] = boards.Pace(
                    pace.pace, read_at
                )
        self._take_confirmation(report)
        return self._copies(report, now)

    def _take_planner(
        self, report: peer_messages.PeerReport, now: float
    ) -> None:
        """Takes what only the planner's reports say."""
        board = self._board
        if not board.note_planner(ids.FencingNumber(report.fence)):
            return
        reader = self._reader
        if reader.relay.take_report(
            now,
            live=report.store_age >= 0,
            revision=report.store_revision,
            own_revision=reader.revision,
        ):
            reader.live_at = max(reader.live_at, now - report.store_age)
        board.set_moves(
            now,
            {
                row.server: boards.Moving(
                    (row.server, row.born),
                    directory.LayerRange(row.start, row.end),
                )
                for row in report.moves
            },
        )

    def _take_confirmation(self, report: peer_messages.PeerReport) -> None:
        """Dates a peer's confirmation by when we sent what it answers."""
        sent_at = self._sent_at_by_sequence.get(report.echo)
        own = self._board.catalog
        if sent_at is None or own is None or report.confirmation_age < 0:
            return
        if own.generation < report.generation:
            return
        self._board.freshness.confirm(sent_at - report.confirmation_age)

    def _copies(
        self, report: peer_messages.PeerReport, now: float
    ) -> list[peer_messages.Message]:
        own = self._board.catalog
        behind = own is not None and report.generation < own.generation
        if not behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        if now - self._copied_at < COPY_INTERVAL_SECONDS:
            return []
        copies: list[peer_messages.Message] = []
        entry = self._reader.catalog_entry()
        if (
            self._behind_since is not None
            and now - self._behind_since >= WATCH_HEAD_START_SECONDS
            and entry is not None
        ):
            copies.append(peer_messages.CatalogCopy(_row(entry)))
        own_age = NEVER if self._reader.is_down else self._reader.age(now)
        peer_age = report.store_age if report.store_age >= 0 else NEVER
        if own_age + VIEW_LEAD_SECONDS < peer_age:
            copies.append(
                peer_messages.ServersCopy(
                    own_age, [_row(e) for e in self._reader.server_entries()]
                )
            )
        if copies:
            self._copied_at = now
        return copies


def _known_age(age: float) -> float:
    return age if age < NEVER else -1.0


def _row(entry: kv.KeyValue) -> peer_messages.EntryRow:
    return peer_messages.EntryRow(entry.key, entry.value, entry.mod_revision)


def _key_value(row: peer_messages.EntryRow) -> kv.KeyValue:
    return kv.KeyValue(row.key, row.value, ids.Revision(row.revision))


def make_changes(
    after: ids.Revision, events: list[kv.WatchEvent], catalog_key: str
) -> peer_messages.Changes:
    """Returns changes of the store for the other routers.

    Args:
        after: the last change before them.
        events: in order.
        catalog_key: key of the configuration: it is large, and each router
            reads it where it confirms it.
    """
    return peer_messages.Changes(
        after,
        [
            peer_messages.ChangeRow(
                event.entry.key,
                b"" if event.entry.key == catalog_key else event.entry.value,
                event.entry.mod_revision,
                event.kind is kv.WatchKind.DELETE,
            )
            for event in events
        ],
    )


def _event(row: peer_messages.ChangeRow) -> kv.WatchEvent:
    kind = kv.WatchKind.DELETE if row.removed else kv.WatchKind.PUT
    entry = kv.KeyValue(row.key, row.value, ids.Revision(row.revision))
    return kv.WatchEvent(kind, entry)
