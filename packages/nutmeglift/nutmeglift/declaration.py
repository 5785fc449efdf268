"""The operators' declaration, read as one set from a directory of YAML."""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import pathlib
from typing import Any

import cbor2
import pydantic
import yaml

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings


class Version(settings.Section):
    """A version of a model.

    Attributes:
        id: name of the version.
        adapters: adapters that exist for the version.
    """

    id: ids.VersionId
    adapters: tuple[ids.AdapterId, ...] = ()


class Model(settings.Section):
    """A model that is split by layer.

    Attributes:
        id: name of the model.
        layers: number of layers.
        layer_bytes: memory for the weights of one layer.
        hidden_bytes: size of the hidden state of one position.
        versions: versions of the model.
    """

    id: ids.ModelId
    layers: int = pydantic.Field(gt=0)
    layer_bytes: int = pydantic.Field(default=1, gt=0)
    hidden_bytes: int = pydantic.Field(default=8, gt=0)
    versions: tuple[Version, ...] = pydantic.Field(min_length=1)


class Route(settings.Section):
    """A model name as seen by callers, mapped to a model version.

    Attributes:
        id: the name that callers use.
        model: the model.
        version: the model's version.
        adapter: adapter to apply, if any.
        deadline_seconds: longest useful time to the last token; 0 for none.
        demand: relative share of the fleet's work expected on this route.
    """

    id: ids.RouteId
    model: ids.ModelId
    version: ids.VersionId
    adapter: ids.AdapterId | None = None
    deadline_seconds: float = pydantic.Field(default=0.0, ge=0)
    demand: float = pydantic.Field(default=1.0, ge=0)


class ClientAccount(settings.Section):
    """A customer's account.

    Attributes:
        id: name of the account.
        token_sha256: SHA-256 hashes of the account's tokens.
        priority: a higher priority is served first.
        weight: relative share among accounts of the same priority.
        requests_per_second: limit over all routers; 0 for none.
        tokens_per_second: limit over all routers; 0 for none.
        routes: routes that the account may use; empty for all.
        services: services that the account may use; empty for all.
    """

    id: ids.AccountId
    token_sha256: tuple[ids.Digest, ...] = ()
    priority: int = pydantic.Field(default=0, ge=0, le=9)
    weight: float = pydantic.Field(default=1.0, gt=0)
    requests_per_second: float = pydantic.Field(default=0.0, ge=0)
    tokens_per_second: float = pydantic.Field(default=0.0, ge=0)
    routes: tuple[ids.RouteId, ...] = ()
    services: tuple[ids.ServiceId, ...] = ()


class Operator(settings.Section):
    """A person who is authorized to run the operators' commands."""

    id: str
    token_sha256: tuple[ids.Digest, ...] = ()


class Call(settings.Section):
    """A call of a plain service.

    Attributes:
        method: HTTP method.
        path: path; a trailing "*" matches any suffix.
        idempotent: whether the call may be retried.
        timeout_seconds: time-out of the backend server's response.
    """

    method: str = pydantic.Field(pattern="^(GET|HEAD|PUT|POST|PATCH|DELETE)$")
    path: str = pydantic.Field(pattern="^/")
    idempotent: bool
    timeout_seconds: float = pydantic.Field(default=30.0, gt=0)


class Service(settings.Section):
    """A service other than the model engines.

    Attributes:
        id: name of the service.
        calls: the allowed calls; any other call is refused.
        key_retention_seconds: how long the outcome of an idempotency key is
            retained.
    """

    id: ids.ServiceId
    calls: tuple[Call, ...] = pydantic.Field(min_length=1)
    key_retention_seconds: float = pydantic.Field(default=86400.0, gt=0)


class BackendClass(settings.Section):
    """Properties of a class of backend servers.

    Attributes:
        id: name of the class, as in the VM list.
        service: the plain service that the server runs; None for a model
            runner.
        layer_positions_per_second: speed, in layers times positions per
            second.
        memory_bytes: memory available for weights.
        checks_fencing_number: whether the server rejects an outdated fencing
            number.
    """

    id: str
    service: ids.ServiceId | None = None
    layer_positions_per_second: float = pydantic.Field(default=1.0, gt=0)
    memory_bytes: int = pydantic.Field(default=1, gt=0)
    checks_fencing_number: bool = False


class DomainLink(settings.Section):
    """Connection between two failure domains, or within one.

    Attributes:
        between: the two failure domains.
        bytes_per_second: bandwidth available to one runner.
        latency_seconds: one-way delay.
    """

    between: tuple[ids.FailureDomain, ids.FailureDomain]
    bytes_per_second: float = pydantic.Field(gt=0)
    latency_seconds: float = pydantic.Field(ge=0)


class Declaration(settings.Section):
    """A complete declaration."""

    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    operators: tuple[Operator, ...] = ()
    services: tuple[Service, ...] = ()
    backend_classes: tuple[BackendClass, ...] = ()
    links: tuple[DomainLink, ...] = ()

    def canonical_bytes(self) -> bytes:
        """Returns an encoding that is equal for equal declarations."""
        return cbor2.dumps(self.model_dump(mode="json"), canonical=True)

    def digest(self) -> ids.Digest:
        """Returns the digest of the canonical bytes."""
        return ids.Digest(hashlib.sha256(self.canonical_bytes()).hexdigest())


def from_canonical_bytes(body: bytes) -> Declaration:
    """Decodes the result of `Declaration.canonical_bytes`."""
    return Declaration.model_validate(cbor2.loads(body))


def load(directory: pathlib.Path) -> Declaration:
    """Reads and validates a directory of YAML files as one set.

    Args:
        directory: directory whose *.yaml and *.yml files form the set; lists
            of the same name are concatenated.

    Raises:
        errors.DeclarationError: the set is invalid; lists every problem found
            with its file and line.
    """
    if not directory.is_dir():
        raise errors.DeclarationError([f"{directory}: not a directory"])
    paths = sorted(
        p for p in directory.iterdir() if p.suffix in {".yaml", ".yml"}
    )
    if not paths:
        raise errors.DeclarationError([f"{directory}: contains no YAML file"])
    return _DirectoryReader().read(paths)


class _DirectoryReader:
    """Joins files and records the location of each entry."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.joined: dict[str, list[Any]] = {}
        self.location_by_entry: dict[tuple[str, int], str] = {}

    def read(self, paths: Iterable[pathlib.Path]) -> Declaration:
        for path in paths:
            self._read_file(path)
        if self.problems:
            raise errors.DeclarationError(self.problems)
        try:
            declaration = Declaration.model_validate(self.joined)
        except pydantic.ValidationError as error:
            raise errors.DeclarationError(
                self._describe_with_location(error)
            ) from error
        problems = [
            f"{self._location_of(section, index)}: {text}"
            for section, index, text in find_problems(declaration)
        ]
        if problems:
            raise errors.DeclarationError(problems)
        return declaration

    def _read_file(self, path: pathlib.Path) -> None:
        try:
            text = path.read_text(encoding="utf-8")
            node = yaml.compose(text, Loader=yaml.SafeLoader)
            value = yaml.safe_load(text)
        except (yaml.YAMLError, UnicodeDecodeError, ValueError) as error:
            line = " ".join(str(error).split())
            self.problems.append(f"{path}: {line}")
            return
        if value is None:
            return
        if not isinstance(node, yaml.MappingNode):
            self.problems.append(f"{path}:1: must be a mapping of sections")
            return
        duplicates = [
            f"{path}:{key.start_mark.line + 1}: duplicate key {key.value!r}"
            for key in _find_duplicate_keys(node)
        ]
        if duplicates:
            self.problems += duplicates
            return
        for key_node, value_node in node.value:
            self._read_section(path, key_node, value_node, value)

    def _read_section(
        self,
        path: pathlib.Path,
        key_node: yaml.Node,
        value_node: yaml.Node,
        value: Mapping[str, Any],
    ) -> None:
        section = str(key_node.value)
        line = key_node.start_mark.line + 1
        if section not in Declaration.model_fields:
            known = ", ".join(sorted(Declaration.model_fields))
            self.problems.append(
                f"{path}:{line}: unknown section {section!r}; known: {known}"
            )
            return
        if not isinstance(value_node, yaml.SequenceNode):
            self.problems.append(f"{path}:{line}: {section} must be a list")
            return
        entries = self.joined.setdefault(section, [])
        for entry_node, entry in zip(
            value_node.value, value[section], strict=True
        ):
            location = f"{path}:{entry_node.start_mark.line + 1}"
            self.location_by_entry[(section, len(entries))] = location
            entries.append(entry)

    def _describe_with_location(
        self, error: pydantic.ValidationError
    ) -> list[str]:
        lines = []
        for problem in error.errors(include_url=False, include_input=False):
            section, *rest = problem["loc"]
            index = rest[0] if rest and isinstance(rest[0], int) else 0
            key = ".".join(str(part) for part in problem["loc"])
            location = self._location_of(str(section), index)
            text = settings.explain(problem, Declaration)
            lines.append(f"{location}: {key}: {text}")
        return lines

    def _location_of(self, section: str, index: int) -> str:
        return self.location_by_entry.get((section, index), section)


def _find_duplicate_keys(node: yaml.Node) -> list[yaml.Node]:
    """Returns the keys that occur more than once in the same mapping."""
    found: list[yaml.Node] = []
    if isinstance(node, yaml.SequenceNode):
        for child in node.value:
            found += _find_duplicate_keys(child)
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, child in node.value:
            if isinstance(key.value, str):
                if key.value in seen:
                    found.append(key)
                seen.add(key.value)
            found += _find_duplicate_keys(child)
    return found


Problem = tuple[str, int, str]
"""Section, index of the entry, and description of the problem."""


def find_problems(declaration: Declaration) -> list[Problem]:
    """Returns the inconsistencies between the entries of a set."""
    problems: list[Problem] = []
    for section in ("models", "routes", "client_accounts", "operators"):
        problems += _find_duplicates(section, getattr(declaration, section))
    for section in ("services", "backend_classes"):
        problems += _find_duplicates(section, getattr(declaration, section))
    problems += _find_bad_routes(declaration)
    problems += _find_bad_references(declaration)
    return problems


def _find_duplicates(section: str, entries: Iterable[Any]) -> list[Problem]:
    seen: set[str] = set()
    problems = []
    for index, entry in enumerate(entries):
        if entry.id in seen:
            problems.append((section, index, f"duplicate id {entry.id!r}"))
        seen.add(entry.id)
    return problems


def _find_bad_routes(declaration: Declaration) -> list[Problem]:
    model_by_id = {model.id: model for model in declaration.models}
    problems: list[Problem] = []
    for index, route in enumerate(declaration.routes):
        model = model_by_id.get(route.model)
        if model is None:
            problems.append(("routes", index, f"unknown model {route.model!r}"))
            continue
        version_by_id = {version.id: version for version in model.versions}
        version = version_by_id.get(route.version)
        if version is None:
            problems.append(
                ("routes", index, f"unknown version {route.version!r}")
            )
            continue
        if route.adapter and route.adapter not in version.adapters:
            problems.append(
                ("routes", index, f"unknown adapter {route.adapter!r}")
            )
    return problems


def _find_bad_references(declaration: Declaration) -> list[Problem]:
    routes = {route.id for route in declaration.routes}
    services = {service.id for service in declaration.services}
    problems: list[Problem] = []
    for index, account in enumerate(declaration.client_accounts):
        for route in account.routes:
            if route not in routes:
                text = f"unknown route {route!r}"
                problems.append(("client_accounts", index, text))
        for service in account.services:
            if service not in services:
                text = f"unknown service {service!r}"
                problems.append(("client_accounts", index, text))
    for index, backend_class in enumerate(declaration.backend_classes):
        if backend_class.service and backend_class.service not in services:
            text = f"unknown service {backend_class.service!r}"
            problems.append(("backend_classes", index, text))
    return problems
