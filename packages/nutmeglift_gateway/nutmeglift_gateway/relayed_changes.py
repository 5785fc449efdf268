"""Formats changes of the store that the planner relays to other routers."""

import collections

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import peer_messages

MAX_VALUE_BYTES = 64 * 1024
"""Larger values are left out: no entry that routers use has one but the
configuration, which each router reads when it confirms it."""
MAX_BATCH_BYTES = 1024 * 1024
"""Splits changes into several messages, far below the limit of one."""
MAX_RECENT_COUNT = 256
"""Changes that are kept for peers that did not receive them: several seconds of
a busy store."""
DELIVERY_SECONDS = 0.15
"""Time in which relayed changes arrive, and a report confirms them."""
ROW_OVERHEAD_BYTES = 16
"""Revision, flag and framing of a row."""


class RecentChanges:
    """Changes that were relayed, for peers that did not receive them.

    A router that has just listed the store, or whose link was replaced, lacks
    the few changes before the next ones.
    """

    def __init__(self, catalog_key: str) -> None:
        """Initializes without changes.

        Args:
            catalog_key: key of the configuration, whose value is left out.
        """
        self._catalog_key = catalog_key
        self._after = ids.Revision(-1)
        self._events: collections.deque[tuple[float, kv.WatchEvent]] = (
            collections.deque()
        )

    def record(
        self, now: float, after: ids.Revision, events: list[kv.WatchEvent]
    ) -> None:
        """Records changes that are relayed.

        Args:
            now: loop time in seconds.
            after: revision of the last change before them.
            events: changes in order.
        """
        if not self._events or after != self._events[-1][1].entry.mod_revision:
            self._events.clear()
            self._after = after
        self._events.extend((now, event) for event in events)
        while len(self._events) > MAX_RECENT_COUNT:
            _, oldest = self._events.popleft()
            self._after = oldest.entry.mod_revision

    def missing(
        self, now: float, revision: ids.Revision
    ) -> list[peer_messages.Message]:
        """Returns the messages that a peer at a revision has not received.

        None are returned if the first of them is still on its way, or if
        changes before it are missing, too.

        Args:
            now: loop time in seconds.
            revision: revision of the peer's view.
        """
        if (
            revision < self._after
            or not self._events
            or self._events[-1][1].entry.mod_revision <= revision
        ):
            return []
        lacking = [
            (relayed_at, event)
            for relayed_at, event in self._events
            if event.entry.mod_revision > revision
        ]
        if now - lacking[0][0] < DELIVERY_SECONDS:
            return []
        return [*encode(revision, [e for _, e in lacking], self._catalog_key)]


def encode(
    after: ids.Revision, events: list[kv.WatchEvent], catalog_key: str
) -> list[peer_messages.Changes]:
    """Returns the messages that relay changes, in order.

    Args:
        after: revision of the last change before them.
        events: changes in order.
        catalog_key: key of the configuration, whose value is left out.
    """
    messages = []
    rows: list[peer_messages.ChangeRow] = []
    size = 0
    for event in events:
        row = _row(event, catalog_key)
        if rows and size + _size(row) > MAX_BATCH_BYTES:
            messages.append(peer_messages.Changes(after, rows))
            after = ids.Revision(rows[-1].revision)
            rows, size = [], 0
        rows.append(row)
        size += _size(row)
    return [*messages, peer_messages.Changes(after, rows)]


def decode(row: peer_messages.ChangeRow) -> kv.WatchEvent:
    """Returns a change that was relayed."""
    kind = kv.WatchKind.DELETE if row.removed else kv.WatchKind.PUT
    entry = kv.KeyValue(row.key, row.value, ids.Revision(row.revision))
    return kv.WatchEvent(kind, entry)


def _row(event: kv.WatchEvent, catalog_key: str) -> peer_messages.ChangeRow:
    entry = event.entry
    is_left_out = entry.key == catalog_key or len(entry.value) > MAX_VALUE_BYTES
    return peer_messages.ChangeRow(
        entry.key,
        b"" if is_left_out else entry.value,
        entry.mod_revision,
        event.kind is kv.WatchKind.DELETE,
    )


def _size(row: peer_messages.ChangeRow) -> int:
    return len(row.key) + len(row.value) + ROW_OVERHEAD_BYTES
