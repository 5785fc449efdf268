"""Selects the routers that watch a runner for crashes.

Load: two watchers of each runner, however many routers there are. Every router
that watched every runner would open a new connection to it each time that the
runner closes an idle one.
"""

from collections.abc import Mapping
import hashlib

from nutmeglift import ids

WATCHER_COUNT = 2
"""The second watcher covers the time until the loss of the first is noticed."""
HASH_BYTES = 8


def choose_watchers(
    runner: str, domain_by_router: Mapping[str, ids.FailureDomain]
) -> tuple[str, ...]:
    """Returns the routers that watch a runner, in different failure domains.

    Rendezvous hashing ranks the routers, so that a router that starts or stops
    changes the watchers of few runners, and all routers that know the same
    routers agree.

    Args:
        runner: the runner's id.
        domain_by_router: failure domains of the live routers, by VM.
    """
    ranked = sorted(
        domain_by_router, key=lambda router: (_hash(runner, router), router)
    )
    chosen = ranked[:1]
    for same_domain in (False, True):
        for router in ranked:
            if len(chosen) >= WATCHER_COUNT:
                break
            domains = {domain_by_router[each] for each in chosen}
            if router not in chosen and (
                same_domain or domain_by_router[router] not in domains
            ):
                chosen.append(router)
    return tuple(chosen)


def _hash(runner: str, router: str) -> bytes:
    return hashlib.blake2b(
        f"{runner}/{router}".encode(), digest_size=HASH_BYTES
    ).digest()
