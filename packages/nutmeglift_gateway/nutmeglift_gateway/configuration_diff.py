"""Compares a configuration with the version in force."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Any

from nutmeglift_gateway import catalog
from nutmeglift_gateway import configuration_check
from nutmeglift_gateway import configuration_draft as drafts
from nutmeglift_gateway.configuration_check import Finding
from nutmeglift_gateway.configuration_check import Severity

MAX_VALUE_LENGTH = 60


def compare(old: drafts.Draft, new: drafts.Draft) -> list[Finding]:
    """Returns what differs from the version in force.

    Args:
        old: the version in force.
        new: the configuration to send.
    """
    return [
        *_compare_versions(old.catalog, new.catalog),
        *_compare_entries("routes", old.catalog.routes, new.catalog.routes),
        *_compare_entries("services", old.services, new.services),
        *_compare_entries("accounts", old.accounts, new.accounts),
        *_compare_keys(old, new),
        *_compare_values(
            "limits", old.catalog.limits, new.catalog.limits, _is_lowered
        ),
    ]


def _change(place: str, text: str, *, noticed: bool = False) -> Finding:
    return Finding(Severity.CHANGE, place, text, noticed)


def _compare_versions(
    old: catalog.Catalog, new: catalog.Catalog
) -> Iterator[Finding]:
    if new.generation <= old.generation:
        yield Finding(
            Severity.ERROR,
            "version",
            f"{new.generation} is not above {old.generation}, which is in"
            " force: routers ignore it",
        )
    if old.accounts_required != new.accounts_required:
        yield _change(
            "accounts",
            "requests need a key from now on"
            if new.accounts_required
            else "requests need no key any more",
            noticed=new.accounts_required,
        )


def _compare_entries(
    section: str, old: Iterable[Any], new: Iterable[Any]
) -> Iterator[Finding]:
    before = {entry.id: entry for entry in old}
    after = {entry.id: entry for entry in new}
    index_by_id = {entry_id: index for index, entry_id in enumerate(after)}
    for entry_id in before:
        if entry_id not in after:
            yield _change(
                f"{section} {drafts.quoted(entry_id)}",
                "taken away",
                noticed=section == "routes",
            )
    for entry_id, entry in after.items():
        place = configuration_check.place_of(
            section, index_by_id[entry_id], entry_id
        )
        if entry_id not in before:
            yield _change(place, "added")
        else:
            yield from _compare_values(
                place, before[entry_id], entry, _is_noticed
            )


def _compare_values(
    place: str, old: Any, new: Any, is_noticed: Callable[[str, Any, Any], bool]
) -> Iterator[Finding]:
    """Compares all fields but the keys, which are secret."""
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name != "keys":
            yield _change(
                place,
                f"{field.name}: {_shown(before)} -> {_shown(after)}",
                noticed=is_noticed(field.name, before, after),
            )


def _is_noticed(name: str, old: Any, new: Any) -> bool:
    match name:
        case "host" | "prefix" | "idempotency":
            return True
        case "timeout":
            return bool(new < old)
        case "anonymous" | "resumable":
            return bool(old and not new)
    return False


def _is_lowered(name: str, old: Any, new: Any) -> bool:
    return bool(new < old)


def _compare_keys(old: drafts.Draft, new: drafts.Draft) -> Iterator[Finding]:
    before = {key: each.id for each in old.accounts for key in each.keys}
    after = {key: each.id for each in new.accounts for key in each.keys}
    for key, account in before.items():
        place = f"accounts {drafts.quoted(account)}"
        if key not in after:
            yield _change(
                place,
                f"{drafts.key_hash(key)} taken away",
                noticed=new.catalog.accounts_required,
            )
        elif after[key] != account:
            yield _change(
                place,
                f"{drafts.key_hash(key)} goes to {drafts.quoted(after[key])}",
            )
    for key, account in after.items():
        if key not in before:
            yield _change(
                f"accounts {drafts.quoted(account)}",
                f"{drafts.key_hash(key)} added",
            )


def _shown(value: Any) -> str:
    text = ascii(value)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return text[: MAX_VALUE_LENGTH - 3] + "..."
