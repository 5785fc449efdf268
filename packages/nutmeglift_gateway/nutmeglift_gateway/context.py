"""Components that all exchanges of a router share."""

import dataclasses
import random

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import configuration_gate
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import ports
from nutmeglift_gateway import stream_monitor
from nutmeglift_gateway.load import hedging
from nutmeglift_gateway.load import waiting_room


@dataclasses.dataclass(frozen=True)
class Context:
    """Components of a router that its exchanges use.

    Attributes:
        board: the router's shared state.
        names: names of the headers.
        runners: control calls to the runners.
        monitor: monitors running streams.
        failure_recorder: records failures of servers.
        log: log of the router's decisions.
        metrics: counters and histograms.
        rng: random number generator.
        waiting: lets requests wait for room.
        gate: lets requests wait for the first configuration.
        second_attempts: decides on second attempts beside slow ones.
    """

    board: boards.Board
    names: ports.HeaderNames
    runners: ports.BaseRunners
    monitor: stream_monitor.StreamMonitor
    failure_recorder: recorders.FailureRecorder
    log: decision_log.DecisionLog
    metrics: metric_sets.Metrics
    rng: random.Random
    waiting: waiting_room.WaitingRoom
    gate: configuration_gate.ConfigurationGate = dataclasses.field(
        default_factory=configuration_gate.ConfigurationGate
    )
    second_attempts: hedging.Hedging = dataclasses.field(
        default_factory=hedging.Hedging
    )

    def __post_init__(self) -> None:
        """Lets second attempts leave room to what waits."""
        self.second_attempts.is_urgent_waiting = self.waiting.is_urgent_waiting
