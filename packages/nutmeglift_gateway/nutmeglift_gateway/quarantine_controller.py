"""Keeps the quarantines in the store, and reserves their trials."""

import asyncio
import functools
import hashlib

from nutmeglift import errors
from nutmeglift import kv
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import crash_checks
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import poison_guard
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import store_reader
from nutmeglift_gateway import store_view

POLL_INTERVAL_SECONDS = 0.1
"""Interval at which crashes are looked for that no connection has shown."""
SAVE_RETRY_SECONDS = 0.5
"""Delay after a failed write."""
REPAIR_INTERVAL_SECONDS = 5.0
"""Interval at which the planner compares the store with what is known."""
CONFIRM_SECONDS = 2.0
"""Time in which this router finds that a server that a peer reports has
ended."""
KEY_DIGEST_BYTES = 16


class QuarantineController:
    """Connects the poison guard of a router to the store and to its log."""

    def __init__(
        self,
        store: kv.BaseKv,
        reader: store_reader.StoreReader,
        board: boards.Board,
        failure_recorder: recorders.FailureRecorder,
        vm: str,
        log: decision_log.DecisionLog,
        metrics: metric_sets.Metrics,
    ) -> None:
        """Connects the board's guard.

        Args:
            store: client of the key-value service.
            reader: the view of the store.
            board: the router's shared state.
            failure_recorder: records the crashes.
            vm: this router's VM.
            log: log of the router's decisions.
            metrics: counts the decisions.
        """
        self._store = store
        self._view = reader.view
        self._reader = reader
        self._board = board
        self._guard = board.guard
        self._failure_recorder = failure_recorder
        self._log = log
        self._metrics = metrics
        self._changed = asyncio.Event()
        self._save_not_before = float("-inf")
        self._repair_at = float("-inf")
        self._judge_until = float("-inf")
        self._judged_stamp = 0
        self._guard.vm = vm
        self._guard.on_decision = self._record_decision
        self._guard.on_change = self._on_change
        self._guard.is_ended = functools.partial(
            crash_checks.may_have_crashed, board
        )
        self._guard.claim_trial = self.claim_trial

    async def run(self) -> None:
        """Saves changes and looks for crashes until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            now = loop.time()
            self._find_replaced(now)
            self._guard.expire(now)
            if self._guard.evidence.stamp != self._judged_stamp:
                self._judged_stamp = self._guard.evidence.stamp
                self._judge_until = now + CONFIRM_SECONDS
            if now < self._judge_until:
                self._guard.judge(now)
            if now >= self._save_not_before:
                await self._save(now)

    async def claim_trial(
        self, entry: quarantine.Entry, request_id: str
    ) -> bool:
        """Reserves a trial for a request over all routers.

        Returns:
            Whether this request may be sent.
        """
        trial = entry.changed(quarantine.State.TRIAL, trial_id=request_id)
        try:
            if not await self._put(trial):
                return False
        except errors.PlatformError as error:
            self._log.write("trial not reserved", detail=str(error))
            return False
        now = asyncio.get_running_loop().time()
        return self._guard.change(now, trial, "trial")

    def _find_replaced(self, now: float) -> None:
        """Records crashes that only the server's next lifetime shows."""
        tracker = self._board.runs
        for lifetime, address in tracker.lifetimes_with_lost_runs(now):
            if crash_checks.has_crashed(self._board, lifetime, address):
                self._failure_recorder.record_ended(now, lifetime)

    async def _save(self, now: float) -> None:
        """Writes the quarantines that the store lacks."""
        if self._board.fence and now >= self._repair_at:
            self._repair_at = now + REPAIR_INTERVAL_SECONDS
            await self._remove_old()
            self._guard.unsaved |= {
                entry.segments
                for entry in self._guard.quarantines.entries()
                if self._is_newer_than_stored(entry)
            }
        for segments in sorted(self._guard.unsaved):
            entry = self._guard.quarantines.get(segments)
            try:
                if entry is not None and self._is_newer_than_stored(entry):
                    await self._put(entry)
            except errors.PlatformError as error:
                self._save_not_before = now + SAVE_RETRY_SECONDS
                self._log.write(
                    "quarantine not saved", segments=segments, detail=str(error)
                )
                return
            self._guard.unsaved.discard(segments)

    def _is_newer_than_stored(self, entry: quarantine.Entry) -> bool:
        stored = self._view.quarantine_by_key.get(entry_key(entry.segments))
        if stored is None:
            return True
        found = poison_rows.decode_entry(stored.value)
        return found is None or found.order < entry.order

    async def _put(self, entry: quarantine.Entry) -> bool:
        """Writes an entry unless another router has changed it meanwhile."""
        key = entry_key(entry.segments)
        stored = self._view.quarantine_by_key.get(key)
        revision = kv.NEVER_WRITTEN if stored is None else stored.mod_revision
        value = poison_rows.encode_entry(entry)
        result = await self._store.txn(
            [kv.Compare(key, revision)], [kv.Put(key, value)], [kv.Get(key)]
        )
        if result.succeeded:
            self._view.quarantine_by_key[key] = kv.KeyValue(
                key, value, result.revision
            )
            return True
        for rows in result.found:
            for row in rows:
                self._view.apply_quarantine(row)
        return False

    async def _remove_old(self) -> None:
        """Removes the entries of quarantines that were lifted long ago."""
        for key, stored in list(self._view.quarantine_by_key.items()):
            entry = poison_rows.decode_entry(stored.value)
            if entry is not None and (
                entry.state is not quarantine.State.LIFTED
                or self._guard.quarantines.get(entry.segments) is not None
            ):
                continue
            try:
                await self._store.txn(
                    [kv.Compare(key, stored.mod_revision)], [kv.Delete(key)]
                )
            except errors.PlatformError as error:
                self._log.write("quarantine not removed", detail=str(error))
                return

    def _record_decision(self, event: str, fields: dict[str, object]) -> None:
        self._metrics.quarantines.labels(str(fields.get("state", ""))).inc()
        self._log.write(event, **fields)

    def _on_change(self) -> None:
        self._changed.set()
        self._board.notify_listeners()


def entry_key(segments: poison_guard.Segments) -> str:
    """Returns the store key of a quarantine."""
    digest = hashlib.blake2b(
        ",".join(segments).encode(), digest_size=KEY_DIGEST_BYTES
    )
    return store_view.QUARANTINE_PREFIX + digest.hexdigest()
