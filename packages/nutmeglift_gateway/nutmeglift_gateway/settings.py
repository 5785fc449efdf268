"""Settings of a gateway process, read from a YAML file and checked."""

import pathlib
from typing import Annotated

import msgspec
import yaml

from nutmeglift import errors

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
"""IP number and port."""
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0)]


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that a router listens at.

    Attributes:
        callers: for callers' requests.
        readiness: for the platform's readiness checks.
        peers: for the other routers.
        metrics: for metrics as text.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that the platform's operators set.

    Attributes:
        revocation_seconds: a key that was taken away is refused after it.
        drain_seconds: a backend server that leaves gets nothing after it.
        shutdown_seconds: a process is killed so long after SIGTERM.
        stall_seconds: engines give up work that waits for a lost runner.
        retry_ratio: repeats for each request, over all routers.
        retry_slack: repeats in a window that are always allowed.
        retry_window_seconds: the window.
    """

    revocation_seconds: Seconds = 5.0
    drain_seconds: Seconds = 2.0
    shutdown_seconds: Seconds = 8.0
    stall_seconds: Seconds = 2.0
    retry_ratio: Ratio = 0.2
    retry_slack: Ratio = 100.0
    retry_window_seconds: Seconds = 10.0


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's key-value service.

    Attributes:
        address: where it listens.
        timeout_seconds: longest wait for an answer.
    """

    address: Address
    timeout_seconds: Seconds = 1.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings.

    Attributes:
        vm: name of this VM.
        failure_domain: its failure domain.
        region_by_domain: region of each failure domain.
        listen: addresses.
        store: the platform's key-value service.
        bounds: the operators' bounds.
        first_start: whether the whole system starts for the first time.
    """

    vm: Annotated[str, msgspec.Meta(min_length=1)]
    failure_domain: str
    listen: Listen
    store: Store
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    region_by_domain: dict[str, str] = msgspec.field(default_factory=dict)
    first_start: bool = False


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: it can't be read, or a setting is wrong.
    """
    try:
        found = yaml.load(
            path.read_text(encoding="utf-8"),
            getattr(yaml, "CSafeLoader", yaml.SafeLoader),
        )
        return msgspec.convert(found, Settings, strict=False)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
