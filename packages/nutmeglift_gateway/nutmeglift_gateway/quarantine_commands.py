"""Commands by which an operator sees, lifts and imposes quarantines."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import sys
from typing import Any

from fire import decorators

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import poison_rows
from nutmeglift_gateway import prompt_segments
from nutmeglift_gateway import quarantine
from nutmeglift_gateway import quarantine_controller
from nutmeglift_gateway import settings
from nutmeglift_gateway import store_view

EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM = 4

OpenStore = Callable[[settings.Settings], kv.BaseKv]


class QuarantineCommands:
    """Quarantines of prompt segments; all routers follow within seconds."""

    def __init__(
        self, load: Callable[[str], settings.Settings], open_store: OpenStore
    ) -> None:
        """Initializes the commands.

        Args:
            load: reads a settings file, or exits.
            open_store: returns a client of the key-value service.
        """
        self._load = load
        self._open_store = open_store

    def list(self, path: str = "") -> None:
        """Prints a line for each quarantine.

        Args:
            path: settings file; defaults to the platform's.
        """
        _run(self._list(self._store(path)))

    @decorators.SetParseFn(str)  # type: ignore[untyped-decorator]
    def lift(self, segments: str, path: str = "") -> None:
        """Lifts the quarantine of exactly these segments.

        Args:
            segments: ids, separated by commas.
            path: settings file; defaults to the platform's.
        """
        _run(
            _change(
                self._store(path), _parse(segments), quarantine.State.LIFTED
            )
        )

    @decorators.SetParseFn(str)  # type: ignore[untyped-decorator]
    def impose(self, segments: str, path: str = "") -> None:
        """Has all requests refused whose prompts have all of these segments.

        Args:
            segments: ids, separated by commas.
            path: settings file; defaults to the platform's.
        """
        _run(
            _change(
                self._store(path), _parse(segments), quarantine.State.ACTIVE
            )
        )

    def _store(self, path: str) -> kv.BaseKv:
        return self._open_store(self._load(path))

    async def _list(self, store: kv.BaseKv) -> None:
        snapshot = await store.snapshot(store_view.QUARANTINE_PREFIX)
        print("segments state cause version failed_trials servers")
        for row in snapshot.entries:
            entry = poison_rows.decode_entry(row.value)
            if entry is None:
                print(f"{row.key} malformed", file=sys.stderr)
                continue
            print(
                ",".join(entry.segments),
                entry.state.value,
                entry.cause.value,
                entry.version,
                entry.failed_trials,
                ",".join(entry.evidence) or "-",
            )


async def _change(
    store: kv.BaseKv,
    segments: tuple[ids.SegmentId, ...],
    state: quarantine.State,
) -> None:
    key = quarantine_controller.entry_key(segments)
    stored = await store.get(key)
    known = poison_rows.decode_entry(stored.value) if stored else None
    if known is None and state is quarantine.State.LIFTED:
        print(f"{','.join(segments)}: not in quarantine", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    entry = (known or quarantine.Entry(segments, version=0)).changed(
        state, cause=quarantine.Cause.OPERATOR, failed_trials=0
    )
    revision = stored.mod_revision if stored else kv.NEVER_WRITTEN
    result = await store.txn(
        [kv.Compare(key, revision)],
        [kv.Put(key, poison_rows.encode_entry(entry))],
    )
    if not result.succeeded:
        print("a router changed it at the same time", file=sys.stderr)
        sys.exit(EXIT_CONFLICT)
    print(f"{','.join(segments)}: {state.value}, version {entry.version}")


def _parse(raw: str) -> tuple[ids.SegmentId, ...]:
    """Returns the segments of an argument, as the routers keep them."""
    rows = [f"{each.strip()}:1" for each in raw.split(",")]
    try:
        found = prompt_segments.parse(",".join(rows).encode("latin-1"))
    except (prompt_segments.MalformedSegmentsError, UnicodeEncodeError):
        print(f"malformed segments: {raw}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return tuple(sorted(found))


def _run(work: Coroutine[Any, Any, None]) -> None:
    try:
        asyncio.run(work)
    except errors.PlatformError as error:
        print(f"the store is not reachable: {error}", file=sys.stderr)
        sys.exit(EXIT_PLATFORM)
