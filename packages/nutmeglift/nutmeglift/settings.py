"""Settings of one process, read from a YAML file and checked."""

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
"""IP number and port, such as "127.0.0.1:8080"."""


class Section(pydantic.BaseModel):
    """Base of all sections; unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Platform(Section):
    """Where the platform's services are.

    Attributes:
        key_value: address of the key-value service.
        vm_list: address of the VM list.
        statsd: address of the metrics daemon, if any.
        timeout_seconds: longest wait for an answer.
    """

    key_value: Address
    vm_list: Address
    statsd: Address | None = None
    timeout_seconds: float = pydantic.Field(default=2.0, gt=0)


class Bounds(Section):
    """Bounds of time and size.

    Attributes:
        heartbeat_seconds: interval between heartbeats.
        silence_seconds: a connection without a byte for so long is dead.
        freshness_seconds: a process that could not confirm its configuration
            for so long after a pause takes no new work.
        body_bytes: largest request body.
        in_flight: most requests in flight.
        queue: most requests waiting.
        drain_seconds: longest wait for work in flight; 0 for no bound.
        token_buffer: most tokens that wait for a slow caller.
        replay_bytes: memory for hidden states kept for recovery.
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
    """What both binaries need.

    Attributes:
        vm: name of the VM.
        listen: address to listen on for our own processes.
        failure_domain: where the VM runs.
        region: region of the failure domain.
        platform: the platform's services.
        shared_key: key by which our processes know each other.
        bounds: bounds of time and size.
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
        backend: address of the backend server beside it.
        backend_class: declared class of that backend server.
    """

    backend: Address
    backend_class: str


P = TypeVar("P", bound=ProcessSettings)


def load(path: pathlib.Path, kind: type[P]) -> P:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: the file can't be read or is wrong; the detail
            names file, key and what would be right.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: not UTF-8 text") from error
    return parse(text, kind, str(path))


def parse(text: str, kind: type[P], source: str) -> P:
    """Checks settings.

    Raises:
        errors.SettingsError: as load.
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
    """Returns one line for each problem: its key and what would be right."""
    return [
        f"{'.'.join(str(part) for part in problem['loc']) or 'file'}:"
        f" {explain(problem, kind)}"
        for problem in error.errors(include_url=False, include_input=False)
    ]


def explain(
    problem: pydantic_core.ErrorDetails, kind: type[pydantic.BaseModel]
) -> str:
    """Returns what would be right in place of a problem."""
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
