"""State shared by controllers, with a single writer for each entry."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Any
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Controller(enum.Enum):
    """Controllers; each is the only writer of its entries."""

    ADMISSION = "admission"
    CONFIGURATION = "configuration"
    DRAIN = "drain"
    LEASE = "lease"
    LEDGER = "ledger"
    MEMBERSHIP = "membership"
    PLAN = "plan"
    RECOVERY = "recovery"
    ROUTING = "routing"


@dataclasses.dataclass(frozen=True)
class Entry(Generic[T]):
    """Key of one piece of shared state.

    Attributes:
        name: unique name.
        owner: the only controller that may write it.
        initial: the value before the first write.
    """

    name: str
    owner: Controller
    initial: T


@dataclasses.dataclass(frozen=True)
class Versioned(Generic[T]):
    """A value with its generation.

    Attributes:
        generation: increases by one with every write, starting from 0.
        value: the value.
    """

    generation: int
    value: T


class Blackboard:
    """Stores the entries and notifies watchers of changes."""

    def __init__(self) -> None:
        self._versioned_by_name: dict[str, Versioned[Any]] = {}
        self._watchers_by_name: dict[str, list[Callable[[Any], None]]] = {}

    def read(self, entry: Entry[T]) -> T:
        """Returns the entry's value."""
        return self.read_versioned(entry).value

    def read_versioned(self, entry: Entry[T]) -> Versioned[T]:
        """Returns the entry's value with its generation."""
        found = self._versioned_by_name.get(entry.name)
        if found is None:
            return Versioned(0, entry.initial)
        return found

    def write(self, entry: Entry[T], value: T, writer: Controller) -> None:
        """Replaces the entry's value and notifies its watchers.

        Args:
            entry: the entry to write.
            value: the new value; ignored if equal to the current one.
            writer: the writing controller.

        Raises:
            PermissionError: the writer does not own the entry.
        """
        if writer is not entry.owner:
            raise PermissionError(
                f"{entry.name} may be written by {entry.owner.value} only,"
                f" not by {writer.value}"
            )
        old = self.read_versioned(entry)
        if old.value == value:
            return
        self._versioned_by_name[entry.name] = Versioned(
            old.generation + 1, value
        )
        for watcher in list(self._watchers_by_name.get(entry.name, ())):
            watcher(value)

    def watch(
        self, entry: Entry[T], watcher: Callable[[T], None]
    ) -> Callable[[], None]:
        """Registers a watcher that is called on every change.

        Returns:
            A function that removes the watcher.
        """
        watchers = self._watchers_by_name.setdefault(entry.name, [])
        watchers.append(watcher)
        return lambda: watchers.remove(watcher)
