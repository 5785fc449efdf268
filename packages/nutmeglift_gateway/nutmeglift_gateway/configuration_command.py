"""Command that checks a configuration before it is sent."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import pathlib
import sys

from nutmeglift import errors
from nutmeglift import kv
from nutmeglift_gateway import configuration_check
from nutmeglift_gateway import configuration_diff
from nutmeglift_gateway import configuration_draft as drafts
from nutmeglift_gateway import ports

EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_FINDING_COUNT = 1000


@dataclasses.dataclass(frozen=True)
class Format:
    """The platform's format of configurations.

    Attributes:
        decode: decodes one.
        key: key of the version in force in the store.
    """

    decode: drafts.DecodeDraft
    key: str


class _UnreadableError(errors.NutmegError):
    """A configuration can't be read; the text is one line."""


def run(
    file: str,
    against: str,
    open_store: Callable[[], kv.BaseKv] | None,
    *,
    as_json: bool,
    stall_seconds: float,
    configuration_format: Format,
) -> None:
    """Prints the findings on a configuration, one a line, and exits.

    Args:
        file: the configuration.
        against: file with the version in force; empty for none.
        open_store: returns the store that has the version in force; None to
            leave it out.
        as_json: whether to print one JSON list instead.
        stall_seconds: time after which engines abort requests that wait for a
            lost runner.
        configuration_format: the platform's format.
    """
    decode = configuration_format.decode
    try:
        draft = _decode(file, _read(file), decode)
        findings = configuration_check.check(draft, stall_seconds)
        if against:
            old = _decode(against, _read(against), decode)
            findings += configuration_diff.compare(old, draft)
        if open_store is not None:
            raw = _read_stored(open_store(), configuration_format.key)
            if raw is not None:
                old = _decode("the store", raw, decode)
                findings += configuration_diff.compare(old, draft)
    except _UnreadableError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_UNREADABLE)
    _print(findings, as_json=as_json)
    if findings:
        sys.exit(EXIT_FINDINGS)


def _print(
    findings: list[configuration_check.Finding], *, as_json: bool
) -> None:
    if as_json:
        rows = [
            {
                "severity": finding.severity.value,
                "place": finding.place,
                "text": finding.text,
                "callers_notice": finding.noticed,
            }
            for finding in findings
        ]
        print(json.dumps(rows))
        return
    for finding in findings[:MAX_FINDING_COUNT]:
        print(finding.line())
    if len(findings) > MAX_FINDING_COUNT:
        print(f"and {len(findings) - MAX_FINDING_COUNT} more")


def _read(file: str) -> bytes:
    try:
        with pathlib.Path(file).open("rb") as stream:
            raw = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        raise _UnreadableError(f"{drafts.quoted(file)}: {error}") from error
    if len(raw) > MAX_FILE_BYTES:
        raise _UnreadableError(
            f"{drafts.quoted(file)}: more than {MAX_FILE_BYTES} bytes"
        )
    return raw


def _read_stored(store: kv.BaseKv, key: str) -> bytes | None:
    try:
        entry = asyncio.run(store.get(key))
    except errors.PlatformError as error:
        raise _UnreadableError(f"the store: {_one_line(error)}") from error
    return None if entry is None else entry.value


def _decode(place: str, raw: bytes, decode: drafts.DecodeDraft) -> drafts.Draft:
    try:
        return decode(raw)
    except ports.UndecodableEntryError as error:
        raise _UnreadableError(
            f"{drafts.quoted(place)}: {_one_line(error)}"
        ) from error


def _one_line(error: Exception) -> str:
    return ascii(str(error))[1:-1]
