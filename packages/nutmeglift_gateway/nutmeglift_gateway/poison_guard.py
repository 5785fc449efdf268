"""Keeps requests that end servers away from them.

Combines the evidence of crashes, its judgement and the quarantines. It is fed
with what this router observes and with what its peers report.
"""

import bisect
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from nutmeglift import ids
from nutmeglift_gateway import crash_evidence
from nutmeglift_gateway import poison_detection
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import runs

MAX_SURVIVAL_COUNT = 4096
"""Limits the survivals whose times are kept."""

Segments = tuple[ids.SegmentId, ...]


async def _claim_nothing(entry: quarantine.Entry, request_id: str) -> bool:
    return False


class PoisonGuard:
    """What one router knows of requests that end servers.

    Attributes:
        vm: this router's VM.
        evidence: the crashes and their suspects.
        quarantines: the segments that are not sent.
        listeners: called when a quarantine is imposed or renewed.
        on_decision: called with the name and the fields of each decision.
        on_change: called when this router has something to report to its peers.
        is_ended: returns whether a lifetime of a server is known to have ended.
        router_count: returns the number of live routers.
        claim_trial: reserves a trial for a request of this router.
        unsaved: quarantines that this router has changed and not yet stored.
    """

    def __init__(self) -> None:
        self.vm = ""
        self.evidence = crash_evidence.CrashEvidence()
        self.quarantines = quarantine.Quarantines()
        self.listeners: set[Callable[[], None]] = set()
        self.on_decision: Callable[[str, dict[str, Any]], None] = (
            lambda event, fields: None
        )
        self.on_change: Callable[[], None] = lambda: None
        self.is_ended: Callable[[runs.Lifetime], bool] = lambda lifetime: True
        self.router_count: Callable[[], int] = lambda: 1
        self.claim_trial: Callable[[quarantine.Entry, str], Awaitable[bool]] = (
            _claim_nothing
        )
        self.unsaved: set[Segments] = set()
        self._survivals: list[tuple[float, Segments]] = []
        self._survival_counts: collections.Counter[ids.SegmentId] = (
            collections.Counter()
        )

    def digest(self) -> int:
        """Returns a number that is the same if two routers know the same."""
        return self.evidence.digest() ^ self.quarantines.digest()

    # What this router observes.

    def record_survival(self, now: float, run: runs.Run) -> None:
        """Records that a run survived its beginning."""
        self._survivals.append((now, run.segments))
        self._survival_counts.update(run.segments)
        if len(self._survivals) > MAX_SURVIVAL_COUNT:
            self._drop_survivals(MAX_SURVIVAL_COUNT // 2)
        if not run.segments:
            return
        stamp = self.evidence.stamp
        self.evidence.record_sound(now, run.segments)
        if self.evidence.stamp != stamp:
            self.on_change()
        entry = self._trial_of(run)
        if entry is not None:
            self.change(
                now, entry.changed(quarantine.State.LIFTED), "trial survived"
            )

    def record_crash(
        self, now: float, crash: runs.Crash, server_version: str
    ) -> None:
        """Records a crash that ended runs of this router."""
        if self.evidence.merge(now, crash_evidence.from_crash(crash, self.vm)):
            self.on_change()
        for run in crash.suspects:
            entry = self._trial_of(run)
            if entry is not None:
                self.change(
                    now,
                    entry.changed(
                        quarantine.State.ACTIVE,
                        failed_trials=entry.failed_trials + 1,
                        server_version=server_version,
                    ),
                    "trial ended its server",
                )
        self.judge(now, server_version)

    def judge(self, now: float, server_version: str = "") -> None:
        """Imposes the quarantines that the evidence demands.

        Args:
            now: loop time in seconds.
            server_version: software version of the server that ended last.
        """
        while (verdict := self._find_poison(now)) is not None:
            known = self.quarantines.get(verdict.segments)
            evidence = tuple(c.lifetime[0] for c in verdict.crashes)
            entry = (
                quarantine.Entry(verdict.segments)
                if known is None
                else known.changed(quarantine.State.ACTIVE)
            )
            entry = quarantine.with_evidence(entry, evidence, server_version)
            if not self.change(
                now,
                entry,
                "crashes",
                requests=verdict.request_ids,
                score=round(verdict.score, 1),
                seen_by=sorted({v for c in verdict.crashes for v in c.seen_by}),
                ages=[round(now - c.at, 3) for c in verdict.crashes],
            ):
                return

    def find(self, segments: Segments) -> quarantine.Entry | None:
        """Returns the quarantine that a request may not leave by a retry."""
        return self.quarantines.find(segments)

    def find_for(
        self, segments: Segments, request_id: str
    ) -> quarantine.Entry | None:
        """Returns the quarantine that a request is in, unless it is a trial."""
        return self.quarantines.find(segments, request_id)

    def change(
        self,
        now: float,
        entry: quarantine.Entry,
        reason: str,
        **fields: Any,
    ) -> bool:
        """Applies this router's change of a quarantine, which peers receive."""
        if not self.quarantines.merge(now, entry):
            return False
        self.unsaved.add(entry.segments)
        self._applied(now, entry, reason, fields)
        return True

    def is_suspected(self, segments: Segments) -> bool:
        """Returns whether a suspect of any crash has one of the segments."""
        return self.evidence.is_suspected(segments)

    # What peers and the store report.

    def merge_crash(
        self, now: float, crash: crash_evidence.CrashRecord
    ) -> bool:
        """Adds a peer's report of a crash; returns whether it was new."""
        return self.evidence.merge(now, crash)

    def merge_entry(
        self, now: float, entry: quarantine.Entry, source: str
    ) -> bool:
        """Applies a quarantine from a peer or the store if it is newer."""
        if not self.quarantines.merge(now, entry):
            return False
        self._applied(now, entry, source, {})
        return True

    def expire(self, now: float) -> None:
        """Drops what is too old to matter."""
        self.evidence.expire(now)
        self.quarantines.expire(now)
        old = self._survival_index(now - 2 * poison_detection.RATE_SECONDS)
        self._drop_survivals(old)

    def _applied(
        self,
        now: float,
        entry: quarantine.Entry,
        reason: str,
        fields: dict[str, Any],
    ) -> None:
        if entry.state is quarantine.State.LIFTED:
            # The crashes before it say nothing any more.
            for segment in entry.segments:
                self.evidence.merge_sound(now, segment)
        self.on_decision(
            "quarantine",
            {
                "segments": entry.segments,
                "state": entry.state.value,
                "version": entry.version,
                "cause": entry.cause.value,
                "failed_trials": entry.failed_trials,
                "servers": entry.evidence,
                "reason": reason,
                **fields,
            },
        )
        self.on_change()
        for listener in list(self.listeners):
            listener()

    def _find_poison(self, now: float) -> poison_detection.Verdict | None:
        crashes = [
            crash
            for crash in self.evidence.crashes()
            if not self._is_explained(crash)
            and (self.vm in crash.seen_by or self.is_ended(crash.lifetime))
        ]
        if len(crashes) < 2:  # noqa: PLR2004 - a single one proves nothing.
            return None
        return poison_detection.find_poison(
            now,
            crashes,
            poison_detection.Survivals(
                self._count_survivals,
                self._share_of,
                self.evidence.last_sound(),
            ),
        )

    def _is_explained(self, crash: crash_evidence.CrashRecord) -> bool:
        """Returns whether a suspect of a crash is in quarantine since."""
        if self.quarantines.segments().isdisjoint(crash.suspects_by_segment):
            return False
        return any(
            self.quarantines.find(suspect.segments) is not None
            for suspect in crash.suspect_by_id.values()
        )

    def _count_survivals(self, start: float, end: float) -> float:
        """Returns how many runs survived, estimated for all routers."""
        own = self._survival_index(end) - self._survival_index(start)
        return float(own * max(1, self.router_count()))

    def _share_of(self, segment: ids.SegmentId) -> float:
        """Returns the part of this router's requests that have a segment.

        One more request is assumed to have it.
        """
        count = self._survival_counts[segment]
        return (count + 0.5) / (len(self._survivals) + 1.0)

    def _drop_survivals(self, count: int) -> None:
        for _, segments in self._survivals[:count]:
            self._survival_counts.subtract(segments)
            for segment in segments:
                if self._survival_counts[segment] <= 0:
                    del self._survival_counts[segment]
        del self._survivals[:count]

    def _survival_index(self, at: float) -> int:
        return bisect.bisect(self._survivals, at, key=lambda each: each[0])

    def _trial_of(self, run: runs.Run) -> quarantine.Entry | None:
        entry = self.quarantines.find(run.segments)
        if (
            entry is None
            or entry.state is not quarantine.State.TRIAL
            or entry.trial_id != run.request_id
        ):
            return None
        return entry


def shared(raw: Iterable[str]) -> Segments:
    """Returns segments as they are kept."""
    return tuple(sorted({ids.SegmentId(each) for each in raw}))
