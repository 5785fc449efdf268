"""Protocol state of a link between two routers."""

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import budget_rows
from nutmeglift_gateway import directory
from nutmeglift_gateway import freshness
from nutmeglift_gateway import hold_off_rows
from nutmeglift_gateway import load_rows
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import relayed_changes
from nutmeglift_gateway import report_times
from nutmeglift_gateway import servers_fetch
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import suspect_rows
from nutmeglift_gateway import view_age
from nutmeglift_gateway.load import demand_rows
from nutmeglift_gateway.load import report_intervals

PACE_REPORT_MAX_AGE_SECONDS = 1.0
"""Paces read within this time are reported, once on each link. Nominal ones are
included, so that a peer that considers a runner slow learns of its recovery."""


class PeerState:
    """One side of a link between two routers, independent of the transport.

    Attributes:
        domain: the peer's failure domain; None before its first report.
        plans: whether the peer plans.
    """

    def __init__(
        self,
        board: boards.Board,
        reader: store_reader.StoreReader,
        vm: str,
    ) -> None:
        self._board = board
        self._reader = reader
        self._vm = vm
        self.domain: ids.FailureDomain | None = None
        self.plans = False
        self._load_encoder = load_rows.Encoder()
        self._load_decoder = load_rows.Decoder()
        self._demand_encoder = demand_rows.Encoder()
        self._demand_decoder = demand_rows.Decoder()
        self._poison_encoder = poison_rows.Encoder()
        self._paces_sent_until = float("-inf")
        self._times = report_times.ReportTimes()

    def make_report(
        self, now: float, boot_now: float
    ) -> peer_messages.PeerReport:
        """Returns the next report.

        Args:
            now: loop time in seconds.
            boot_now: seconds on the clock that includes time in suspension.
        """
        board = self._board
        outage = self._reader.outage
        age = board.freshness.age(boot_now)
        report = peer_messages.PeerReport(
            vm=self._vm,
            sequence=self._times.record_sent(boot_now),
            echo=self._times.received,
            generation=board.catalog.generation if board.catalog else 0,
            confirmation_age=view_age.known_age(age),
            store_age=(
                -1.0
                if self._reader.is_down
                else view_age.known_age(self._view_age(boot_now))
            ),
            store_revision=self._reader.view.confirmed_revision,
            coverage_in=max(0.0, board.coverage_eta - now),
            loads=self._load_encoder.encode(board.load_tracker.own()),
            suspects=suspect_rows.encode(board),
            paces=[
                peer_messages.PaceRow(address, pace.value, now - pace.read_at)
                for address, pace in board.pace_by_address.items()
                if pace.own
                and pace.read_at >= self._paces_sent_until
                and now - pace.read_at < PACE_REPORT_MAX_AGE_SECONDS
            ],
            fence=board.fence,
            moves=[
                peer_messages.MoveRow(
                    *pending_move.lifetime,
                    pending_move.retained.start,
                    pending_move.retained.end,
                )
                for pending_move in board.moves.values()
                if board.fence
            ],
            budgets=budget_rows.encode(now, board.budgets),
            domain=board.home,
            poison=self._poison_encoder.encode(now, board.guard),
            rejected=board.freshness.rejected_revision,
            digest=board.freshness.digest,
            hold_offs=hold_off_rows.encode(now, board.hold_offs),
            failing_for_ms=outage.failing_for_ms(now),
            failed_ago_ms=outage.failed_ago_ms(now),
            watches=self._reader.relays_changes,
            demand=self._demand_encoder.encode(board.demand.own(now)),
        )
        self._paces_sent_until = now
        return report

    @property
    def report_interval(self) -> float:
        """Interval of the reports to the peer, in seconds."""
        board = self._board
        return report_intervals.interval(
            board.live_peers.count,
            is_near=self.domain in (None, board.home),
            plans=self.plans or bool(board.fence),
        )

    def handle_message(
        self, message: peer_messages.Message, now: float, boot_now: float
    ) -> list[peer_messages.Message]:
        """Processes a message; returns the messages to send in response."""
        match message:
            case peer_messages.PeerReport():
                return self._handle_report(message, now, boot_now)
            case peer_messages.CatalogRequest(generation):
                return self._copy_catalog(generation)
            case peer_messages.CatalogCopy(entry):
                value = peer_messages.decompress(entry.value)
                self._reader.view.catalog.apply(
                    kv.KeyValue(entry.key, value, ids.Revision(entry.revision)),
                    copied=True,
                )
            case peer_messages.ServersRequest():
                return self._copy_servers(boot_now)
            case peer_messages.ServersCopy(age, entries):
                min_difference = (
                    0.0
                    if self._reader.is_down
                    else servers_fetch.MIN_AGE_DIFFERENCE_SECONDS
                )
                if age + min_difference < self._view_age(boot_now):
                    self._reader.view.apply_servers(
                        now,
                        [peer_messages.key_value(entry) for entry in entries],
                        boot_now - age,
                    )
            case peer_messages.Changes(after, rows):
                self._reader.view.apply_changes(
                    ids.Revision(after),
                    [relayed_changes.decode(row) for row in rows],
                )
        return []

    def _handle_report(
        self, report: peer_messages.PeerReport, now: float, boot_now: float
    ) -> list[peer_messages.Message]:
        if report.vm == self._vm:
            raise errors.MalformedMessageError(
                "received this router's own report"
            )
        board = self._board
        self._times.record_received(report.sequence, report.echo)
        is_served = report.store_age >= 0
        self.domain = ids.FailureDomain(report.domain)
        self.plans = bool(report.fence)
        board.live_peers.record_report(
            now,
            report.vm,
            self.domain,
            served=is_served,
            timeout=report_intervals.timeout(
                board.live_peers.count, is_near=self.domain == board.home
            ),
        )
        board.load_tracker.record_report(
            now, report.vm, self._load_decoder.decode(report.loads)
        )
        self._reader.outage.record_peer(now, report.vm, served=is_served)
        self._apply_failures(report, now, boot_now)
        if report.coverage_in > 0:
            board.coverage_eta = max(
                board.coverage_eta, now + report.coverage_in
            )
        if report.fence:
            self._apply_planner_report(report, now)
        elif report.watches:
            self._apply_watcher_report(report, now)
        sent_at = self._times.sent_at(report.echo)
        budget_rows.apply(
            now,
            report.vm,
            report.budgets,
            board.budgets,
            # The peer took them after it had received the report of ours that
            # it echoes.
            float("-inf") if sent_at is None else now - boot_now + sent_at,
        )
        suspect_rows.apply(now, report.suspects, board)
        for pace in report.paces:
            known = board.pace_by_address.get(pace.address)
            read_at = now - pace.age
            if known is None or known.read_at < read_at:
                board.pace_by_address[pace.address] = boards.Pace(
                    pace.pace, read_at
                )
        hold_off_rows.apply(
            now, report.hold_offs, board.directory, board.hold_offs
        )
        problems = self._demand_decoder.apply(report.demand)
        board.demand.record_report(
            now, report.vm, dict(self._demand_decoder.demand_by_key)
        )
        problems += self._apply_poison(report, now)
        if problems:
            self._reader.delay_log.write_malformed_rows(report.vm, problems)
        self._apply_confirmation(report)
        self._compare_views(report, boot_now)
        return (
            self._request_catalog(report, now)
            + self._request_servers(report, now, boot_now)
            + self._reader.recent_changes.missing(
                now, ids.Revision(report.store_revision)
            )
        )

    def _apply_failures(
        self, report: peer_messages.PeerReport, now: float, boot_now: float
    ) -> None:
        """Dates a peer's failed calls, by our report that it echoes."""
        sent_at = self._times.sent_at(report.echo)
        if sent_at is None or report.failed_ago_ms < 0:
            return
        made_at = now - boot_now + sent_at
        self._reader.outage.record_peer_failures(
            now,
            made_at - report.failing_for_ms / 1000,
            made_at - report.failed_ago_ms / 1000,
        )

    def _apply_poison(
        self, report: peer_messages.PeerReport, now: float
    ) -> list[str]:
        """Returns what is wrong with the rows."""
        guard = self._board.guard
        problems = poison_rows.apply(now, report.vm, report.poison, guard)
        self._poison_encoder.record_peer_digest(
            now, report.poison.digest, guard.digest()
        )
        return problems

    def _apply_planner_report(
        self, report: peer_messages.PeerReport, now: float
    ) -> None:
        """Applies the fields that are set only in the planner's reports."""
        board = self._board
        if not board.record_planner(ids.FencingNumber(report.fence)):
            return
        self._record_relay(report, now)
        board.set_moves(
            now,
            {
                row.server: boards.PendingMove(
                    (row.server, row.born),
                    directory.LayerRange(row.start, row.end),
                )
                for row in report.moves
            },
        )

    def _apply_watcher_report(
        self, report: peer_messages.PeerReport, now: float
    ) -> None:
        """Relies on a router of this failure domain; of two, on the first."""
        if (
            not self._board.fence
            and report.domain == self._board.home
            and (not self._reader.relays_changes or report.vm < self._vm)
        ):
            self._record_relay(report, now)

    def _record_relay(
        self, report: peer_messages.PeerReport, now: float
    ) -> None:
        self._reader.relay.record_report(
            now,
            live=report.store_age >= 0,
            revision=report.store_revision,
            own_revision=self._reader.view.revision,
        )

    def _apply_confirmation(self, report: peer_messages.PeerReport) -> None:
        """Dates a peer's confirmation conservatively.

        The reference is the time at which this side sent the report that the
        peer's report echoes.
        """
        board = self._board
        if report.rejected > board.freshness.stored_revision:
            # The sender's configuration is not the newest, and this router has
            # not seen what the newest one takes away.
            self._reader.view.catalog.announce(ids.Revision(report.rejected))
            return
        sent_at = self._times.sent_at(report.echo)
        if sent_at is None or report.confirmation_age < 0:
            return
        board.confirm(
            freshness.PeerConfirmation(
                sent_at - report.confirmation_age,
                ids.Generation(report.generation),
                report.digest,
            )
        )

    def _compare_views(
        self, report: peer_messages.PeerReport, boot_now: float
    ) -> None:
        """Records a peer's revision of the store, dated like a confirmation."""
        if report.store_revision < 0:
            return
        current_at = view_age.NEVER
        sent_at = self._times.sent_at(report.echo)
        if sent_at is not None and report.store_age >= 0:
            current_at = sent_at - report.store_age
        self._reader.view.view_age.record_store_revision(
            boot_now, ids.Revision(report.store_revision), current_at
        )
        self._reader.check_view()

    def _view_age(self, boot_now: float) -> float:
        return self._reader.view.view_age.age(boot_now)

    def _request_catalog(
        self, report: peer_messages.PeerReport, now: float
    ) -> list[peer_messages.Message]:
        """Requests the peer's configuration if it is newer and needed."""
        own = self._board.catalog
        if not self._reader.catalog_fetch.should_request(
            now,
            ids.Generation(report.generation),
            ids.FailureDomain(report.domain),
        ):
            return []
        return [peer_messages.CatalogRequest(own.generation if own else 0)]

    def _copy_catalog(self, generation: int) -> list[peer_messages.Message]:
        """Returns a copy for a peer with an older configuration."""
        own = self._board.catalog
        compressed = self._reader.view.catalog.compressed()
        if own is None or compressed is None or own.generation <= generation:
            return []
        return [peer_messages.CatalogCopy(peer_messages.entry_row(compressed))]

    def _request_servers(
        self, report: peer_messages.PeerReport, now: float, boot_now: float
    ) -> list[peer_messages.Message]:
        """Requests the peer's view of the servers if it is newer and needed."""
        if (
            report.store_age < 0
            or not self._reader.servers_fetch.should_request(
                now,
                ids.FailureDomain(report.domain),
                age=report.store_age,
                own_age=self._view_age(boot_now),
                is_down=self._reader.is_down,
            )
        ):
            return []
        return [peer_messages.ServersRequest()]

    def _copy_servers(self, boot_now: float) -> list[peer_messages.Message]:
        """Returns a copy for a peer with an older view."""
        age = self._view_age(boot_now)
        if self._reader.is_down or age >= view_age.MAX_AGE_SECONDS:
            return []
        entries = self._reader.view.server_entries()
        rows = [peer_messages.entry_row(entry) for entry in entries]
        return [peer_messages.ServersCopy(age, rows)]
