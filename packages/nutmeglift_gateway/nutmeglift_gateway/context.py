"""What every exchange uses."""

import dataclasses
import random

from nutmeglift_gateway import board as boards
from nutmeglift_gateway import decision_log
from nutmeglift_gateway import failure_recorder as recorders
from nutmeglift_gateway import metrics as metric_sets
from nutmeglift_gateway import ports
from nutmeglift_gateway import stream_monitor


@dataclasses.dataclass(frozen=True)
class Context:
    """The parts of a router that an exchange works with.

    Attributes:
        board: what the router knows.
        names: names of the headers.
        runners: calls to the runners beside requests.
        guard: watches running streams.
        suspicions: notes servers that failed.
        log: decisions.
        metrics: counters and histograms.
        rng: random numbers.
    """

    board: boards.Board
    names: ports.HeaderNames
    runners: ports.BaseRunners
    monitor: stream_monitor.StreamMonitor
    failure_recorder: recorders.FailureRecorder
    log: decision_log.DecisionLog
    metrics: metric_sets.Metrics
    rng: random.Random
