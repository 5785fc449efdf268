"""Reads and validates the settings of a router from a YAML file."""

import pathlib
from typing import Annotated

import msgspec
import yaml

from nutmeglift import errors

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
"""IPv4 address and port."""
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Megabytes = Annotated[float, msgspec.Meta(gt=0)]
"""In units of 1,000,000 bytes."""
Ratio = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Count = Annotated[int, msgspec.Meta(gt=0, le=100000)]


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that a router listens on.

    Attributes:
        callers: for callers' requests.
        readiness: for the platform's readiness checks.
        peers: for the other routers.
        metrics: for metrics in the text format.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that the platform's operators set.

    Attributes:
        revocation_seconds: time after which a revoked API key is refused.
        drain_seconds: time after which a draining backend server receives no
            more requests.
        shutdown_seconds: time from SIGTERM until a process is killed.
        stall_seconds: time after which engines abort requests that wait for a
            lost runner.
        contact_seconds: time after a disturbance from which the other bounds
            hold again.
        retry_ratio: greatest number of retries per request, over all routers.
        retry_slack: number of retries per window that are always allowed.
        retry_window_seconds: length of the window.
        second_attempt_ratio: greatest number of second attempts per request,
            over all routers; they are part of the retries. 0 for none.
    """

    revocation_seconds: Seconds = 5.0
    drain_seconds: Seconds = 2.0
    shutdown_seconds: Seconds = 8.0
    stall_seconds: Seconds = 2.0
    contact_seconds: Seconds = 3.0
    retry_ratio: Ratio = 0.2
    retry_slack: Ratio = 100.0
    retry_window_seconds: Seconds = 10.0
    second_attempt_ratio: Ratio = 0.0

    def __post_init__(self) -> None:
        """Checks limits against each other.

        Raises:
            ValueError: the second attempts exceed the retries.
        """
        if self.second_attempt_ratio > self.retry_ratio:
            raise ValueError("second_attempt_ratio exceeds retry_ratio")


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's key-value service.

    Attributes:
        address: address of the service.
        timeout_seconds: longest wait for a response.
    """

    address: Address
    timeout_seconds: Seconds = 1.0


class Room(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who gets room first while callers of several priorities ask for it.

    Attributes:
        by_priority: whether less urgent requests wait for more urgent ones.
        urgent_ratio: part of a more urgent request's objective that its first
            event may take before less urgent requests wait.
        max_wait_seconds: longest wait.
        max_waiting: number of requests that wait at a time.
        max_waiting_mb: size of the bodies of the requests that wait.
    """

    by_priority: bool = True
    urgent_ratio: Share = 0.5
    max_wait_seconds: Seconds = 2.0
    max_waiting: Count = 256
    max_waiting_mb: Megabytes = 8.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings.

    Attributes:
        vm: name of this VM.
        failure_domain: failure domain of this VM.
        region_by_domain: region of each failure domain.
        listen: addresses that the router listens on.
        store: the platform's key-value service.
        bounds: the operators' bounds.
        room: who gets room first. A change takes effect at the next start.
        first_start: whether the whole system is starting for the first time.
        memory_mb: memory beyond which the process is killed; None if it is not
            known. A change takes effect at the next start.
    """

    vm: Annotated[str, msgspec.Meta(min_length=1)]
    failure_domain: str
    listen: Listen
    store: Store
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    room: Room = msgspec.field(default_factory=Room)
    region_by_domain: dict[str, str] = msgspec.field(default_factory=dict)
    first_start: bool = False
    memory_mb: Megabytes | None = None


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: the file can't be read, or a setting is invalid.
    """
    try:
        found = yaml.load(
            path.read_text(encoding="utf-8"),
            getattr(yaml, "CSafeLoader", yaml.SafeLoader),
        )
        loaded = msgspec.convert(found, Settings, strict=False)
    except (
        OSError,
        ValueError,
        yaml.YAMLError,
        msgspec.ValidationError,
    ) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    waiting_mb = loaded.room.max_waiting_mb
    if loaded.memory_mb is not None and waiting_mb >= loaded.memory_mb:
        raise errors.SettingsError(
            f"{path}: max_waiting_mb is {waiting_mb:g}, and memory_mb only"
            f" {loaded.memory_mb:g}"
        )
    return loaded
