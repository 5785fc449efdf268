"""Second attempts at streams that are slow to begin."""

import asyncio

from nutmeglift_gateway import admission
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import context as contexts
from nutmeglift_gateway import path_costs
from nutmeglift_gateway import paths
from nutmeglift_gateway import running_stream
from nutmeglift_gateway import second_attempts


def expected_seconds(admitted: admission.Admitted, path: paths.Path) -> float:
    """Returns the time to a stream's first event on a path without any load."""
    engine = admitted.service.engine
    assert engine is not None
    layer_factors = sum(
        engine.kind(part.server.kind).prompt_time_factor
        * (part.end - part.start)
        for part in path.parts
    )
    reading = admitted.prompt_tokens / engine.prompt_tokens_per_second
    return path.step_seconds + reading * layer_factors / engine.layers


def start(
    context: contexts.Context,
    second: second_attempts.SecondAttempt,
    stream: running_stream.Stream,
) -> None:
    """Starts a second attempt beside one without events, if allowed.

    Args:
        context: the router's shared components.
        second: the decision on it.
        stream: the first attempt.
    """
    if (
        stream.paired
        or stream.is_busy
        or stream.progress.started
        or not second.may_seek()
    ):
        return
    now = asyncio.get_running_loop().time()
    resumer = context.monitor.resumer
    path = resumer.find_other_path(stream, now)
    if path is None:
        second.may_start(stream.path.first, None)
        return
    if second.may_start(
        stream.path.first,
        path.first,
        expected_seconds=expected_seconds(stream.admitted, path),
        has_room=_has_room(context.board, stream.admitted, path),
    ):
        resumer.begin_successor(stream, now, path, "slow to begin")


def _has_room(
    board: boards.Board, admitted: admission.Admitted, path: paths.Path
) -> bool:
    """Returns whether no runner of a path is crowded."""
    engine = admitted.service.engine
    assert engine is not None
    slots = path.first.slots or engine.slots
    first = board.load_tracker.at(path.first.address).requests_as_first
    used = max(board.reserved_ratio(engine, p.server) for p in path.parts)
    return max(used, first / slots) <= path_costs.CROWDING_THRESHOLD_RATIO
