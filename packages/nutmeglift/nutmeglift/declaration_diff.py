"""Human-readable difference of two declarations, without secrets."""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Any

import pydantic_core

from nutmeglift import declaration

SECRET_FIELDS = frozenset({"token_sha256"})
MAX_LINES = 100
MAX_VALUE_CHARACTERS = 80


class ChangeKind(enum.Enum):
    """Kind of a change of an entry."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclasses.dataclass(frozen=True)
class Change:
    """One entry that differs.

    Attributes:
        kind: kind of the change.
        section: section of the entry.
        key: key of the entry within its section.
        details: one text for each field that differs.
    """

    kind: ChangeKind
    section: str
    key: str
    details: tuple[str, ...] = ()

    def line(self) -> str:
        """Returns the change as one human-readable line."""
        text = f"{self.kind.value} {self.section} {self.key}"
        return f"{text}: {'; '.join(self.details)}" if self.details else text


def key_of(entry: Any) -> str:
    """Returns the key that identifies an entry within its section."""
    if isinstance(entry, declaration.DomainLink):
        return "/".join(sorted(entry.between))
    return str(entry.id)


def compare(
    old: declaration.Declaration, new: declaration.Declaration
) -> list[Change]:
    """Returns the changes, ordered by section and then by key."""
    changes: list[Change] = []
    for section in declaration.Declaration.model_fields:
        changes += _compare_section(
            section, getattr(old, section), getattr(new, section)
        )
    return changes


def lines(changes: list[Change], limit: int = MAX_LINES) -> tuple[str, ...]:
    """Returns one line per change, and one that counts omitted changes."""
    shown = [change.line() for change in changes[:limit]]
    if len(changes) > limit:
        shown.append(f"and {len(changes) - limit} more changes")
    return tuple(shown)


def _compare_section(
    section: str, old: Iterable[Any], new: Iterable[Any]
) -> list[Change]:
    old_by_key = {key_of(entry): entry for entry in old}
    new_by_key = {key_of(entry): entry for entry in new}
    changes = []
    for key in sorted(old_by_key.keys() | new_by_key.keys()):
        before = old_by_key.get(key)
        after = new_by_key.get(key)
        if before is None:
            changes.append(Change(ChangeKind.ADDED, section, key))
        elif after is None:
            changes.append(Change(ChangeKind.REMOVED, section, key))
        elif before != after:
            details = _compare_fields(before, after)
            changes.append(Change(ChangeKind.CHANGED, section, key, details))
    return changes


def _compare_fields(before: Any, after: Any) -> tuple[str, ...]:
    details = []
    for field in type(after).model_fields:
        old, new = getattr(before, field), getattr(after, field)
        if old == new:
            continue
        if field in SECRET_FIELDS:
            added, removed = len({*new} - {*old}), len({*old} - {*new})
            details.append(f"{field}: {added} added, {removed} removed")
            continue
        details.append(f"{field}: {_format_value(old)} -> {_format_value(new)}")
    return tuple(details)


def _format_value(value: Any) -> str:
    text = repr(pydantic_core.to_jsonable_python(value))
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
