"""The scenario language: its steps and how a file is read."""

import pathlib
from typing import Any
from typing import Literal
from typing import TypeVar

import pydantic
import yaml

from nutmeglift import settings


class ScenarioError(Exception):
    """A scenario file is wrong, or what it expects did not come true."""


class ScenarioElement(pydantic.BaseModel):
    """Base of all parts of a scenario; unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Deployment(ScenarioElement):
    """What runs when the scenario starts.

    Attributes:
        runners: model runners, named runner-1 and so on.
        services: plain services, named core-1 and so on.
        routers: routers, named entry-1 and so on.
        accounts: client accounts, named account-1 and so on.
        layers: layers of the model.
        runner_layers: layers for which a runner has memory.
        seed: seed of all random numbers.
        list_lag: seconds by which the VM list lags after the start.
        rate: layers times positions that a runner runs a second.
        bounds: bounds that differ from the defaults.
        declaration: directory under examples/ to apply in place of the
            small declaration that the keys above make.
        fleet: backend servers of each of its classes.
    """

    runners: int = 6
    services: int = 1
    routers: int = 1
    accounts: int = 1
    layers: int = 12
    runner_layers: int = 4
    seed: int = 1
    list_lag: float = 0.0
    rate: float = 24000.0
    bounds: dict[str, float] = {}
    declaration: str | None = None
    fleet: dict[str, int] = {}


class Apply(ScenarioElement):
    """Applies a declaration with so many client accounts."""

    accounts: int


class Call(ScenarioElement):
    """Starts requests to the model; with a count, named NAME-1 and so on.

    Attributes:
        admit: whether they first pass admission, as over HTTP.
    """

    name: str
    count: int = 1
    every: float = 0.0
    max_tokens: int = 32
    prompt: str = "check the amendment"
    router: str | None = None
    account: str = "account-1"
    read_after: float = 0.0
    route: str | None = None
    admit: bool = False


class Release(ScenarioElement):
    """Starts non-idempotent calls under one key, all at once."""

    name: str
    key: str
    count: int = 1
    body: str = "{}"
    router: str | None = None


ElementType = TypeVar("ElementType", bound=ScenarioElement)


class ProcessStep(ScenarioElement):
    """Base of steps that concern one process."""

    vm: str


class ConnectionStep(ScenarioElement):
    """Base of steps that concern the connections between two processes."""

    between: tuple[str, str]


class Abandon(ScenarioElement):
    """The caller of a request leaves."""

    call: str


class Kill(ProcessStep):
    """Ends a process at once."""


class Restart(ProcessStep):
    """Starts a killed agent again, memory lost."""


class Pause(ProcessStep):
    """Freezes a process."""


class Resume(ProcessStep):
    """Lets a frozen process go on."""


class Silence(ConnectionStep):
    """Makes open connections silent for good; new ones work."""


class Cut(ConnectionStep):
    """Breaks open connections; new ones work."""


class Partition(ConnectionStep):
    """Open connections go silent and new ones fail."""


class Join(ConnectionStep):
    """Lets separated processes connect again."""


class Degrade(ConnectionStep):
    """Delays every message of a connection."""

    delay: float


class Slow(ProcessStep):
    """Multiplies the duration of an engine's steps."""

    factor: float


class LoseAnswer(ScenarioElement):
    """Loses the answers of further writes to the key-value service."""

    count: int = 1


class LoseRequest(ScenarioElement):
    """Loses further writes to the key-value service, unknown to the caller."""

    count: int = 1


class DropAnswer(ProcessStep):
    """A plain service executes further calls and drops their connections."""

    count: int = 1


class KvDown(ScenarioElement):
    """Starts an outage of the key-value service."""


class KvUp(ScenarioElement):
    """Ends an outage of the key-value service."""


class KvSlow(ScenarioElement):
    """Delays every call to the key-value service."""

    seconds: float


class Add(ScenarioElement):
    """Starts further model runners."""

    runners: int


class Leave(ProcessStep):
    """Tells a process to leave, as SIGTERM does; it exits when done."""


class Wait(ScenarioElement):
    """Lets time pass, or waits until requests have come so far."""

    seconds: float | None = None
    call: str | None = None
    tokens: int | None = None
    within: float = 60.0


class Expect(ScenarioElement):
    """Checks what came true.

    Attributes:
        call: requests or releases by name; "x-*" means every x-1, x-2...
        outcome: how they ended; "answer" is the reference's, whole.
        kind: error kind.
        ran: what the error or outcome told.
        attempts: attempts made, at most.
        min_attempts: attempts made, at least.
        within: seconds from the start to the end, at most.
        key: idempotency key.
        executions: executions under the key, or in all without one.
        vm: a process.
        left: whether it has left.
        in_flight: work in flight at an agent or router.
        counter: counter of a process.
        min: its least value.
        max: its greatest value.
        idle_since: no process that left got new work after so many seconds
            from its Leave.
    """

    call: str | None = None
    outcome: Literal["answer", "error", "cut", "running", "done"] | None = None
    kind: str | None = None
    ran: str | None = None
    attempts: int | None = None
    min_attempts: int | None = None
    within: float | None = None
    key: str | None = None
    executions: int | None = None
    vm: str | None = None
    left: bool | None = None
    in_flight: int | None = None
    counter: str | None = None
    min: int | None = None
    max: int | None = None
    idle_since: float | None = None


STEP_BY_NAME: dict[str, type[ScenarioElement]] = {
    "apply": Apply,
    "call": Call,
    "release": Release,
    "abandon": Abandon,
    "kill": Kill,
    "restart": Restart,
    "pause": Pause,
    "resume": Resume,
    "silence": Silence,
    "cut": Cut,
    "part": Partition,
    "join": Join,
    "degrade": Degrade,
    "slow": Slow,
    "lose_answer": LoseAnswer,
    "lose_request": LoseRequest,
    "drop_answer": DropAnswer,
    "kv_down": KvDown,
    "kv_up": KvUp,
    "kv_slow": KvSlow,
    "add": Add,
    "leave": Leave,
    "wait": Wait,
    "expect": Expect,
}
SHORT_KEY_BY_NAME = {
    "abandon": "call",
    "kill": "vm",
    "restart": "vm",
    "pause": "vm",
    "resume": "vm",
    "leave": "vm",
    "silence": "between",
    "cut": "between",
    "part": "between",
    "join": "between",
    "wait": "seconds",
}
"""Steps that may be written with a bare value, and the key that it is."""


class Scenario(ScenarioElement):
    """A whole scenario.

    Attributes:
        name: what it shows.
        deployment: what runs at its start.
        steps: what happens, in order.
    """

    name: str
    deployment: Deployment = Deployment()
    steps: tuple[pydantic.SerializeAsAny[ScenarioElement], ...]


def load(path: pathlib.Path) -> Scenario:
    """Reads a scenario file.

    Raises:
        ScenarioError: it is wrong; names the file, the step and the key.
    """
    return parse(path.read_text(encoding="utf-8"), path.name)


def parse(text: str, source: str) -> Scenario:
    """Reads a scenario.

    Raises:
        ScenarioError: as load.
    """
    try:
        value = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ScenarioError(f"{source}: {error}") from error
    if not isinstance(value, dict) or not isinstance(value.get("steps"), list):
        raise ScenarioError(f"{source}: must be a mapping with a list of steps")
    steps = tuple(
        _parse_step(step, f"{source}: step {number}")
        for number, step in enumerate(value["steps"], start=1)
    )
    return _validate(Scenario, value | {"steps": steps}, source)


def _parse_step(step: Any, place: str) -> ScenarioElement:
    if isinstance(step, str):
        step = {step: {}}
    if not isinstance(step, dict) or len(step) != 1:
        raise ScenarioError(f"{place}: must be one step name and its keys")
    name, value = next(iter(step.items()))
    kind = STEP_BY_NAME.get(name)
    if kind is None:
        known = ", ".join(sorted(STEP_BY_NAME))
        raise ScenarioError(f"{place}: unknown step {name!r}; known: {known}")
    place = f"{place} ({name})"
    if value is None:
        value = {}
    if not isinstance(value, dict):
        if name not in SHORT_KEY_BY_NAME:
            raise ScenarioError(f"{place}: must be a mapping of keys")
        value = {SHORT_KEY_BY_NAME[name]: value}
    return _validate(kind, value, place)


def _validate(kind: type[ElementType], value: Any, place: str) -> ElementType:
    try:
        return kind.model_validate(value)
    except pydantic.ValidationError as error:
        problems = "; ".join(settings.describe(error, kind))
        raise ScenarioError(f"{place}: {problems}") from error
