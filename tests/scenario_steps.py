"""The scenario language: its steps and the parser of scenario files."""

import pathlib
from typing import Any
from typing import Literal
from typing import TypeVar

import pydantic
import yaml

from nutmeglift import settings


class ScenarioError(Exception):
    """A scenario file is invalid, or an expectation is not met."""


class ScenarioElement(pydantic.BaseModel):
    """Base of all elements of a scenario; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Deployment(ScenarioElement):
    """The processes and settings with which a scenario starts.

    Attributes:
        runners: model runners, named runner-1 and so on.
        services: plain services, named core-1 and so on.
        routers: routers, named entry-1 and so on.
        accounts: client accounts, named account-1 and so on.
        layers: layers of the model.
        runner_layers: number of layers that fit in a runner's memory.
        seed: seed of all random numbers.
        list_lag: delay of the VM list after the start, in seconds.
        rate: throughput of a runner, in layers x positions per second.
        bounds: bounds that differ from the defaults.
        declaration: directory under examples/ whose declaration is applied
            instead of the small one built from the keys above.
        fleet: number of backend servers by backend class.
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
    """Applies a declaration with the given number of client accounts."""

    accounts: int


class Call(ScenarioElement):
    """Starts chat requests; with a count, they are named NAME-1 and so on.

    Attributes:
        every: interval between the starts, in seconds.
        read_after: delay before the caller reads its answer, in seconds.
        admit: whether they pass admission first, as over HTTP.
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
    """Starts concurrent non-idempotent calls with the same key."""

    name: str
    key: str
    count: int = 1
    body: str = "{}"
    router: str | None = None


ElementType = TypeVar("ElementType", bound=ScenarioElement)


class ProcessStep(ScenarioElement):
    """Base of the steps that act on one process."""

    vm: str


class ConnectionStep(ScenarioElement):
    """Base of the steps that act on the connections of two processes."""

    between: tuple[str, str]


class Abandon(ScenarioElement):
    """Disconnects the callers of a request."""

    call: str


class Kill(ProcessStep):
    """Stops a process abruptly."""


class Restart(ProcessStep):
    """Restarts a killed agent with all state lost."""


class Pause(ProcessStep):
    """Suspends a process."""


class Resume(ProcessStep):
    """Resumes a suspended process."""


class Silence(ConnectionStep):
    """Makes open connections stop delivering permanently; new ones work."""


class Cut(ConnectionStep):
    """Closes open connections; new ones work."""


class Partition(ConnectionStep):
    """Makes open connections stop delivering and new ones fail."""


class Join(ConnectionStep):
    """Ends a partition between two processes."""


class Degrade(ConnectionStep):
    """Delays every message of a connection, by `delay` seconds."""

    delay: float


class Slow(ProcessStep):
    """Multiplies the duration of an engine's steps by a factor."""

    factor: float


class LoseAnswer(ScenarioElement):
    """Loses the answers to the next `count` writes to the key-value service."""

    count: int = 1


class LoseRequest(ScenarioElement):
    """Loses the next `count` writes to the key-value service.

    The writer can't tell whether they took effect.
    """

    count: int = 1


class DropAnswer(ProcessStep):
    """Drops connections of a plain service after execution.

    The service executes the next `count` calls without answering them.
    """

    count: int = 1


class KvDown(ScenarioElement):
    """Starts an outage of the key-value service."""


class KvUp(ScenarioElement):
    """Ends an outage of the key-value service."""


class KvSlow(ScenarioElement):
    """Delays every call to the key-value service by some seconds."""

    seconds: float


class Add(ScenarioElement):
    """Starts additional model runners."""

    runners: int


class Leave(ProcessStep):
    """Starts a graceful shutdown, as SIGTERM does.

    The process exits once it has drained.
    """


class Wait(ScenarioElement):
    """Waits for some seconds, or until requests have made progress.

    Attributes:
        seconds: time to wait.
        call: requests or releases to wait for.
        tokens: tokens that each must have received unless it has ended; by
            default, each must have ended.
        within: limit of the wait for the calls, in seconds.
    """

    seconds: float | None = None
    call: str | None = None
    tokens: int | None = None
    within: float = 60.0


class Expect(ScenarioElement):
    """Checks the state of callers and processes.

    Attributes:
        call: requests or releases by name; "x-*" means every x-1, x-2...
        outcome: how they ended; "answer" is the complete reference answer.
        kind: error kind.
        ran: the value of `ran` in the error or outcome.
        attempts: maximum number of attempts.
        min_attempts: minimum number of attempts.
        within: maximum seconds from start to end.
        key: idempotency key.
        executions: executions with the key, or all of them without a key.
        vm: process that the following checks concern.
        left: whether it has left.
        in_flight: number of requests in flight at an agent or router.
        counter: name of a counter of the process.
        min: minimum value of the counter.
        max: maximum value of the counter.
        idle_since: seconds after its Leave step from which a leaving
            process must not have received new work.
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
"""Key that a bare value stands for, by the steps that accept one."""


class Scenario(ScenarioElement):
    """A complete scenario.

    Attributes:
        name: short description of the situation.
        deployment: the deployment at the start.
        steps: the steps in order of execution.
    """

    name: str
    deployment: Deployment = Deployment()
    steps: tuple[pydantic.SerializeAsAny[ScenarioElement], ...]


def load(path: pathlib.Path) -> Scenario:
    """Reads a scenario file.

    Raises:
        ScenarioError: the file is invalid; the message names the file, the
            step and the key.
    """
    return parse(path.read_text(encoding="utf-8"), path.name)


def parse(text: str, source: str) -> Scenario:
    """Reads a scenario.

    Raises:
        ScenarioError: as for load.
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
