"""Selects the routers that a router connects to."""

from collections.abc import Iterable

import xxhash

from nutmeglift import ids
from nutmeglift import plan

MAX_NEIGHBOUR_COUNT = 4


def choose(
    own: ids.VmId,
    entries: Iterable[plan.VmEntry],
    count: int = MAX_NEIGHBOUR_COUNT,
) -> list[plan.VmEntry]:
    """Returns the routers to connect to, spread over failure domains.

    Every router selects independently by rendezvous hashing, so a VM that
    joins or leaves changes few selections. The selections of all routers form
    a connected graph of small diameter.

    Args:
        own: VM of the selecting router.
        entries: routers of the VM list; its own entry is ignored.
        count: maximum number of routers to select.
    """
    others = sorted(
        (entry for entry in entries if entry.vm != own),
        key=lambda entry: _rank(own, entry),
    )
    rounds: dict[ids.FailureDomain, int] = {}
    ranked = []
    for position, entry in enumerate(others):
        turn = rounds.get(entry.failure_domain, 0)
        rounds[entry.failure_domain] = turn + 1
        ranked.append((turn, position, entry))
    ranked.sort(key=lambda item: item[:2])
    return [entry for _, _, entry in ranked[:count]]


def _rank(own: ids.VmId, entry: plan.VmEntry) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(f"{own}/{entry.vm}".encode()), entry.vm)
