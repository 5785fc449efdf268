"""Settings of one process, read from a YAML file and validated."""

import ipaddress
import pathlib
import typing
from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core
import yaml

from nutmeglift import errors
from nutmeglift import ids


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or not 0 <= int(port) <= 65535:  # noqa: PLR2004
        raise ValueError(f"{port!r} is not a port between 0 and 65535")
    return address


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
"""IP address and port, such as "127.0.0.1:8080"."""


class Section(pydantic.BaseModel):
    """Base class of all sections; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Platform(Section):
    """Addresses of the platform's services.

    Attributes:
        key_value: address of the key-value service.
        vm_list: address of the VM list.
        statsd: address of the metrics daemon, if any.
        timeout_seconds: time-out of a request to a service.
    """

    key_value: Address
    vm_list: Address
    statsd: Address | None = None
    timeout_seconds: float = pydantic.Field(default=2.0, gt=0)


class Bounds(Section):
    """Limits on time and size.

    Attributes:
        heartbeat_seconds: interval between heartbeats.
        silence_seconds: a connection that receives no data for this long is
            considered lost.
        freshness_seconds: a process that was paused for longer than this
            accepts no new work until its configuration is confirmed.
        body_bytes: maximum size of a request body.
        in_flight: maximum number of requests in flight.
        queue: maximum number of queued requests.
        drain_seconds: maximum wait for work in flight; 0 for no limit.
        token_buffer: maximum number of tokens buffered for a slow caller.
        replay_bytes: memory for hidden states retained for recovery.
    """

    heartbeat_seconds: float = pydantic.Field(default=0.5, gt=0)
    silence_seconds: float = pydantic.Field(default=1.5, gt=0)
    freshness_seconds: float = pydantic.Field(default=5.0, gt=0)
    body_bytes: int = pydantic.Field(default=1024 * 1024, gt=0)
    in_flight: int = pydantic.Field(default=4096, gt=0)
    queue: int = pydantic.Field(default=1024, ge=0)
    drain_seconds: float = pydantic.Field(default=0.0, ge=0)
    token_buffer: int = pydantic.Field(default=4096, gt=0)
    replay_bytes: int = pydantic.Field(default=16 * 1024 * 1024, ge=0)


class ProcessSettings(Section):
    """Settings shared by routers and agents.

    Attributes:
        vm: name of the VM.
        listen: address to listen on for routers and agents.
        failure_domain: the VM's failure domain.
        region: region of the failure domain.
        platform: addresses of the platform's services.
        shared_key: key with which routers and agents authenticate each other.
        bounds: limits on time and size.
    """

    vm: ids.VmId
    listen: Address
    failure_domain: ids.FailureDomain
    region: str = "region-1"
    platform: Platform
    shared_key: pydantic.SecretStr = pydantic.Field(min_length=16)
    bounds: Bounds = Bounds()


class RouterSettings(ProcessSettings):
    """Settings of a router.

    Attributes:
        http: address to listen on for callers and operators.
    """

    http: Address


class AgentSettings(ProcessSettings):
    """Settings of an agent.

    Attributes:
        backend: address of the backend server on the same VM.
        backend_class: declared class of the backend server.
    """

    backend: Address
    backend_class: str


P = TypeVar("P", bound=ProcessSettings)


def load(path: pathlib.Path, kind: type[P]) -> P:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: the file cannot be read or is invalid; the detail
            contains the file, the key and the expected value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: not UTF-8 text") from error
    return parse(text, kind, str(path))


def parse(text: str, kind: type[P], source: str) -> P:
    """Parses and validates settings.

    Raises:
        errors.SettingsError: as for `load`.
    """
    try:
        value: Any = yaml.safe_load(text)
    except yaml.YAMLError as error:
        line = " ".join(str(error).split())
        raise errors.SettingsError(f"{source}: {line}") from error
    try:
        return kind.model_validate(value)
    except pydantic.ValidationError as error:
        lines = [f"{source}: {line}" for line in describe(error, kind)]
        raise errors.SettingsError("\n".join(lines)) from error


def describe(
    error: pydantic.ValidationError, kind: type[pydantic.BaseModel]
) -> list[str]:
    """Returns one line per problem: its key and the expected value."""
    return [
        f"{'.'.join(str(part) for part in problem['loc']) or 'file'}:"
        f" {explain(problem, kind)}"
        for problem in error.errors(include_url=False, include_input=False)
    ]


def explain(
    problem: pydantic_core.ErrorDetails, kind: type[pydantic.BaseModel]
) -> str:
    """Returns the expected value for a problem."""
    if problem["type"] != "extra_forbidden":
        return problem["msg"]
    section = _find_section(kind, problem["loc"][:-1])
    return f"unknown key; known: {', '.join(sorted(section.model_fields))}"


def _find_section(
    kind: type[pydantic.BaseModel], path: tuple[int | str, ...]
) -> type[pydantic.BaseModel]:
    for part in path:
        if isinstance(part, str):
            kind = _section_of(kind.model_fields[part].annotation)
    return kind


def _section_of(annotation: Any) -> type[pydantic.BaseModel]:
    if isinstance(annotation, type):
        return annotation
    return next(
        _section_of(argument)
        for argument in typing.get_args(annotation)
        if argument is not Ellipsis
    )
